package facts

import (
	"sort"
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// Config holds the limits of a store.
type Config struct {
	// PoisonLife is the time after its reception for which a poison fact is kept.
	PoisonLife time.Duration
	// MaxPoison is the maximum number of poison facts; a new one beyond it replaces the oldest.
	MaxPoison int
	// MaxStop and MaxLeaving are the maximum numbers of the facts that only a new configuration removes. Further ones
	// are rejected, since dropping a known one would put the capacity that it took out of use back into use.
	MaxStop    int
	MaxLeaving int
}

// DefaultConfig returns the default limits, which suit the design size of an installation.
func DefaultConfig() Config {
	return Config{PoisonLife: time.Minute, MaxPoison: 1024, MaxStop: 256, MaxLeaving: 64}
}

// Verdict is the result of Add.
type Verdict int

// Verdicts of Add.
const (
	// Known facts were added before or have been removed; they are not forwarded.
	Known Verdict = iota
	// Added facts must be forwarded on all links.
	Added
	// Full means that the store already holds the maximum number of facts of this kind.
	Full
	// NotFact means that the message is not a fact.
	NotFact
)

type stopKey struct{ service, move, version string }

type poisonKey struct{ service, fingerprint, upstream string }

type poison struct {
	fact     wire.PoisonFact
	received time.Time
}

// Store holds the facts that one entry knows. It is not safe for concurrent use.
type Store struct {
	cfg        Config
	stops      map[stopKey]wire.StopFact
	leaving    map[string]wire.LeavingFact // by data centre, the one with the highest base
	poisons    map[poisonKey]poison
	endedStops map[stopKey]bool // stop facts whose move has ended
	version    int              // highest configuration version in force so far
}

// New returns an empty store.
func New(cfg Config) *Store {
	return &Store{cfg: cfg, stops: map[stopKey]wire.StopFact{}, leaving: map[string]wire.LeavingFact{},
		poisons: map[poisonKey]poison{}, endedStops: map[stopKey]bool{}}
}

// Add adds the fact in an envelope, whether created by this entry or received.
func (s *Store) Add(now time.Time, e *wire.Envelope) Verdict {
	switch {
	case e.StopFact != nil:
		return s.addStop(*e.StopFact)
	case e.LeavingFact != nil:
		return s.addLeaving(*e.LeavingFact)
	case e.PoisonFact != nil:
		return s.addPoison(now, *e.PoisonFact)
	}
	return NotFact
}

func (s *Store) addStop(f wire.StopFact) Verdict {
	key := stopKey{f.Service, f.Move, f.Version}
	if _, known := s.stops[key]; known || s.endedStops[key] {
		return Known
	}
	if len(s.stops) >= s.cfg.MaxStop {
		return Full
	}
	s.stops[key] = f
	return Added
}

func (s *Store) addLeaving(f wire.LeavingFact) Verdict {
	old, known := s.leaving[f.DataCentre]
	if f.Base < s.version || known && f.Base <= old.Base {
		return Known
	}
	if !known && len(s.leaving) >= s.cfg.MaxLeaving {
		return Full
	}
	s.leaving[f.DataCentre] = f
	return Added
}

// addPoison counts the lifetime of a fact from its reception, since the clocks of hosts differ. Entries that send facts
// on new links could then keep a fact alive forever. Messages therefore omits facts past half their lifetime, and a
// known fact is only renewed by one with a later AtMs.
func (s *Store) addPoison(now time.Time, f wire.PoisonFact) Verdict {
	key := poisonKey{f.Service, f.Fingerprint, f.Upstream}
	old, known := s.poisons[key]
	if known && f.AtMs <= old.fact.AtMs {
		return Known
	}
	if len(s.poisons) >= s.cfg.MaxPoison && !known {
		s.dropOldestPoison()
	}
	s.poisons[key] = poison{fact: f, received: now}
	return Added
}

func (s *Store) dropOldestPoison() {
	var oldest poisonKey
	var at time.Time
	for k, p := range s.poisons {
		if at.IsZero() || p.received.Before(at) {
			oldest, at = k, p.received
		}
	}
	delete(s.poisons, oldest)
}

// SetVersion sets the configuration version in force and removes the leaving facts with a lower base. Lower versions
// are ignored.
func (s *Store) SetVersion(version int) {
	s.version = max(s.version, version)
	for dc, f := range s.leaving {
		if f.Base < s.version {
			delete(s.leaving, dc)
		}
	}
}

// SetMoves removes the stop facts of moves that are not among the moves of the configuration in force, given as service
// and move name. A removed fact that arrives again is ignored until its move appears in the configuration again.
func (s *Store) SetMoves(moves map[[2]string]bool) {
	for k := range s.endedStops {
		if moves[[2]string{k.service, k.move}] {
			delete(s.endedStops, k)
		}
	}
	for k := range s.stops {
		if moves[[2]string{k.service, k.move}] {
			continue
		}
		delete(s.stops, k)
		if len(s.endedStops) < s.cfg.MaxStop {
			s.endedStops[k] = true
		}
	}
}

// Tick deletes poison facts after twice their lifetime. Expired facts stay known until then, so that a late copy isn't
// taken for a new fact.
func (s *Store) Tick(now time.Time) {
	for k, p := range s.poisons {
		if now.Sub(p.received) >= 2*s.cfg.PoisonLife {
			delete(s.poisons, k)
		}
	}
}

// Messages returns one envelope per fact, without sender and sequence number, to be sent on a new link.
func (s *Store) Messages(now time.Time) []*wire.Envelope {
	var out []*wire.Envelope
	for _, f := range s.Stops() {
		out = append(out, &wire.Envelope{Type: wire.EnvelopeTypeStopFact, StopFact: &f})
	}
	for _, f := range s.Leaving() {
		out = append(out, &wire.Envelope{Type: wire.EnvelopeTypeLeavingFact, LeavingFact: &f})
	}
	for _, p := range s.poisons {
		if now.Sub(p.received) < s.cfg.PoisonLife/2 {
			out = append(out, &wire.Envelope{Type: wire.EnvelopeTypePoisonFact, PoisonFact: &p.fact})
		}
	}
	return out
}

// Stops returns the stop facts in force, sorted by service, move and version.
func (s *Store) Stops() []wire.StopFact {
	out := make([]wire.StopFact, 0, len(s.stops))
	for _, f := range s.stops {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		if a.Move != b.Move {
			return a.Move < b.Move
		}
		return a.Version < b.Version
	})
	return out
}

// Leaving returns the leaving facts in force, sorted by data centre.
func (s *Store) Leaving() []wire.LeavingFact {
	out := make([]wire.LeavingFact, 0, len(s.leaving))
	for _, f := range s.leaving {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].DataCentre < out[j].DataCentre })
	return out
}

// Poisons returns the poison facts in force, in no particular order.
func (s *Store) Poisons(now time.Time) []wire.PoisonFact {
	var out []wire.PoisonFact
	for _, p := range s.poisons {
		if now.Sub(p.received) < s.cfg.PoisonLife {
			out = append(out, p.fact)
		}
	}
	return out
}
