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
	"boragehinge.example/boragehinge/internal/responsecheck"
)

const (
	leaderPath = "/v1/leader"
	// lostParameter is the query parameter with the address of the leader that the querying entry has lost contact with.
	lostParameter = "lost"
	// askerParameter is the query parameter with the peer address of the querying entry. Entries of earlier versions don't send it.
	askerParameter = "asker"
	// rivalTimeout limits the query for other leaders.
	rivalTimeout = 250 * time.Millisecond
	// queryTimeout limits the query of an entry without a leader. It allows for small hosts that all others query at once.
	queryTimeout = 250 * time.Millisecond
	// startupQueryTimeout replaces queryTimeout during the startupPeriod of an entry: after a power loss, hosts that are still
	// down would delay all others. A leader that was too slow to answer is found by the next query for rivals.
	startupQueryTimeout = 100 * time.Millisecond
	startupPeriod       = 2 * time.Second
	// lostLeaderTimeout limits the query to the leader that was lost: it has sent nothing for activeLeaderTimeout already, or
	// its host has closed the link. A leader that is alive and not overloaded answers within milliseconds.
	lostLeaderTimeout = 80 * time.Millisecond
	// rivalQueryCount is the number of top-ranked entries that a leader queries for rivals.
	rivalQueryCount    = 5
	electionRetryDelay = 40 * time.Millisecond
)

// LeaderAnswer is the response to a leader query: what an entry knows about the leader and itself.
type LeaderAnswer struct {
	Self         gateway.Entry `json:"self"`
	Leader       string        `json:"leader"` // peer address; empty when unknown
	Leads        bool          `json:"leads"`
	Followers    int           `json:"followers"`
	Leaving      bool          `json:"leaving"`
	HasUpstreams bool          `json:"informed"`          // has upstream records, so it could lead during a store outage
	Slow         bool          `json:"slow"`              // was short of CPU recently, or has only what a restored store holds
	Version      uint64        `json:"version,omitempty"` // of the configuration in force; 0 if none is known
}

