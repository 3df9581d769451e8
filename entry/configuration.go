package entry

import (
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/rollout"
	"boragehinge.example/boragehinge/internal/wire"
	"boragehinge.example/boragehinge/inventory"
)

// configuration is the state that calls are routed with. It is immutable: a change builds a new value and swaps it in
// atomically.
type configuration struct {
	view    configlog.View
	snap    *inventory.Snapshot
	leaving map[string]configlog.LeavingState // data centres taken out of service urgently
}

// closed reports whether a pool gets no new calls because its data centre is leaving.
func (c *configuration) closed(p *inventory.Pool) bool {
	_, urgent := c.leaving[p.ID.DataCentre]
	return p.Closed || urgent
}

func (c *configuration) usable(p *inventory.Pool, version string) bool {
	return !c.closed(p) && p.Usable(version)
}

// applyView puts the configuration of a log view into force.
func (e *Entry) applyView(v configlog.View) {
	e.leaving.Observe(v)
	before := e.conf.Load()
	e.rebuildConfiguration(v)
	if v.Version.Offset == 0 {
		return
	}
	if before == nil || before.view.Version.Offset != v.Version.Offset {
		e.log.Info().Int64("version", v.Version.Offset).Str("change", v.Version.ChangeID).Str("operator", v.Version.Operator).
			Msg("configuration in force")
		e.metrics.ConfigurationVersion.Set(float64(v.Version.Offset))
		e.node.Refresh()
	}
	moves := map[[2]string]bool{}
	for m := range v.Moves {
		moves[[2]string{m.Service, m.Name}] = true
	}
	e.stops.Retain(time.Now(), v, time.Hour)
	e.node.SetMoves(moves)
	e.node.SetVersion(int(v.Version.Offset))
	e.triggerReconcile()
}

// rebuildConfiguration builds the configuration for a view and swaps it in. A view older than the current one is ignored.
func (e *Entry) rebuildConfiguration(v configlog.View) {
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
		e.registrar.dataCentres.update(time.Now(), next.snap.DataCentres())
	}
	e.buildChoosers(next)
	e.conf.Store(next)
}

// handleFact applies a fact that this entry didn't have yet, whether it was raised here or by a peer.
func (e *Entry) handleFact(f wire.Envelope) {
	switch f.Type {
	case wire.EnvelopeTypeStopFact:
		e.handleStopFact(*f.StopFact)
	case wire.EnvelopeTypeLeavingFact:
		e.handleLeavingFact(*f.LeavingFact)
	case wire.EnvelopeTypePoisonFact:
		e.poison.recordFact(*f.PoisonFact)
	}
}

func (e *Entry) handleStopFact(f wire.StopFact) {
	stop := rollout.Stop{Service: f.Service, Move: f.Move, Version: f.Version, Reason: f.Reason, At: time.UnixMilli(int64(f.AtMs))}
	if f.Evidence != nil {
		stop.Evidence = *f.Evidence
	}
	if e.stops.Add(stop) {
		e.log.Warn().Str("service", f.Service).Str("move", f.Move).Str("version", f.Version).Str("reason", f.Reason).
			Str("evidence", stop.Evidence).Msg("version move stopped")
		e.triggerReconcile()
	}
}

func (e *Entry) handleLeavingFact(f wire.LeavingFact) {
	added := e.leaving.Add(configlog.LeavingState{
		DataCentre: f.DataCentre, Base: int64(f.Base), At: time.UnixMilli(int64(f.AtMs)), Reason: f.Reason,
	})
	if !added {
		return
	}
	e.log.Warn().Str("dataCentre", f.DataCentre).Str("reason", f.Reason).Msg("data centre is leaving")
	e.rebuildConfiguration(e.follower.View())
	e.triggerReconcile()
}

// logRecordResult writes a log line for each record of the configuration log that had an effect or was rejected.
func (e *Entry) logRecordResult(r configlog.Result) {
	switch r.Outcome {
	case configlog.Stale, configlog.Gap, configlog.Noted:
		return
	}
	line := e.log.Info()
	if !slices.Contains([]configlog.Outcome{configlog.Accepted, configlog.Repeated, configlog.Restored}, r.Outcome) {
		line = e.log.Warn()
	}
	line.Int64("offset", r.Offset).Str("kind", string(r.Kind)).Str("outcome", r.Outcome.String()).Str("change", r.ChangeID).
		Str("reason", r.Reason).Msg("configuration log record processed")
}

// Ready reports whether the entry accepts calls and, if not, the reason.
func (e *Entry) Ready() (bool, string) {
	if e.state.Load() != running {
		return false, "the entry stops"
	}
	return e.configurationReady()
}

// configurationReady reports whether the configuration is known to be recent enough to serve calls with and, if not, the
// reason. Once true, the result stays true, so that calls don't contend for the follower's lock.
func (e *Entry) configurationReady() (bool, string) {
	if e.ready.Load() {
		return true, ""
	}
	if ok, why := e.follower.Ready(); !ok {
		return false, why
	}
	if e.conf.Load() == nil {
		return false, "the configuration is being built"
	}
	e.ready.Store(true)
	e.log.Info().Int64("version", e.conf.Load().view.Version.Offset).Msg("ready")
	return true, ""
}
