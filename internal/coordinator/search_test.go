package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/platform/standin"
)

// Guards against entries that each lead at the first start, because none is known yet: 90 of 92 read all records and wrote
// their own (hokusei-gw-grown, 900 calls to the store before the first request).
func TestEntriesThatAllStartMakeFewCalls(t *testing.T) {
	const entries, seedCount = 12, 3
	c := newCluster(t)
	listeners, seeds := make([]net.Listener, entries), []string(nil)
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[i] = listener
		if i < seedCount {
			seeds = append(seeds, listener.Addr().String())
		}
	}
	for i, listener := range listeners {
		c.members = append(c.members, c.startOn(listener, fmt.Sprintf("e%02d", i), func(o *Options) { o.Bootstrap, o.Seeds = true, seeds }))
	}
	c.eventually("one leader that all others follow", 10*time.Second, func() bool { return c.settled(entries) })
	c.eventually("all records are written", 10*time.Second, func() bool {
		n := c.leader().node
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.world.Entries) == entries
	})
	assert.LessOrEqual(t, c.store.Calls(standin.CallAppend), 3)
	const sources = 4
	assert.LessOrEqual(t, c.store.Calls(standin.CallNewest), seedCount*sources+entries/2, "seeds may lead beside each other for a moment")
}

// Guards against entries that lead because the few that they asked have lost power, though others precede them.
func TestAllThatPrecedeAnEntryAreAsked(t *testing.T) {
	const known = 100
	var all []gateway.Entry
	for i := range known {
		all = append(all, gateway.Entry{Name: fmt.Sprint(i), Peer: fmt.Sprintf("10.0.0.%d:1", i), CPUShare: float64(1+i/10) / 10})
	}
	for _, self := range all {
		n := NewNode(Options{Self: self, Seeds: []string{"seed:1", self.Peer}, Log: zerolog.Nop()})
		batch := gateway.Batch{Source: gateway.Entries}
		for i, e := range all {
			batch.Updates = append(batch.Updates, gateway.Update{Key: e.Name, Offset: int64(i), Entry: &e})
		}
		n.apply(batch, time.Time{})
		rounds := n.rounds()
		asked := map[string]bool{}
		for _, round := range rounds {
			for _, address := range round {
				asked[address] = true
			}
		}
		assert.False(t, asked[self.Peer])
		assert.True(t, asked["seed:1"])
		assert.LessOrEqual(t, len(rounds), 4)
		for _, e := range all {
			if precedes(e, self) < 0 {
				assert.True(t, asked[e.Peer], "%s precedes %s", e.Name, self.Name)
			}
		}
	}
}

// Guards against a leader on a small host that keeps the work although a large one has come: seeds, which lead first, may be
// small.
func TestALeaderGivesWayToAMuchLargerHost(t *testing.T) {
	c := newCluster(t)
	c.members = append(c.members, c.start("small", func(o *Options) { o.Self.CPUShare = 0.16 }))
	c.eventually("the small one leads", 10*time.Second, func() bool { return c.settled(1) })
	c.members = append(c.members, c.start("large", func(o *Options) { o.Self.CPUShare = 0.8 }))
	c.eventually("the large one leads", 20*time.Second, func() bool {
		l := c.leader()
		return c.settled(2) && l != nil && l.node.o.Self.Name == "large"
	})
}

// linkTo returns the follower's end of a link whose other end is silent.
func linkTo(t *testing.T) *Link {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := AcceptLink(w, r); err == nil {
			<-t.Context().Done()
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	link, err := DialLink(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(link.Close)
	return link
}

// Guards against followers that place no requests, notice a lost leader late, and hold up the choice of the next one, since the
// others wait for the first in rank (a lost data centre with the leader: 0.9 s until the next one led).
func TestALeaderThatAnotherEntryHasLostIsChecked(t *testing.T) {
	tests := []struct {
		name   string
		silent time.Duration
		lost   string
		answer LeaderAnswer
		err    error
		asked  bool
		ended  bool
	}{
		{"it does not answer", time.Second, "leader:1", LeaderAnswer{}, errors.New("timeout"), true, true},
		{"it leads no more", time.Second, "leader:1", LeaderAnswer{}, nil, true, true},
		{"it leads", time.Second, "leader:1", LeaderAnswer{Leads: true}, nil, true, false},
		{"another one was lost", time.Second, "other:1", LeaderAnswer{}, errors.New("timeout"), false, false},
		{"it was heard a moment ago", 0, "leader:1", LeaderAnswer{}, errors.New("timeout"), false, false},
		{"none was lost", time.Second, "", LeaderAnswer{}, errors.New("timeout"), false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := NewNode(Options{Self: gateway.Entry{Name: "e", Peer: "e:1"}, Log: zerolog.Nop()})
			link := linkTo(t)
			s := newLinkSession(link)
			s.began = time.Now().Add(-test.silent)
			n.setSession(s)
			n.setRoster(&Roster{Leader: "leader:1"})
			asked := make(chan struct{}, 1)
			n.ask = func(context.Context, string, string) (LeaderAnswer, error) {
				asked <- struct{}{}
				return test.answer, test.err
			}
			n.checkLeader(test.lost)
			if !test.asked {
				assert.Empty(t, asked)
				return
			}
			<-asked
			idle := func() bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				return !n.checking
			}
			require.Eventually(t, idle, 10*time.Second, time.Millisecond)
			if test.ended {
				assert.ErrorIs(t, link.failure(nil), errLeaderLost)
			} else {
				assert.NoError(t, link.failure(nil))
			}
		})
	}
}

// Guards against a leader that is taken for lost for ever, although it may be back and lead again.
func TestALostLeaderIsForgotten(t *testing.T) {
	n := NewNode(Options{Log: zerolog.Nop()})
	assert.Empty(t, n.lostLeader())
	n.noteLost("leader:1")
	assert.Equal(t, "leader:1", n.lostLeader())
	n.lostAt = time.Now().Add(-2 * lostMemory)
	assert.Empty(t, n.lostLeader())
}
