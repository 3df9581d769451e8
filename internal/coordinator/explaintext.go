package coordinator

import (
	"cmp"
	"fmt"
	"slices"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

// addLine appends a line to the explanation in words.
func (e *RequestExplanation) addLine(format string, args ...any) {
	e.Text = append(e.Text, fmt.Sprintf(format, args...))
}

func (e *RequestExplanation) describeRoute() {
	e.addLine("route %s (configuration %d, leader %s): priority %d, objective %g ms, at most %g ms", e.Route, e.Configuration, e.Entry,
		e.Priority, e.ObjectiveMs, e.TimeoutMs)
	if e.Idempotent {
		e.addLine("it may run on %d upstreams, within the retry budget", e.MaxAttempts)
		return
	}
	e.addLine("it may run once: it is sent again only if it has certainly not run")
}

// describeRequest describes what the query tells of the request.
func (e *RequestExplanation) describeRequest(account *gateway.Account, requiresKey bool) {
	q := &e.Query
	if q.RequestBytes > 0 || q.ResponseBytes > 0 {
		e.addLine("request body of %d bytes, response of %d bytes", q.RequestBytes, q.ResponseBytes)
	}
	if q.RequestBytes > gateway.MaxBufferedBody {
		e.addLine("a body above %d bytes is sent to one upstream only: no retry, no second attempt", gateway.MaxBufferedBody)
	}
	switch {
	case account != nil:
		e.addLine("account %s: shares what is short with the other accounts", account.Name)
	case q.Account != "":
		e.addLine("the route needs no key, so the account has no influence")
	case requiresKey:
		e.addLine("the route needs a key; no account is named, so the request is placed like one without account")
	}
}

// fateOfReason says why a request would be refused.
var fateOfReason = map[placement.Reason]string{
	placement.ReasonNoUpstream: "no upstream may be used",
	placement.ReasonOverload:   "the queue is too long for its deadline",
	placement.ReasonDeadline:   "its time is shorter than the usual service time",
	placement.ReasonBudget:     "the retry budget is used up",
}

// describeService describes the decision, then the upstreams that were compared in the order of their cost, then the excluded ones.
func (e *RequestExplanation) describeService(s *ServiceExplanation, oneOfSeveral bool) {
	share := ""
	if oneOfSeveral {
		share = fmt.Sprintf(" (weight %g of the route)", s.Weight)
	}
	switch s.Fate {
	case placement.WouldStart:
		e.addLine("service %s%s: it would start at once on %s", s.Service, share, s.Upstream)
	case placement.WouldQueue:
		if s.HeldByBytes {
			e.addLine("service %s%s: it would wait for room in the limit on request bytes (%d at an upstream), about %g ms behind those before it", s.Service,
				share, s.RequestBytesLimit, s.ExpectedWaitMs)
			break
		}
		e.addLine("service %s%s: it would wait for a faster or a free upstream, about %g ms behind those before it", s.Service, share, s.ExpectedWaitMs)
	case placement.WouldRefuse:
		e.addLine("service %s%s: it would be refused with 503: %s", s.Service, share, fateOfReason[s.Reason])
		if s.HeldByBytes {
			e.addLine("the limit on request bytes (%d at an upstream) leaves no room for it now", s.RequestBytesLimit)
		}
	}
	e.addLine("usual service time %g ms, %d waiting", s.ServiceTimeMs, s.Waiting)
	if s.Overloaded {
		e.addLine("overloaded: no slots of fast upstreams are to spare")
	}
	if s.HedgeAfterMs > 0 {
		e.addLine("a second attempt is considered after %g ms", s.HedgeAfterMs)
	}
	sorted := slices.Clone(s.Upstreams)
	slices.SortStableFunc(sorted, func(a, b ExplainedCandidate) int {
		if (a.Excluded == "") != (b.Excluded == "") {
			return cmp.Compare(len(a.Excluded), len(b.Excluded))
		}
		return cmp.Compare(a.CostMs, b.CostMs)
	})
	for i := range sorted {
		u := &sorted[i]
		where := fmt.Sprintf("  %s %s (%s, %s): %d of %d slots", u.ID, u.Address, u.DataCentre, u.Version, u.Running, u.Slots)
		if s.RequestBytesLimit > 0 {
			where += fmt.Sprintf(", %d of %d request bytes", u.Bytes, s.RequestBytesLimit)
		}
		if u.Excluded != "" {
			e.addLine("%s; not used: %s", where, u.Excluded)
			continue
		}
		e.addLine("%s, predicted %g ms at pace %.2f, cost %g ms", where, u.PredictedMs, u.Pace, u.CostMs)
	}
}
