package conformance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/wire"
)

const viewStep = 50 * time.Millisecond

// viewRun drives tables and the reference through the same steps. fault is the first step that the model doesn't allow.
type viewRun struct {
	now     time.Time
	cfg     membership.Config
	nodes   []*viewNode
	flying  []flight
	hashes  map[int]string // view that a hash stands for
	runs    int
	fault   string
	settled int // confirmations that were compared
}

type viewNode struct {
	table       *membership.Table
	ref         *refEntry
	pausedUntil time.Time
	granted     time.Time // a pool of the node grants until then
	grantedView string
}

// flight is a heartbeat under way, with what the model says that it reports.
type flight struct {
	from, to int
	arrives  time.Time
	sender   membership.Member
	hb       wire.Heartbeat
	ref      refMessage
	receiver string // incarnation that the heartbeat was sent to
}

func newViewRun(n int, cfg membership.Config) *viewRun {
	r := &viewRun{now: time.Unix(0, 0), cfg: cfg, hashes: map[int]string{}}
	for i := range n {
		r.nodes = append(r.nodes, &viewNode{})
		r.restart(i)
		r.readList(i, r.hostNames(n))
	}
	return r
}

func (r *viewRun) hostNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	return names
}

// restart is action restart, implemented by membership.New.
func (r *viewRun) restart(i int) {
	r.runs++
	self := membership.Member{Incarnation: fmt.Sprintf("%016x", r.runs), Host: fmt.Sprintf("h%d", i), DataCentre: "dc"}
	table := membership.New(self, r.cfg, r.now)
	r.nodes[i] = &viewNode{table: table, ref: restart(self.Host, viewOf(table), r.now)}
	r.check(i, "restart")
}

func (r *viewRun) readList(i int, hosts []string) {
	var list []membership.Host
	for _, name := range hosts {
		list = append(list, membership.Host{Name: name, DataCentre: "dc"})
	}
	r.nodes[i].table.SetRoster(r.now, list)
	r.nodes[i].ref.readList(r.now, hosts)
	r.check(i, "readList")
}

// leave sets the leaving flag, which is part of the view: action changeView.
func (r *viewRun) leave(i int) {
	r.nodes[i].table.SetLeaving(r.now)
	r.follow(i)
	r.check(i, "leave")
}

// follow is action changeView, implemented by Table.Tick and Table.Observe: the model allows any view that holds the
// entry itself, so it takes the table's.
func (r *viewRun) follow(i int) {
	n := r.nodes[i]
	view := viewOf(n.table)
	if !strings.Contains(view, n.table.Self().Incarnation) {
		r.fail("node %d is not in its own view %q", i, view)
	}
	n.ref.changeView(view, r.now)
}

func (r *viewRun) send(i, j int, delay time.Duration) {
	from, to := r.nodes[i], r.nodes[j]
	receiver := to.table.Self().Incarnation
	hb := from.table.Heartbeat(r.now)
	settled := from.ref.settled(r.now)
	if hb.ViewHash != 0 {
		if !settled {
			r.fail("node %d reports a view in its transition", i)
		}
		if known, ok := r.hashes[hb.ViewHash]; ok && known != from.ref.view {
			r.fail("one hash stands for the views %q and %q", known, from.ref.view)
		}
		r.hashes[hb.ViewHash] = from.ref.view
	}
	self := from.table.Self()
	r.flying = append(r.flying, flight{
		from: i, to: j, arrives: r.now.Add(delay), sender: self, hb: membership.EchoFor(hb, receiver), receiver: receiver,
		// A table reports later than the model allows, never earlier; hash 0 is a report that isn't made yet.
		ref: refMessage{self.Incarnation, self.Host, settled && hb.ViewHash != 0, from.ref.view, r.now},
	})
}

// deliver is action exchange, implemented by Table.Observe.
func (r *viewRun) deliver() {
	var rest []flight
	for _, f := range r.flying {
		n := r.nodes[f.to]
		if f.arrives.After(r.now) || r.now.Before(n.pausedUntil) {
			rest = append(rest, f)
			continue
		}
		if n.table.Self().Incarnation != f.receiver {
			continue // the connection ended with the process
		}
		n.table.Observe(r.now, f.sender, f.hb)
		r.follow(f.to)
		n.ref.exchange(f.ref)
		r.check(f.to, "exchange")
	}
	r.flying = rest
}

// tick is action tick for all nodes; a paused one gets no CPU time while the model's time passes.
func (r *viewRun) tick() {
	r.now = r.now.Add(viewStep)
	r.deliver()
	for i, n := range r.nodes {
		if r.now.Before(n.pausedUntil) {
			continue
		}
		r.check(i, "wake") // a process that wakes up may act before its next tick
		n.table.Tick(r.now)
		r.follow(i)
		r.check(i, "tick")
	}
	r.checkOneHolder()
}

// check compares the confirmation of a table with the model's.
func (r *viewRun) check(i int, action string) {
	n := r.nodes[i]
	if n.table.ViewHash() != 0 && !n.ref.settled(r.now) {
		r.fail("after %s node %d has a view in force before its transition ends", action, i)
	}
	until := n.table.ConfirmedUntil(r.now)
	if until.IsZero() {
		return
	}
	r.settled++
	if limit := n.ref.confirmedUntil(r.now); until.After(limit) {
		r.fail("after %s node %d is confirmed until %v, the model says %v", action, i, until.Sub(r.now), limit.Sub(r.now))
	}
	n.granted, n.grantedView = until, n.ref.view
}

