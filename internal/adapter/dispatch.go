package adapter

import (
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/transport"
)

// Request converts a call to a request for a pool; id must be unique in the pool.
func Request(id uint64, c *proxy.Call) dispatch.Request {
	return dispatch.Request{
		ID: id, Customer: c.Customer, Class: c.Class, Route: c.Route, Version: c.Version, Priority: c.Priority,
		Deadline: c.Deadline, Idempotent: c.Idempotent, Hedge: c.Hedge, Exclude: c.Exclude,
	}
}

// Outcome converts the result of an attempt for the pool that granted it. Without a total time in the result, the
// latency is measured from the grant.
func Outcome(now, granted time.Time, r proxy.Result) dispatch.Outcome {
	latency := r.Total
	if latency == 0 {
		latency = now.Sub(granted)
	}
	return dispatch.Outcome{Kind: outcomeKind(r.Kind), Latency: latency, Report: LoadReport(r.Report)}
}

func outcomeKind(k proxy.ResultKind) dispatch.OutcomeKind {
	switch k {
	case proxy.ResultSuccess:
		return dispatch.Success
	case proxy.ResultNotRun:
		return dispatch.NotRun
	case proxy.ResultConnectFailed:
		return dispatch.ConnectFailed
	case proxy.ResultCrashed:
		return dispatch.Crashed
	case proxy.ResultTimedOut:
		return dispatch.TimedOut
	case proxy.ResultCancelled:
		return dispatch.Cancelled
	}
	return dispatch.Failure
}

// LoadReport converts the load report of an upstream's response; nil stays nil.
func LoadReport(r *transport.LoadReport) *dispatch.LoadReport {
	if r == nil {
		return nil
	}
	return &dispatch.LoadReport{InFlight: r.InFlight, Queued: r.Queued, Cold: r.Cold, Draining: r.Draining, Seq: r.Seq}
}

// Refusal converts a pool's refusal to the error that proxy.Slots.Acquire returns.
func Refusal(r dispatch.Refusal) *proxy.Refusal {
	reason := proxy.Reason(r.Reason)
	if r.Reason == dispatch.ReasonLimit {
		reason = proxy.ReasonCustomerLimit // answered with 429
	}
	return &proxy.Refusal{Reason: reason, RetryAfter: r.RetryAfter}
}
