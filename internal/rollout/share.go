package rollout

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/model"
)

// Share returns the percentage of a service's traffic that goes to the new version of a move. It is 0 when the move is
// stopped, and from its deadline on unless it is finished; now is the entry's own clock.
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
	return inForce(m.Percent)
}

// heldBack is the percentage of calls that stay on the old version at the last step until the move is finished. Without
// them a fault of both versions at that time can't be told from one of the new version.
const heldBack = 5

func inForce(percent float64) float64 { return min(percent, 100-heldBack) }

// Picks reports whether a request belongs to the share of a move. The same request ID is always answered alike, and a
// request in a small share is in every larger one.
func Picks(move, requestID string, percent float64) bool {
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

// Choose returns the version that a request to a service gets. Moves of one service are followed in the order of the
// rules, as far as each starts at the version that the ones before lead to. ok is false when no rule names the service;
// then all versions may serve.
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
		if Picks(configlog.MoveName(rule), requestID, Share(now, rule, view, stops)) {
			version = rule.To
		}
	}
	return version, ok
}

// Fallback returns the old version of a move under way to the given version. A call that no upstream of the new version
// can take may run there: the new version may have few upstreams, and its faults must not refuse calls.
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

// Blocked returns the name of an earlier move of the same service that is still under way; this one waits for it. It is
// empty when there is none.
func Blocked(view configlog.View, stops *Stops, rule model.VersionRule) string {
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

var allSteps = []float64{1, 5, 25, 50, 100}

// Steps returns the shares of a move in percent.
func Steps(rule model.VersionRule) []float64 {
	first := allSteps[0]
	if p := rule.StartPercent; p != nil && *p > 0 && *p <= 100 && !math.IsNaN(*p) {
		first = *p
	}
	steps := []float64{first}
	for _, s := range allSteps {
		if s > first {
			steps = append(steps, s)
		}
	}
	return steps
}

// nextStep returns the step after percent and how many steps are left with it, or 0 and 0 at the end.
func nextStep(rule model.VersionRule, percent float64) (next float64, left int) {
	steps := Steps(rule)
	for i, s := range steps {
		if s > percent {
			return s, len(steps) - i
		}
	}
	return 0, 0
}
