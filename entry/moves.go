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
	// moveTick is the interval at which moves are judged and statistics are exchanged.
	moveTick = time.Second
	// appendTimeout bounds one append; the next tick tries again.
	appendTimeout = 3 * time.Second
	// demandMemory is the weight of the last second in the mean demand of a service.
	demandMemory = 0.2
	// appendTurns is the number of turns in which the entries append what any of them may append. After an outage of the
	// log all of them want to; with 600 entries this makes 75 appends a second instead of 600.
	appendTurns = 8
	// stopsAppended ends the attempts to append a stop that the log's readers refuse.
	stopsAppended = time.Hour
)

// moves runs the policy of each version move. Its goroutine is the only one that appends steps.
type moves struct {
	e *Entry

	mu      sync.Mutex
	movers  map[configlog.Move]*rollout.Mover
	status  map[configlog.Move]rollout.Status
	samples map[string][]rollout.Sample // of peers, by service, since the last tick
	demand  map[string]float64          // slots in use, by service
}

func newMoves(e *Entry) *moves {
	return &moves{
		e: e, movers: map[configlog.Move]*rollout.Mover{}, status: map[configlog.Move]rollout.Status{},
		samples: map[string][]rollout.Sample{}, demand: map[string]float64{},
	}
}

// takeStatistics takes the calls that a peer counted.
func (m *moves) takeStatistics(s wire.Statistics) {
	m.mu.Lock()
	defer m.mu.Unlock()
	const maxSamples = 4096 // several seconds of all members
	for _, r := range s.Routes {
		if len(m.samples[s.Service]) < maxSamples {
			m.samples[s.Service] = append(m.samples[s.Service], rollout.FromWire(r))
		}
	}
}

// run judges the moves until ctx ends.
func (m *moves) run(ctx context.Context) {
	pause.Every(ctx, moveTick, func(time.Time) { m.tick(ctx, time.Now()) })
}

func (m *moves) tick(ctx context.Context, now time.Time) {
	conf := m.e.conf.Load()
	if conf == nil {
		return
	}
	for _, r := range m.judge(now, conf) {
		m.append(ctx, r)
	}
	turn := m.turn(now)
	if turn {
		m.appendStops(ctx, now, conf)
	}
	renews := conf.view.Leases[rollout.LeaseName].Holder == m.e.set.Host
	if rollout.WantsLease(now, conf.view, m.e.set.Host) && (renews || turn) && m.e.state.Load() == running {
		m.append(ctx, rollout.LeaseRecord(m.e.set.Host))
	}
}

// appendStops writes the stops that the log doesn't hold yet, such as those raised during an outage of the log. An entry
// that starts later learns of a stop from the log or from its first link to a peer, whichever is first.
func (m *moves) appendStops(ctx context.Context, now time.Time, conf *configuration) {
	for _, s := range m.e.stops.All() {
		state, known := conf.view.Moves[configlog.Move{Service: s.Service, Name: s.Move}]
		if known && !state.Stopped && !state.Finished && now.Sub(s.At) < stopsAppended {
			m.append(ctx, s.Record())
		}
	}
}

// turn reports whether it is this entry's turn to append a record that each entry would append. A stop takes effect
// before, since it is also spread as a fact.
func (m *moves) turn(now time.Time) bool {
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
		m.e.log.Warn().Err(err).Str("kind", string(r.Kind)).Msg("record not appended")
	}
}

// judge feeds all movers and returns the records of their decisions.
func (m *moves) judge(now time.Time, conf *configuration) []configlog.Record {
	active := map[configlog.Move]bool{}
	var records []configlog.Record
	for _, s := range conf.snap.Services() {
		rules := rollout.Rules(conf.view.Version.Inventory, s.Name)
		samples := m.collect(s.Name, len(rules) > 0)
		for _, rule := range rules {
			key := configlog.Move{Service: s.Name, Name: configlog.MoveName(rule)}
			active[key] = true
			mover := m.mover(key)
			if mover == nil || !mover.SetRule(rule) {
				mover = rollout.NewMover(rule, rollout.Config{}, now)
				m.set(key, mover)
			}
			mover.Observe(now, samples)
			d := mover.Tick(now, rollout.Input{View: conf.view, Stops: m.e.stops, Capacity: m.capacity(conf, s.Name, rule.To)})
			records = append(records, m.decided(now, conf, key, d)...)
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

func (m *moves) set(key configlog.Move, mover *rollout.Mover) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.movers[key] = mover
}

// decided spreads a stop, remembers the status, and returns what to append.
func (m *moves) decided(now time.Time, conf *configuration, key configlog.Move, d rollout.Decision) []configlog.Record {
	m.mu.Lock()
	before := m.status[key]
	m.status[key] = d.Status
	m.mu.Unlock()
	if before.State != d.Status.State || before.Percent != d.Status.Percent {
		m.e.log.Info().Str("service", key.Service).Str("move", key.Name).Str("state", string(d.Status.State)).
			Float64("percent", d.Status.Percent).Str("why", d.Status.Why).Msg("version move")
	}
	if d.Stop != nil {
		m.e.node.AddFact(stopEnvelope(*d.Stop))
	}
	return d.Records(now, conf.view, m.e.set.Host)
}

func stopEnvelope(s rollout.Stop) wire.Envelope {
	evidence := s.Evidence
	return wire.Envelope{Type: wire.EnvelopeTypeStopFact, StopFact: &wire.StopFact{
		Service: s.Service, Move: s.Move, Version: s.Version, Reason: s.Reason, Evidence: &evidence, AtMs: int(s.At.UnixMilli()),
	}}
}

// capacity compares the slots of the new version with the slots that the service uses.
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

// collect returns the calls of a service since the last tick: those of own pools, which it also sends to all members, and
// those that peers sent.
func (m *moves) collect(service string, moving bool) []rollout.Sample {
	var own []rollout.Sample
	for _, o := range m.e.ownership.all() {
		if o.id.Service == service {
			own = append(own, o.takeStats()...)
		}
	}
	if moving && len(own) > 0 {
		m.send(service, own)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	all := slices.Concat(own, m.samples[service])
	delete(m.samples, service)
	m.demand[service] += demandMemory * (busySeconds(all)/moveTick.Seconds() - m.demand[service])
	return all
}

// busySeconds is the time for which the calls held slots, from the middles of the latency buckets.
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

// send tells all members about the calls of own pools.
func (m *moves) send(service string, own []rollout.Sample) {
	s := wire.Statistics{Service: service, WindowMs: int(moveTick.Milliseconds())}
	for _, sample := range own {
		s.Routes = append(s.Routes, wireSample(sample))
	}
	for _, member := range m.e.node.View().Members {
		if member.Incarnation != m.e.Incarnation() && len(s.Routes) > 0 {
			_ = m.e.node.Send(member.Incarnation, wire.Envelope{Type: wire.EnvelopeTypeStatistics, Statistics: &s})
		}
	}
}

// wireSample maps a sample to its message. Cold and warm calls are samples of their own, so cold counts all calls or none.
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

// statuses returns the state of all moves.
func (m *moves) statuses() []rollout.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]rollout.Status, 0, len(m.status))
	for _, s := range m.status {
		list = append(list, s)
	}
	return list
}
