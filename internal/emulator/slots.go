package emulator

import (
	"slices"
	"time"
)

// slots is the state of running and waiting requests. The server's lock guards it.
type slots struct {
	cfg       Config
	inFlight  int
	max       int
	queue     []chan struct{}
	cold      bool
	allowance int
	successes int
	collapsed time.Time // end of the last collapse
	overloads int
	collapses int
}

func newSlots(cfg Config) slots {
	s := slots{cfg: cfg, allowance: cfg.Slots}
	if cfg.StartCold {
		s.becomeCold()
	}
	return s
}

func (s *slots) becomeCold() {
	s.cold = true
	s.allowance = min(s.cfg.Cold.Allowance, s.cfg.Slots)
	s.successes = 0
}

// enter takes a slot, or a place in the queue, whose channel is closed when the slot is given. It returns false when the
// queue is full.
func (s *slots) enter() (wait chan struct{}, ok bool) {
	if s.inFlight < s.cfg.Slots {
		s.take()
		return nil, true
	}
	if len(s.queue) >= s.cfg.QueueLimit {
		return nil, false
	}
	wait = make(chan struct{})
	s.queue = append(s.queue, wait)
	return wait, true
}

func (s *slots) take() {
	s.inFlight++
	s.max = max(s.max, s.inFlight)
}

// leaveQueue removes a waiting request; false means that it was given a slot in the meantime.
func (s *slots) leaveQueue(wait chan struct{}) bool {
	i := slices.Index(s.queue, wait)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

// begin returns the factor on the service time of a request that has its slot, or false when the server has collapsed.
func (s *slots) begin(now time.Time) (factor float64, ok bool) {
	if now.Before(s.collapsed) {
		return 0, false
	}
	if !s.cold || s.inFlight <= s.allowance {
		return 1, true
	}
	s.overloads++
	if s.inFlight-s.allowance >= s.cfg.Cold.CollapseAt {
		s.collapses++
		s.collapsed = now.Add(s.cfg.Cold.CollapseFor)
		s.becomeCold()
		return 0, false
	}
	return s.cfg.Cold.Slowdown, true
}

// leave frees a slot, passes it to the first waiting request and counts a success towards the end of the cold state.
func (s *slots) leave(success bool) {
	s.inFlight--
	if len(s.queue) > 0 {
		wait := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.take()
		close(wait)
	}
	if !s.cold || !success {
		return
	}
	s.successes++
	if s.successes < s.allowance*s.cfg.Cold.Step {
		return
	}
	s.successes = 0
	s.allowance = min(2*s.allowance, s.cfg.Slots)
	s.cold = s.allowance < s.cfg.Slots
}

func (s *slots) state() State {
	return State{InFlight: s.inFlight, Queued: len(s.queue), MaxInFlight: s.max, Cold: s.cold, Allowance: s.allowance,
		Overloads: s.overloads, Collapses: s.collapses}
}
