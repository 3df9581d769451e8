package ingress

import (
	"strconv"
	"time"

	"boragehinge.example/boragehinge/internal/coordinator"
	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/internal/telemetry"
)

// logPlacement records the grant of an upstream with what decided it.
func (x *exchange) logPlacement(p *coordinator.Placed, asked time.Time) {
	b := make([]byte, 0, 128)
	b = append(b, "route="...)
	b = append(b, x.route.Name...)
	b = append(b, " config="...)
	b = strconv.AppendUint(b, x.config.Version, 10)
	b = append(b, " attempt="...)
	b = strconv.AppendInt(b, int64(1+x.attempts+x.refusals), 10)
	b = append(b, " pace="...)
	b = strconv.AppendFloat(b, p.Pace, 'f', 2, 64)
	b = append(b, " paceAgeMs="...)
	b = strconv.AppendInt(b, p.PaceAge.Milliseconds(), 10)
	b = append(b, " running="...)
	b = strconv.AppendInt(b, int64(p.Running), 10)
	b = append(b, " waitedMs="...)
	b = strconv.AppendInt(b, time.Since(asked).Milliseconds(), 10)
	if p.Cold {
		b = append(b, " cold=true"...)
	}
	if placement.IsHedge(p.Ask) {
		b = append(b, " hedge=true"...)
	}
	b = x.appendAccount(b)
	x.s.opts.Decisions.Record(time.Now(), telemetry.Decision{
		Kind: "placement", RequestID: x.id, Service: x.service, Upstream: p.Upstream, Outcome: "granted", Reason: p.Mode, Inputs: string(b),
		Routine: x.attempts+x.refusals == 0,
	})
}

func (x *exchange) record(kind string, p *coordinator.Placed, outcome, reason string, started time.Time) {
	now := time.Now()
	inputs := "ms=" + strconv.FormatInt(now.Sub(started).Milliseconds(), 10) + " totalMs=" + strconv.FormatInt(now.Sub(x.arrived).Milliseconds(), 10)
	x.s.opts.Decisions.Record(now, telemetry.Decision{
		Kind: kind, RequestID: x.id, Service: x.service, Upstream: p.Upstream, Outcome: outcome, Reason: reason, Inputs: inputs,
		Routine: kind == "response" && x.attempts+x.refusals == 0 && now.Before(x.objective) && outcome == "200",
	})
}

// recordUnserved records the end of a request without a response of an upstream.
func (x *exchange) recordUnserved(outcome, reason string) {
	inputs := "totalMs=" + strconv.FormatInt(time.Since(x.arrived).Milliseconds(), 10) + " tries=" + strconv.Itoa(x.attempts+x.refusals)
	if x.config != nil {
		inputs += " config=" + strconv.FormatUint(x.config.Version, 10)
	}
	if x.route != nil {
		inputs += " route=" + x.route.Name
	}
	inputs += string(x.appendAccount(nil))
	x.s.opts.Decisions.Record(time.Now(), telemetry.Decision{
		Kind: "response", RequestID: x.id, Service: x.service, Outcome: outcome, Reason: reason, Inputs: inputs,
	})
}

// recordFailedResponse records an attempt whose 5xx response is not returned to the caller.
func (x *exchange) recordFailedResponse(a *attempt) {
	x.record("attempt", a.placed, placement.Failure.String(), strconv.Itoa(a.resp.StatusCode), a.started)
}
