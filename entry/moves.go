package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/rollout"
	"boragehinge.example/boragehinge/internal/wire"
)

const (
	// moveInterval is the interval at which version moves are evaluated and statistics are exchanged.
	moveInterval = time.Second
	// appendTimeout bounds one append to the log. A failed append is retried at the next tick.
	appendTimeout = 3 * time.Second
	// demandSmoothing is the weight of the last second in the moving average of a service's demand.
	demandSmoothing = 0.2
	// appendTurns is the number of one-second slots among which the entries are distributed for appending records that any
	// entry may append. After a log outage all entries have the same record to append; with 600 entries the slots
	// reduce 600 appends a second to 75.
	appendTurns = 8
	// stopAppendWindow limits how long appending a stop is retried, in case the readers of the log reject it.
	stopAppendWindow = time.Hour
)

// moves runs the rollout policy of each version move. Only its goroutine appends rollout steps to the log.
type moves struct {
	e *Entry

	mu      sync.Mutex
	movers  map[configlog.Move]*rollout.Mover
	status  map[configlog.Move]rollout.Status
	samples map[string][]rollout.Sample // received from peers since the last tick, by service
	demand  map[string]float64          // average number of slots in use, by service
}

func newMoves(e *Entry) *moves {
	return &moves{
		e: e, movers: map[configlog.Move]*rollout.Mover{}, status: map[configlog.Move]rollout.Status{},
		samples: map[string][]rollout.Sample{}, demand: map[string]float64{},
	}
}

// handleStatistics adds the call statistics of a peer.
func (m *moves) handleStatistics(s wire.Statistics) {
	m.mu.Lock()
	defer m.mu.Unlock()
	const maxSamples = 4096 // enough for several seconds of statistics from all members
	for _, r := range s.Routes {
		if len(m.samples[s.Service]) < maxSamples {
			m.samples[s.Service] = append(m.samples[s.Service], rollout.FromWire(r))
		}
	}
}

// run evaluates the moves until ctx ends.
func (m *moves) run(ctx context.Context) {
	pause.Every(ctx, moveInterval, func(time.Time) { m.tick(ctx, time.Now()) })
}

func (m *moves) tick(ctx context.Context, now time.Time) {
	conf := m.e.conf.Load()
	if conf == nil {
		return
	}
	for _, r := range m.evaluate(now, conf) {
		m.append(ctx, r)
	}
	isAppendTurn := m.isAppendTurn(now)
	if isAppendTurn {
		m.appendStops(ctx, now, conf)
	}
	renews := conf.view.Leases[rollout.LeaseName].Holder == m.e.settings.Host
	if rollout.WantsLease(now, conf.view, m.e.settings.Host) && (renews || isAppendTurn) && m.e.state.Load() == running {
		m.append(ctx, rollout.LeaseRecord(m.e.settings.Host))
	}
}

// appendStops appends the stops that the log doesn't contain yet, such as those raised during a log outage. An entry that
// starts later learns of a stop from the log or from its first link to a peer, whichever comes first.
func (m *moves) appendStops(ctx context.Context, now time.Time, conf *configuration) {
	for _, s := range m.e.stops.All() {
		state, known := conf.view.Moves[configlog.Move{Service: s.Service, Name: s.Move}]
		if known && !state.Stopped && !state.Finished && now.Sub(s.At) < stopAppendWindow {
			m.append(ctx, s.Record())
		}
	}
}

// isAppendTurn reports whether it is this entry's turn to append a record that any entry may append. The delay doesn't hold
// up a stop, since stops are also broadcast as facts.
func (m *moves) isAppendTurn(now time.Time) bool {
	members := m.e.node.View().Members
	rank := slices.IndexFunc(members, func(o membership.Member) bool { return o.Incarnation == m.e.Incarnation() })
	return appendTurn(now, max(rank, 0), len(members))
}

func appendTurn(now time.Time, rank, members int) bool {
	turns := int64(max(1, min(appendTurns, members)))
	return now.Unix()%turns == int64(rank)%turns
}

func (m *moves) append(ctx context.Context, r configlog.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := m.e.appendRecord(ctx, r); err != nil {
		m.e.log.Warn().Err(err).Str("kind", string(r.Kind)).Msg("failed to append record to the log")
	}
}

