package coordinator

import "time"

const (
	// shortUse is the part of its link or descriptors from which an entry counts as short of them.
	shortUse = 0.9
	// shortDelay is how long the use must stay at shortUse or above. One report of a burst stays in force for at most trafficInterval and a heartbeat.
	shortDelay = 3 * time.Second
	// minShortPeriod is how long an entry counts as short after its use was last that high. It is doubled up to maxShortPeriod each time the entry
	// becomes short again soon after callers have come back to it, so that callers don't move to and fro.
	minShortPeriod = time.Minute
	maxShortPeriod = 16 * time.Minute
)

// shortage tells whether an entry has been short of its link or descriptors for some time. The zero value is ready for use. It is used
// under leadership.publishing.
type shortage struct {
	since  time.Time // when the use reached shortUse; zero while it is below
	until  time.Time // end of the current or last period
	period time.Duration
}

// observe records the use of an entry, and reports whether it counts as short.
func (s *shortage) observe(now time.Time, use float64) bool {
	switch {
	case use < shortUse:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
	if s.since.IsZero() || now.Sub(s.since) < shortDelay {
		return now.Before(s.until)
	}
	if !now.Before(s.until) { // a new period
		again := now.Sub(s.until) < s.period
		s.period = min(2*s.period, maxShortPeriod)
		if !again {
			s.period = minShortPeriod
		}
	}
	s.until = now.Add(s.period)
	return true
}
