package rollout

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/model"
)

// Share returns the percentage of a service's traffic that goes to the new version of a move. It is 0 for a stopped move,
// and from the deadline on for an unfinished one. now is the time of the entry's own clock.
func Share(now time.Time, rule model.VersionRule, view configlog.View, stops *Stops) float64 {
	name := configlog.MoveName(rule)
	m, ok := view.Moves[configlog.Move{Service: rule.Service, Name: name}]
	switch {
	case !ok || m.Stopped || stops.Stopped(rule.Service, name):
		return 0
	case m.Finished:
		return 100
	case !now.Before(rule.By):
		return 0
	}
	return effectivePercent(m.Percent)
}

// holdbackPercent is the percentage of calls that stay on the old version at the last step until the move is finished.
// Without this control group, a fault of both versions can't be distinguished from a fault of the new one.
const holdbackPercent = 5

func effectivePercent(percent float64) float64 { return min(percent, 100-holdbackPercent) }

// InShare reports whether a request belongs to the share of a move. The result depends only on its arguments, so a resend
// with the same request ID gets the same result, and a request in a small share is also in every larger one.
func InShare(move, requestID string, percent float64) bool {
	if percent >= 100 {
		return true
	}
	if percent <= 0 {
		return false
	}
	d := xxhash.New()
	_, _ = d.WriteString(move)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(requestID)
	return float64(d.Sum64()>>11)/(1<<53) < percent/100
}

// Choose returns the version that serves a request. The rules of a service are applied in order; a rule is skipped unless
// its From is the version that the previous rules have selected. ok is false when no rule names the service; then any
// version may serve the request.
func Choose(
	now time.Time, view configlog.View, stops *Stops, service, requestID string,
) (version string, ok bool) {
	for _, rule := range Rules(view.Version.Inventory, service) {
		if !ok {
			version, ok = rule.From, true
		}
		if rule.From != version {
			continue
		}
		if InShare(configlog.MoveName(rule), requestID, Share(now, rule, view, stops)) {
			version = rule.To
		}
	}
	return version, ok
}

// Fallback returns the old version of an unfinished move to the given version. A call may fall back to it when no upstream
// of the new version can take the call: the new version may have few upstreams, and its faults must not cause refusals.
func Fallback(view configlog.View, service, version string) (old string, ok bool) {
	for _, rule := range Rules(view.Version.Inventory, service) {
		m := view.Moves[configlog.Move{Service: service, Name: configlog.MoveName(rule)}]
		if rule.To == version && !m.Finished {
			return rule.From, true
		}
	}
	return "", false
}

// Rules returns the version rules of a service in the order of the inventory.
func Rules(inv *model.Inventory, service string) []model.VersionRule {
	if inv == nil || inv.Rules == nil {
		return nil
	}
	var list []model.VersionRule
	for _, r := range inv.Rules.Versions {
		if r.Service == service {
			list = append(list, r)
		}
	}
	return list
}

// BlockedBy returns the name of an earlier move of the same service that has neither finished nor stopped and that the
// move of rule waits for. It is empty when there is none.
func BlockedBy(view configlog.View, stops *Stops, rule model.VersionRule) string {
	name := configlog.MoveName(rule)
	for _, r := range Rules(view.Version.Inventory, rule.Service) {
		other := configlog.MoveName(r)
		if other == name {
			return ""
		}
		m := view.Moves[configlog.Move{Service: r.Service, Name: other}]
		if !m.Stopped && !m.Finished && !stops.Stopped(r.Service, other) {
			return other
		}
	}
	return ""
}

var defaultSteps = []float64{1, 5, 25, 50, 100}

// Steps returns the shares of a move in percent, in ascending order.
func Steps(rule model.VersionRule) []float64 {
	first := defaultSteps[0]
	if p := rule.StartPercent; p != nil && *p > 0 && *p <= 100 && !math.IsNaN(*p) {
		first = *p
	}
	steps := []float64{first}
	for _, s := range defaultSteps {
		if s > first {
			steps = append(steps, s)
		}
	}
	return steps
}

// nextStep returns the step after percent and the number of steps left, including that one. Both are 0 after the last step.
func nextStep(rule model.VersionRule, percent float64) (next float64, left int) {
	steps := Steps(rule)
	for i, s := range steps {
		if s > percent {
			return s, len(steps) - i
		}
	}
	return 0, 0
}
