package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/pause"
)

// DefaultAppendsPerSecond is the append rate limit unless the faults set another one.
const DefaultAppendsPerSecond = 300

// Faults are the switches. The zero value is a platform without faults, apart from the append rate limit.
type Faults struct {
	// LogOutage refuses appends and reads, HostsOutage refuses the host list.
	LogOutage   bool `json:"logOutage"`
	HostsOutage bool `json:"hostsOutage"`
	// DelayMs delays each answer.
	DelayMs int `json:"delayMs"`
	// LoseAnswers loses the answers of the next n appends after they took effect; -1 loses all.
	LoseAnswers int `json:"loseAnswers"`
	// LoseAppends drops the next n appends without effect, with the same error as a lost answer; -1 drops all.
	LoseAppends int `json:"loseAppends"`
	// KeepRecords and KeepMs limit the retention by number and by age; 0 is unlimited.
	KeepRecords int   `json:"keepRecords"`
	KeepMs      int64 `json:"keepMs"`
	// HostsLagMs serves the host list as it was that long ago.
	HostsLagMs int64 `json:"hostsLagMs"`
	// GhostHosts are listed although they are gone. HiddenHosts are the names of hosts that are missing on the list.
	GhostHosts  []logservice.Host `json:"ghostHosts,omitempty"`
	HiddenHosts []string          `json:"hiddenHosts,omitempty"`
	// AppendsPerSecond limits appends, with bursts of a tenth of a second; 0 is DefaultAppendsPerSecond, -1 unlimited.
	AppendsPerSecond float64 `json:"appendsPerSecond"`
}

// Counters count calls since the start.
type Counters struct {
	Appends, Reads, RateLimited int64
}

type hostsAt struct {
	at    time.Time
	hosts []logservice.Host
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	now func() time.Time

	mu       sync.Mutex
	faults   Faults
	limiter  *rate.Limiter
	entries  []logservice.Entry
	next     int64
	changed  chan struct{} // closed when an entry is added or a fault is switched
	hosts    []hostsAt
	counters Counters
}

var (
	_ logservice.Log      = (*Server)(nil)
	_ logservice.HostList = (*Server)(nil)
)

// New returns a stand-in that stamps records with now; nil is the system clock.
func New(now func() time.Time) *Server {
	if now == nil {
		now = time.Now
	}
	s := &Server{now: now, next: 1, changed: make(chan struct{})}
	s.SetFaults(Faults{})
	return s
}

// SetFaults replaces all switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	limit := f.AppendsPerSecond
	if limit == 0 {
		limit = DefaultAppendsPerSecond
	}
	s.limiter = rate.NewLimiter(rate.Inf, 0)
	if limit > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(limit), max(1, int(limit/10)))
	}
	s.wake()
}

// Faults returns the switches in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counters returns the call counts.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// SetHosts sets the true list of hosts.
func (s *Server) SetHosts(hosts []logservice.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, hostsAt{at: s.now(), hosts: slices.Clone(hosts)})
	const keep = 1000
	if len(s.hosts) > keep {
		s.hosts = slices.Clone(s.hosts[len(s.hosts)-keep:])
	}
}

// Append implements logservice.Log.
func (s *Server) Append(ctx context.Context, data []byte) (int64, error) {
	if len(data) > logservice.MaxRecordBytes {
		return 0, logservice.ErrTooLarge
	}
	if err := s.delay(ctx); err != nil {
		return 0, logservice.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Appends++
	if s.faults.LogOutage {
		return 0, logservice.ErrUnavailable
	}
	if now := s.now(); !s.limiter.AllowN(now, 1) {
		s.counters.RateLimited++
		return 0, logservice.ErrRateLimited{RetryAfter: 100 * time.Millisecond}
	}
	if take(&s.faults.LoseAppends) {
		return 0, logservice.ErrUnknownOutcome
	}
	offset := s.next
	s.next++
	// Records carry milliseconds on the wire, so that readers over HTTP and from Go see the same stamp.
	stamp := s.now().UTC().Truncate(time.Millisecond)
	s.entries = append(s.entries, logservice.Entry{Offset: offset, Time: stamp, Data: slices.Clone(data)})
	s.expire()
	s.wake()
	if take(&s.faults.LoseAnswers) {
		return 0, logservice.ErrUnknownOutcome
	}
	return offset, nil
}

// take uses up one of *n; a negative *n is never used up.
func take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// Read implements logservice.Log.
func (s *Server) Read(ctx context.Context, from int64, maxEntries int, wait time.Duration) ([]logservice.Entry, error) {
	if err := s.delay(ctx); err != nil {
		return nil, logservice.ErrUnavailable
	}
	s.mu.Lock()
	s.counters.Reads++
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		entries, changed, err := s.readNow(from, maxEntries)
		if err != nil || len(entries) > 0 || wait <= 0 {
			return entries, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (s *Server) readNow(from int64, maxEntries int) ([]logservice.Entry, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LogOutage {
		return nil, nil, logservice.ErrUnavailable
	}
	s.expire()
	oldest := s.next - int64(len(s.entries))
	if from < oldest {
		return nil, nil, logservice.ErrExpired{Oldest: oldest}
	}
	if from >= s.next {
		return nil, s.changed, nil
	}
	rest := s.entries[from-oldest:]
	if maxEntries > 0 && len(rest) > maxEntries {
		rest = rest[:maxEntries]
	}
	return slices.Clone(rest), s.changed, nil
}

func (s *Server) expire() {
	if n := s.faults.KeepRecords; n > 0 && len(s.entries) > n {
		s.entries = slices.Clone(s.entries[len(s.entries)-n:])
	}
	if s.faults.KeepMs <= 0 {
		return
	}
	limit := s.now().Add(-time.Duration(s.faults.KeepMs) * time.Millisecond)
	i := 0
	for i < len(s.entries) && s.entries[i].Time.Before(limit) {
		i++
	}
	s.entries = slices.Clone(s.entries[i:])
}

// Hosts implements logservice.HostList.
func (s *Server) Hosts(ctx context.Context) ([]logservice.Host, error) {
	if err := s.delay(ctx); err != nil {
		return nil, logservice.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.HostsOutage {
		return nil, logservice.ErrUnavailable
	}
	limit := s.now().Add(-time.Duration(s.faults.HostsLagMs) * time.Millisecond)
	list := []logservice.Host{}
	for _, h := range s.hosts {
		if !h.at.After(limit) {
			list = slices.Clone(h.hosts)
		}
	}
	list = slices.DeleteFunc(list, func(h logservice.Host) bool { return slices.Contains(s.faults.HiddenHosts, h.Name) })
	return append(list, s.faults.GhostHosts...), nil
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) delay(ctx context.Context) error {
	ms := s.Faults().DelayMs
	if ms <= 0 {
		return ctx.Err()
	}
	return pause.Sleep(ctx, time.Duration(ms)*time.Millisecond)
}
