package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

const step = 50 * time.Millisecond

// sim runs the tables of one data centre with simulated time and messages.
type sim struct {
	now     time.Time
	rng     *rand.Rand
	nodes   []*simNode
	cut     map[[2]int]bool // one-way partitions: {from, to}
	loss    float64         // probability that a message is lost
	delay   time.Duration   // longest delay of a message
	queue   []simMessage
	hosts   []Host
	cfg     Config
	changes []Change
	runs    int
	// conflict describes the first time at which two view hashes are confirmed at once; empty if there was none.
	conflict string
}

type simNode struct {
	table  *Table
	paused time.Time
	until  time.Time // end of the confirmation that the node's pools use
	hash   int
}

type simMessage struct {
	to   int
	at   time.Time
	from Member
	hb   wire.Heartbeat
}

func newSim(n int, seed uint64, cfg Config) *sim {
	s := &sim{now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, cfg: cfg, delay: step}
	for i := range n {
		s.hosts = append(s.hosts, Host{Name: fmt.Sprintf("h%03d", i), DataCentre: "east-1"})
		s.nodes = append(s.nodes, &simNode{})
	}
	for i := range n {
		s.restart(i)
	}
	return s
}

func (s *sim) restart(i int) {
	s.runs++
	m := Member{Incarnation: fmt.Sprintf("%016x", s.runs), Host: s.hosts[i].Name, DataCentre: "east-1"}
	s.nodes[i] = &simNode{table: New(m, s.cfg, s.now)}
	s.nodes[i].table.SetRoster(s.now, s.hosts)
}

func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

func (s *sim) step() {
	s.now = s.now.Add(step)
	s.deliver()
	for i, n := range s.nodes {
		if s.now.Before(n.paused) {
			continue
		}
		s.check(i) // a process that resumes may send requests before its next tick
		s.changes = append(s.changes, n.table.Tick(s.now)...)
		if n.table.HeartbeatDue(s.now) {
			s.broadcast(i)
		}
		s.check(i)
	}
	s.checkAll()
}

func (s *sim) broadcast(i int) {
	hb := s.nodes[i].table.Heartbeat(s.now)
	for j := range s.nodes {
		if j == i || s.cut[[2]int{i, j}] || s.rng.Float64() < s.loss {
			continue
		}
		at := s.now.Add(time.Duration(s.rng.Int64N(int64(s.delay))))
		to := s.nodes[j].table.Self().Incarnation
		s.queue = append(s.queue, simMessage{j, at, s.nodes[i].table.Self(), EchoFor(hb, to)})
	}
}

func (s *sim) deliver() {
	var rest []simMessage
	for _, m := range s.queue {
		n := s.nodes[m.to]
		if m.at.After(s.now) || s.now.Before(n.paused) {
			rest = append(rest, m)
			continue
		}
		n.table.Observe(s.now, m.from, m.hb)
	}
	s.queue = rest
}

func (s *sim) check(i int) {
	n := s.nodes[i]
	if until := n.table.ConfirmedUntil(s.now); !until.IsZero() {
		n.until, n.hash = until, n.table.ViewHash()
	}
}

// checkAll records the first conflict. A node counts as confirmed until the time that ConfirmedUntil last returned, since
// pools rely on it until then.
func (s *sim) checkAll() {
	confirmed := map[int]int{}
	for i, n := range s.nodes {
		if s.now.Before(n.until) && !s.now.Before(n.paused) {
			confirmed[n.hash] = i
		}
	}
	if len(confirmed) > 1 && s.conflict == "" {
		s.conflict = fmt.Sprintf("at %v: hashes and nodes %v", s.now.Sub(time.Unix(0, 0)), confirmed)
	}
}

func (s *sim) confirmedNodes() int {
	count := 0
	for _, n := range s.nodes {
		if !n.table.ConfirmedUntil(s.now).IsZero() {
			count++
		}
	}
	return count
}

func (s *sim) count(kind ChangeKind) int {
	count := 0
	for _, c := range s.changes {
		if c.Kind == kind {
			count++
		}
	}
	return count
}