// checkOneHolder is the property of the models over the time for which pools may grant.
func (r *viewRun) checkOneHolder() {
	view := ""
	for _, n := range r.nodes {
		if r.now.After(n.granted) || n.granted.Equal(r.now) || r.now.Before(n.pausedUntil) {
			continue
		}
		if view != "" && view != n.grantedView {
			r.fail("two views are confirmed: %q and %q", view, n.grantedView)
		}
		view = n.grantedView
	}
}

func (r *viewRun) fail(format string, args ...any) {
	if r.fault == "" {
		r.fault = fmt.Sprintf("at %v: ", r.now.Sub(time.Unix(0, 0))) + fmt.Sprintf(format, args...)
	}
}

// randomViewRun draws a schedule of the model's actions.
func randomViewRun(t *rapid.T, cfg membership.Config) *viewRun {
	n := rapid.IntRange(2, 5).Draw(t, "nodes")
	r := newViewRun(n, cfg)
	node := rapid.IntRange(0, n-1)
	cut := map[[2]int]bool{}
	loss, delayMs := 0, 50
	if rapid.Bool().Draw(t, "pastStart") {
		for range refRosterHold / viewStep {
			r.round(cut, 0, func(int) int { return 0 })
		}
	}
	for range rapid.IntRange(5, 30).Draw(t, "events") {
		i, j := node.Draw(t, "i"), node.Draw(t, "j")
		switch rapid.SampledFrom([]string{"cut", "cut", "heal", "loss", "delay", "pause", "restart", "goodbye", "list", "leave"}).Draw(t, "action") {
		case "cut":
			cut[[2]int{i, j}] = true
		case "heal":
			clear(cut)
		case "loss":
			loss = rapid.IntRange(0, 60).Draw(t, "loss")
		case "delay":
			delayMs = rapid.IntRange(1, 1500).Draw(t, "delayMs")
		case "pause":
			r.nodes[i].pausedUntil = r.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "pauseMs")) * time.Millisecond)
		case "restart":
			r.restart(i)
			r.readList(i, r.hostNames(n))
		case "goodbye": // a planned stop that some of the others hear of
			for k, n := range r.nodes {
				if k != i && !cut[[2]int{i, k}] {
					n.table.Goodbye(r.now, r.nodes[i].table.Self().Incarnation)
					r.follow(k)
					r.check(k, "goodbye")
				}
			}
			r.restart(i)
			r.readList(i, r.hostNames(n))
		case "list": // rosters that differ by one member
			hosts := r.hostNames(n)
			r.readList(i, append(hosts[:j:j], hosts[j+1:]...))
		case "leave":
			r.leave(i)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		for range rapid.IntRange(1, 50).Draw(t, "rounds") {
			r.round(cut, loss, func(bound int) int {
				seed = seed*6364136223846793005 + 1442695040888963407
				return int(seed>>33) % bound
			}, delayMs)
		}
	}
	return r
}

// round is one tick with the heartbeats that are due.
func (r *viewRun) round(cut map[[2]int]bool, loss int, random func(int) int, delayMs ...int) {
	r.tick()
	for i, n := range r.nodes {
		if r.now.Before(n.pausedUntil) || !n.table.HeartbeatDue(r.now) {
			continue
		}
		for j := range r.nodes {
			if i == j || cut[[2]int{i, j}] || loss > 0 && random(100) < loss {
				continue
			}
			delay := time.Duration(0)
			if len(delayMs) > 0 {
				delay = time.Duration(random(delayMs[0])) * time.Millisecond
			}
			r.send(i, j, delay)
		}
	}
}

// Guards against a table that confirms a view, reports one or keeps a report where spec/view.pml and spec/roster.pml
// don't: two owners would send to one cold upstream.
func TestViewConformsToModel(t *testing.T) {
	compared := 0
	rapid.Check(t, func(t *rapid.T) {
		r := randomViewRun(t, membership.DefaultConfig())
		if r.fault != "" {
			t.Fatal(r.fault)
		}
		compared += r.settled
	})
	require.Greater(t, compared, 1000, "schedules that confirm nothing compare nothing")
}

// Guards against a comparison that sees nothing: tables that break one rule each must differ from the model, as the
// mutations of the models do.
func TestViewMutationsAreFound(t *testing.T) {
	for name, change := range map[string]func(*membership.Config){
		"MUTATE_SHORT_TRANSITION": func(c *membership.Config) { c.ViewTransition = c.OwnFresh / 2 },
		"MUTATE_NO_FRESHNESS":     func(c *membership.Config) { c.OwnFresh = time.Hour },
		"MUTATE_NO_ROSTER_HOLD":   func(c *membership.Config) { c.RosterHold = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := membership.DefaultConfig()
			change(&cfg)
			found := ""
			for seed := 0; seed < 200 && found == ""; seed++ {
				found = rapid.Custom(func(t *rapid.T) string { return randomViewRun(t, cfg).fault }).Example(seed)
			}
			require.NotEmpty(t, found)
		})
	}
}