func (n *Node) handleLeaderQuery(w http.ResponseWriter, r *http.Request) {
	n.checkLeader(r.URL.Query().Get(lostParameter))
	n.rememberAsker(r.URL.Query().Get(askerParameter))
	n.mu.Lock()
	a := LeaderAnswer{
		Self: n.o.Self, Leads: n.leader != nil, Leaving: n.leaving, HasUpstreams: n.hasUpstreams(), Slow: n.slow() || n.startsFromRestore(),
	}
	if _, follows := n.session.(*linkSession); follows && n.clusterInfo != nil {
		a.Leader = n.clusterInfo.Leader
	}
	l := n.leader
	n.mu.Unlock()
	if c := n.Config(); c != nil {
		a.Version = c.Version
	}
	if l != nil {
		a.Leader, a.Followers = n.o.Self.Peer, len(l.currentFollowers())
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(a); err != nil {
		n.log.Debug().Err(err).Msg("failed to send the answer to a leader query")
	}
}

// peerClient is used for leader queries and for calls that another entry relays to the store.
var peerClient = &http.Client{Transport: responsecheck.NewRoundTripper(&http.Transport{
	DialContext:       (&net.Dialer{Timeout: rivalTimeout}).DialContext,
	DisableKeepAlives: true,
})}

// queryLeader queries an entry over HTTP. See leaderQueryFunc; asker is the peer address of the querying entry.
func queryLeader(ctx context.Context, address, lost, asker string) (LeaderAnswer, error) {
	var a LeaderAnswer
	target := url.URL{Scheme: "http", Host: address, Path: leaderPath, RawQuery: url.Values{lostParameter: {lost}, askerParameter: {asker}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return a, err
	}
	resp, err := peerClient.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return a, fmt.Errorf("leader answer of %s: status %d", address, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return a, err
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, fmt.Errorf("decode leader answer of %s: %w", address, err)
	}
	return a, nil
}

// leaderQueryFunc queries the entry at a peer address for the leader. lost is the address of the leader that the querying
// entry has lost, or empty.
type leaderQueryFunc func(ctx context.Context, address, lost string) (LeaderAnswer, error)

// queryAll queries the addresses in parallel and returns the answers that arrive within limit. It stops at the first answer
// for which sufficient returns true.
func queryAll(ctx context.Context, query leaderQueryFunc, addresses []string, lost string, limit time.Duration, sufficient func(LeaderAnswer) bool) []LeaderAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *LeaderAnswer, len(addresses))
	for _, address := range addresses {
		wait := limit
		if address == lost {
			wait = min(limit, lostLeaderTimeout)
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, wait)
			defer cancel()
			a, err := query(ctx, address, lost)
			if err != nil {
				answers <- nil // an entry that doesn't answer is not a candidate
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
		if sufficient(*a) {
			break
		}
	}
	return out
}

// canBeFollowed reports whether the entry that answered leads and keeps leading.
func canBeFollowed(a LeaderAnswer) bool { return a.Leads && !a.Leaving }

// waitForAll makes queryAll wait for the answers of all addresses.
func waitForAll(LeaderAnswer) bool { return false }

// candidacy holds the properties of an entry that count in a leader election.
type candidacy struct {
	entry        gateway.Entry
	hasUpstreams bool   // has upstream records
	slow         bool   // was short of CPU recently, or has only what a restored store holds
	lost         string // address of the leader that it has lost
}

// yieldsTo reports whether an entry that answered takes precedence as leader. Entries with upstream records come first, because
// the store may be unavailable, then those that were not short of CPU, then the higher-ranked.
func (c *candidacy) yieldsTo(a *LeaderAnswer) bool {
	if a.Leaving || a.Self.Peer == c.entry.Peer {
		return false
	}
	if a.HasUpstreams != c.hasUpstreams {
		return a.HasUpstreams
	}
	if a.Slow != c.slow {
		return c.slow
	}
	return compareRank(a.Self, c.entry) < 0
}

// chooseLeader decides from the answers of other entries which leader to follow, in this order of preference: an entry that
// leads (of several, the one with the most followers), then a leader that others follow, unless this entry has lost it. If
// there is none, this entry leads unless an entry that answered takes precedence. In that case it returns neither.
func chooseLeader(c candidacy, answers []LeaderAnswer) (address string, leads bool) {
	most := -1
	for _, a := range answers {
		if canBeFollowed(a) && a.Followers > most {
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

// watchRivals looks for other leaders, which exist after a partition or when all entries start at once, and ends this leadership
// if it has fewer followers than a rival.
func (l *leadership) watchRivals(ctx context.Context) {
	n := l.node
	var lookedAt time.Time
	for ctx.Err() == nil {
		pause.For(ctx, newLeaderRivalInterval)
		if now := time.Now(); now.Sub(lookedAt) < rivalInterval && !l.mayHaveRival(now) {
			continue
		}
		lookedAt = time.Now()
		followers := len(l.currentFollowers())
		answers := queryAll(ctx, n.query, append(n.preferredAddresses(rivalQueryCount), n.randomEntry()...), "", rivalTimeout, waitForAll)
		for _, a := range append(answers, queryAll(ctx, n.query, rivals(n.o.Self, answers), "", rivalTimeout, waitForAll)...) {
			if !stepsDownFor(n.o.Self, followers, a) {
				continue
			}
			n.log.Info().Str("event", "leadership").Str("rival", a.Self.Name).Int("followers", followers).
				Int("rival_followers", a.Followers).Msg("gives way")
			l.stop()
			return
		}
	}
}

// mayHaveRival reports whether this entry has just become leader, or has just lost most of its followers.
func (l *leadership) mayHaveRival(now time.Time) bool {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	lost := !l.minoritySince.IsZero() && now.Sub(l.minoritySince) < newLeaderPeriod
	return now.Sub(l.startedAt) < newLeaderPeriod || lost
}

// rivals returns the addresses of leaders that other entries follow and that have not answered themselves.
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

// randomEntry returns the peer address of a random other entry. Querying it finds rivals with few followers as well.
func (n *Node) randomEntry() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.view.Entries { // map iteration order is random
		if e.Peer != n.o.Self.Peer {
			return []string{e.Peer}
		}
	}
	return nil
}

// stepsDownFor reports whether a leader ends its leadership in favour of the entry that answered.
func stepsDownFor(self gateway.Entry, followers int, a LeaderAnswer) bool {
	if !canBeFollowed(a) || a.Self.Peer == self.Peer {
		return false
	}
	if a.Followers != followers {
		return a.Followers > followers
	}
	return compareRank(a.Self, self) < 0
}
