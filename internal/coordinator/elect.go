package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/pause"
)

const (
	leaderPath = "/v1/leader"
	// lostParameter of a question for the leader names the one that the asking entry has lost.
	lostParameter = "lost"
	// rivalTimeout bounds the question for other leaders.
	rivalTimeout = 250 * time.Millisecond
	// findTimeout bounds the question of an entry without a leader. Small hosts that all others ask at once may take a while.
	findTimeout = 250 * time.Millisecond
	// startTimeout bounds it for an entry that has started less than startTime ago: after a power loss hosts that are still
	// down would hold up all others. A leader that was too slow to answer is found by the next question for rivals.
	startTimeout = 100 * time.Millisecond
	startTime    = 2 * time.Second
	// lostTimeout bounds the question to the leader that the asking entry has lost: it has been silent for leaderSilence already,
	// or its host has closed the link. One that lives and has time answers in milliseconds.
	lostTimeout = 80 * time.Millisecond
	// rivalEntries is the number of entries that a leader asks for rivals, the first in rank.
	rivalEntries = 5
	retryPause   = 40 * time.Millisecond
)

// LeaderAnswer tells what an entry knows about the leader.
type LeaderAnswer struct {
	Self      gateway.Entry `json:"self"`
	Leader    string        `json:"leader"` // peers' address, empty when unknown
	Leads     bool          `json:"leads"`
	Followers int           `json:"followers"`
	Leaving   bool          `json:"leaving"`
	Informed  bool          `json:"informed"` // knows upstreams, also without the store
	Slow      bool          `json:"slow"`     // was short of processor of late
}

func (n *Node) answerLeader(w http.ResponseWriter, r *http.Request) {
	n.checkLeader(r.URL.Query().Get(lostParameter))
	n.mu.Lock()
	a := LeaderAnswer{Self: n.o.Self, Leads: n.leader != nil, Leaving: n.leaving, Informed: n.informed(), Slow: n.slow()}
	if _, follows := n.session.(*linkSession); follows && n.roster != nil {
		a.Leader = n.roster.Leader
	}
	l := n.leader
	n.mu.Unlock()
	if l != nil {
		a.Leader, a.Followers = n.o.Self.Peer, len(l.currentFollowers())
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(a); err != nil {
		n.log.Debug().Err(err).Msg("answer for the leader not sent")
	}
}

var peerClient = &http.Client{Transport: &http.Transport{
	DialContext:       (&net.Dialer{Timeout: rivalTimeout}).DialContext,
	DisableKeepAlives: true,
}}

func askLeader(ctx context.Context, address, lost string) (LeaderAnswer, error) {
	var a LeaderAnswer
	target := url.URL{Scheme: "http", Host: address, Path: leaderPath, RawQuery: url.Values{lostParameter: {lost}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return a, err
	}
	resp, err := peerClient.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("answer of %s: %w", address, err)
	}
	return a, nil
}

// askFunc asks the entry at a peers' address for the leader. lost is the leader that the asking entry has lost, or empty.
type askFunc func(ctx context.Context, address, lost string) (LeaderAnswer, error)

// askAll asks the addresses at once and returns the answers that arrive within limit, up to the first that is enough.
func askAll(ctx context.Context, ask askFunc, addresses []string, lost string, limit time.Duration, enough func(LeaderAnswer) bool) []LeaderAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *LeaderAnswer, len(addresses))
	for _, address := range addresses {
		wait := limit
		if address == lost {
			wait = min(limit, lostTimeout)
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, wait)
			defer cancel()
			a, err := ask(ctx, address, lost)
			if err != nil {
				answers <- nil // an entry that doesn't answer is no candidate
				return
			}
			answers <- &a
		}()
	}
	var out []LeaderAnswer
	for range addresses {
		a := <-answers
		if a == nil {
			continue
		}
		out = append(out, *a)
		if enough(*a) {
			break
		}
	}
	return out
}

// leadsNow reports whether the entry that answered can be followed.
func leadsNow(a LeaderAnswer) bool { return a.Leads && !a.Leaving }

func never(LeaderAnswer) bool { return false }

// candidacy is what an entry brings to the choice of a leader.
type candidacy struct {
	entry    gateway.Entry
	informed bool   // knows upstreams
	slow     bool   // was short of processor of late
	lost     string // leader that it has lost
}

// yieldsTo reports whether an entry that answered should rather lead: one that knows upstreams, because the store may be out, then
// one that was not short of processor, and then the first in rank.
func (c *candidacy) yieldsTo(a *LeaderAnswer) bool {
	if a.Leaving || a.Self.Peer == c.entry.Peer {
		return false
	}
	if a.Informed != c.informed {
		return a.Informed
	}
	if a.Slow != c.slow {
		return c.slow
	}
	return precedes(a.Self, c.entry) < 0
}

// chooseLeader decides from the answers of other entries: an entry that leads is followed, the one with most followers
// first; then one that others follow, unless this entry has lost it; else this entry leads, unless it yields.
func chooseLeader(c candidacy, answers []LeaderAnswer) (address string, leads bool) {
	most := -1
	for _, a := range answers {
		if leadsNow(a) && a.Followers > most {
			address, most = a.Self.Peer, a.Followers
		}
	}
	if address != "" {
		return address, false
	}
	for _, a := range answers {
		if a.Leader != "" && a.Leader != c.entry.Peer && a.Leader != c.lost {
			return a.Leader, false
		}
	}
	for i := range answers {
		if c.yieldsTo(&answers[i]) {
			return "", false // that entry will lead
		}
	}
	return "", true
}

// watchRivals makes the leader with fewer followers give way, when two lead after a partition or a start of all entries.
func (l *leadership) watchRivals(ctx context.Context) {
	n := l.node
	for ctx.Err() == nil {
		interval := rivalInterval
		if time.Since(l.since) < newLeaderTime {
			interval = newLeaderInterval
		}
		pause.For(ctx, interval)
		followers := len(l.currentFollowers())
		answers := askAll(ctx, n.ask, append(n.firstAsked(rivalEntries), n.randomEntry()...), "", rivalTimeout, never)
		for _, a := range append(answers, askAll(ctx, n.ask, rivals(n.o.Self, answers), "", rivalTimeout, never)...) {
			if !yields(n.o.Self, followers, a) {
				continue
			}
			n.log.Info().Str("event", "leadership").Str("rival", a.Self.Name).Int("followers", followers).
				Int("rival_followers", a.Followers).Msg("gives way")
			l.stop()
			return
		}
	}
}

// rivals are the leaders that other entries follow, as far as they have not answered themselves.
func rivals(self gateway.Entry, answers []LeaderAnswer) []string {
	var out []string
	for _, a := range answers {
		if a.Leader == "" || a.Leader == self.Peer || slices.Contains(out, a.Leader) {
			continue
		}
		if !slices.ContainsFunc(answers, func(b LeaderAnswer) bool { return b.Self.Peer == a.Leader }) {
			out = append(out, a.Leader)
		}
	}
	return out
}

// randomEntry is the peers' address of some other entry, so that a rival with few followers is found as well.
func (n *Node) randomEntry() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.world.Entries { // the order of a map is random
		if e.Peer != n.o.Self.Peer {
			return []string{e.Peer}
		}
	}
	return nil
}

// yields reports whether a leader gives way to the one that answered.
func yields(self gateway.Entry, followers int, a LeaderAnswer) bool {
	if !leadsNow(a) || a.Self.Peer == self.Peer {
		return false
	}
	if a.Followers != followers {
		return a.Followers > followers
	}
	return precedes(a.Self, self) < 0
}