// evaluate passes the statistics to all movers and returns the records for their decisions.
func (m *moves) evaluate(now time.Time, conf *configuration) []configlog.Record {
	active := map[configlog.Move]bool{}
	var records []configlog.Record
	for _, s := range conf.snap.Services() {
		rules := rollout.Rules(conf.view.Version.Inventory, s.Name)
		samples := m.collectSamples(s.Name, len(rules) > 0)
		for _, rule := range rules {
			key := configlog.Move{Service: s.Name, Name: configlog.MoveName(rule)}
			active[key] = true
			mover := m.mover(key)
			if mover == nil || !mover.SetRule(rule) {
				mover = rollout.NewMover(rule, rollout.Config{}, now)
				m.setMover(key, mover)
			}
			mover.Observe(now, samples)
			d := mover.Tick(now, rollout.Input{View: conf.view, Stops: m.e.stops, Capacity: m.capacity(conf, s.Name, rule.To)})
			records = append(records, m.applyDecision(now, conf, key, d)...)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for key := range m.movers {
		if !active[key] {
			delete(m.movers, key)
			delete(m.status, key)
		}
	}
	return records
}

func (m *moves) mover(key configlog.Move) *rollout.Mover {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.movers[key]
}

func (m *moves) setMover(key configlog.Move, mover *rollout.Mover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.movers[key] = mover
}

// applyDecision stores the status of a move, broadcasts a stop if there is one, and returns the records to append.
func (m *moves) applyDecision(now time.Time, conf *configuration, key configlog.Move, d rollout.Decision) []configlog.Record {
	m.mu.Lock()
	before := m.status[key]
	m.status[key] = d.Status
	m.mu.Unlock()
	if before.State != d.Status.State || before.Percent != d.Status.Percent {
		m.e.log.Info().Str("service", key.Service).Str("move", key.Name).Str("state", string(d.Status.State)).
			Float64("percent", d.Status.Percent).Str("why", d.Status.Why).Msg("version move changed")
	}
	if d.Stop != nil {
		m.e.node.AddFact(stopEnvelope(*d.Stop))
	}
	return d.Records(now, conf.view, m.e.settings.Host)
}

func stopEnvelope(s rollout.Stop) wire.Envelope {
	evidence := s.Evidence
	return wire.Envelope{Type: wire.EnvelopeTypeStopFact, StopFact: &wire.StopFact{
		Service: s.Service, Move: s.Move, Version: s.Version, Reason: s.Reason, Evidence: &evidence, AtMs: int(s.At.UnixMilli()),
	}}
}

// capacity returns the slots that the new version provides and those that the service needs.
func (m *moves) capacity(conf *configuration, service, version string) rollout.Capacity {
	m.mu.Lock()
	c := rollout.Capacity{NeededSlots: m.demand[service]}
	m.mu.Unlock()
	for _, p := range conf.snap.PoolsOf(service) {
		if conf.closed(p) {
			continue
		}
		for _, u := range p.Upstreams {
			if u.Version == version && !u.Leaving {
				c.NewSlots += u.Slots
			}
		}
	}
	return c
}

// collectSamples returns the call statistics of a service since the last tick, from the pools owned here and from peers.
// During a version move it also sends those of the pools owned here to all members.
func (m *moves) collectSamples(service string, moving bool) []rollout.Sample {
	var own []rollout.Sample
	for _, o := range m.e.ownership.all() {
		if o.id.Service == service {
			own = append(own, o.drainStats()...)
		}
	}
	if moving && len(own) > 0 {
		m.broadcastStatistics(service, own)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	all := slices.Concat(own, m.samples[service])
	delete(m.samples, service)
	m.demand[service] += demandSmoothing * (busySeconds(all)/moveInterval.Seconds() - m.demand[service])
	return all
}

// busySeconds estimates the total time for which the calls held slots, from the midpoints of the latency buckets.
func busySeconds(samples []rollout.Sample) float64 {
	sum := 0.0
	for _, s := range samples {
		bound := 100e-6
		for _, n := range s.Latency {
			sum += float64(n) * bound * 0.75
			bound *= 2
		}
	}
	return sum
}

// broadcastStatistics sends the call statistics of the pools owned here to all members.
func (m *moves) broadcastStatistics(service string, own []rollout.Sample) {
	s := wire.Statistics{Service: service, WindowMs: int(moveInterval.Milliseconds())}
	for _, sample := range own {
		s.Routes = append(s.Routes, wireSample(sample))
	}
	for _, member := range m.e.node.View().Members {
		if member.Incarnation != m.e.Incarnation() && len(s.Routes) > 0 {
			_ = m.e.node.Send(member.Incarnation, wire.Envelope{Type: wire.EnvelopeTypeStatistics, Statistics: &s})
		}
	}
}

// wireSample converts a sample to its wire message. Cold and warm calls are in separate samples, so Cold is either the
// number of all calls or 0.
func wireSample(s rollout.Sample) wire.RouteStatistics {
	cold := 0
	if s.Cold {
		cold = s.Calls + s.NotRun
	}
	return wire.RouteStatistics{
		Route: s.Route, Class: s.Class, Version: s.Version, Calls: &s.Calls, Failures: &s.Failures, NotRun: &s.NotRun, Cold: &cold,
		LatencyBuckets: s.Latency[:],
	}
}

// statuses returns the status of each move.
func (m *moves) statuses() []rollout.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]rollout.Status, 0, len(m.status))
	for _, s := range m.status {
		list = append(list, s)
	}
	return list
}
