package entry

import (
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/rollout"
	"boragehinge.example/boragehinge/internal/wire"
	"boragehinge.example/boragehinge/inventory"
)

// configuration is everything that calls are served by. It is immutable: a change builds another one beside it and
// replaces it in one step.
type configuration struct {
	view    configlog.View
	snap    *inventory.Snapshot
	leaving map[string]configlog.LeavingState // data centres taken out at once
}

// closed reports whether a pool gets no new work because its data centre is leaving.
func (c *configuration) closed(p *inventory.Pool) bool {
	_, urgent := c.leaving[p.ID.DataCentre]
	return p.Closed || urgent
}

func (c *configuration) usable(p *inventory.Pool, version string) bool {
	return !c.closed(p) && p.Usable(version)
}

// takeView puts a state of the log into force.
func (e *Entry) takeView(v configlog.View) {
	e.leaving.Observe(v)
	before := e.conf.Load()
	e.rebuild(v)
	if v.Version.Offset == 0 {
		return
	}
	if before == nil || before.view.Version.Offset != v.Version.Offset {
		e.log.Info().Int64("version", v.Version.Offset).Str("change", v.Version.ChangeID).Str("operator", v.Version.Operator).
			Msg("configuration in force")
		e.metrics.ConfigurationVersion.Set(float64(v.Version.Offset))
	}
	moves := map[[2]string]bool{}
	for m := range v.Moves {
		moves[[2]string{m.Service, m.Name}] = true
	}
	e.stops.Retain(time.Now(), v, time.Hour)
	e.node.SetMoves(moves)
	e.node.SetVersion(int(v.Version.Offset))
	e.poke()
}

// rebuild builds the configuration of a view and swaps it in.
func (e *Entry) rebuild(v configlog.View) {
	e.confMu.Lock()
	defer e.confMu.Unlock()
	last := e.conf.Load()
	if v.Version.Inventory == nil || last != nil && last.view.Through > v.Through {
		return
	}
	next := &configuration{view: v, leaving: map[string]configlog.LeavingState{}}
	for _, l := range e.leaving.All(v) {
		next.leaving[l.DataCentre] = l
	}
	if last != nil && last.view.Version.Offset == v.Version.Offset {
		next.snap = last.snap
	} else {
		next.snap = inventory.NewSnapshot(v.Version.Offset, v.Version.Inventory)
	}
	e.buildChoosers(next)
	e.conf.Store(next)
}

// takeFact takes a fact that is new here, an own one or a peer's.
func (e *Entry) takeFact(f wire.Envelope) {
	switch f.Type {
	case wire.EnvelopeTypeStopFact:
		e.takeStop(*f.StopFact)
	case wire.EnvelopeTypeLeavingFact:
		e.takeLeaving(*f.LeavingFact)
	case wire.EnvelopeTypePoisonFact:
		e.poison.observe(*f.PoisonFact)
	}
}

func (e *Entry) takeStop(f wire.StopFact) {
	stop := rollout.Stop{Service: f.Service, Move: f.Move, Version: f.Version, Reason: f.Reason, At: time.UnixMilli(int64(f.AtMs))}
	if f.Evidence != nil {
		stop.Evidence = *f.Evidence
	}
	if e.stops.Add(stop) {
		e.log.Warn().Str("service", f.Service).Str("move", f.Move).Str("version", f.Version).Str("reason", f.Reason).
			Str("evidence", stop.Evidence).Msg("version move stopped")
		e.poke()
	}
}

func (e *Entry) takeLeaving(f wire.LeavingFact) {
	added := e.leaving.Add(configlog.LeavingState{
		DataCentre: f.DataCentre, Base: int64(f.Base), At: time.UnixMilli(int64(f.AtMs)), Reason: f.Reason,
	})
	if !added {
		return
	}
	e.log.Warn().Str("dataCentre", f.DataCentre).Str("reason", f.Reason).Msg("data centre leaves")
	e.rebuild(e.follower.View())
	e.poke()
}

// logResult writes one line for each record of the log that decided something.
func (e *Entry) logResult(r configlog.Result) {
	switch r.Outcome {
	case configlog.Stale, configlog.Gap, configlog.Noted:
		return
	}
	line := e.log.Info()
	if !slices.Contains([]configlog.Outcome{configlog.Accepted, configlog.Repeated, configlog.Restored}, r.Outcome) {
		line = e.log.Warn()
	}
	line.Int64("offset", r.Offset).Str("kind", string(r.Kind)).Str("outcome", r.Outcome.String()).Str("change", r.ChangeID).
		Str("reason", r.Reason).Msg("record of the log")
}

// Ready reports whether calls are served, and if not, why.
func (e *Entry) Ready() (bool, string) {
	if e.state.Load() != running {
		return false, "the entry stops"
	}
	return e.proven()
}

// proven reports whether the configuration is proved to be current enough to serve with.
func (e *Entry) proven() (bool, string) {
	if ok, why := e.follower.Ready(); !ok {
		return false, why
	}
	if e.conf.Load() == nil {
		return false, "the configuration is being built"
	}
	return true, ""
}
