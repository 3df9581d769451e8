package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func membersIn(n, perCentre int) []Member {
	var members []Member
	for i := range n * perCentre {
		members = append(members, Member{Incarnation: fmt.Sprintf("%016x", i+1), Host: fmt.Sprint("h", i),
			DataCentre: fmt.Sprint("dc", i%n)})
	}
	return members
}

// Guards against pools of a failed data centre that are all assigned to one entry, to a leaving one or to a far data
// centre.
func TestOwnerFallsBackToNearest(t *testing.T) {
	members := membersIn(4, 8)
	distance := func(_, b string) time.Duration {
		if b == "dc3" {
			return 50 * time.Millisecond
		}
		return time.Millisecond
	}
	members[1].Leaving = true
	owners := NewOwners(members, distance)
	count := map[string]int{}
	for shard := range 2000 {
		m, ok := owners.Owner(PoolID{"s", "lost", shard})
		require.True(t, ok)
		require.NotEqual(t, "dc3", m.DataCentre)
		require.False(t, m.Leaving)
		count[m.Host]++
	}
	require.Len(t, count, 23)
	for host, n := range count {
		require.InDelta(t, 2000/23, n, 45, host)
	}
	_, ok := NewOwners(nil, nil).Owner(PoolID{})
	require.False(t, ok)
}

// Guards against a failed or restarted entry that causes pools of other entries to move.
func TestOwnerMovesOnlyPoolsOfDeadEntry(t *testing.T) {
	before := membersIn(1, 8)
	restarted := membersIn(1, 8)
	restarted[3].Incarnation = "ffffffffffffffff"
	for shard := range 500 {
		pool := PoolID{"s", "dc0", shard}
		a, _ := NewOwners(before, nil).Owner(pool)
		b, _ := NewOwners(before[1:], nil).Owner(pool)
		c, _ := NewOwners(restarted, nil).Owner(pool)
		require.True(t, a.Host == b.Host || a.Host == "h0")
		require.Equal(t, a.Host, c.Host)
	}
}

type regionPair struct {
	now  time.Time
	self *Table
	far  []*Table
}

func newRegionPair() *regionPair {
	r := &regionPair{now: time.Unix(0, 0)}
	cfg := DefaultConfig()
	r.self = New(Member{Incarnation: "00000000000000aa", Host: "x", DataCentre: "east-1"}, cfg, r.now)
	for i := range 3 {
		m := Member{Incarnation: fmt.Sprintf("%016x", i+1), Host: fmt.Sprint("w", i), DataCentre: "west-1"}
		r.far = append(r.far, New(m, cfg, r.now))
	}
	return r
}

func (r *regionPair) run(d time.Duration, connected bool) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(step) {
		for _, t := range append(r.far, r.self) {
			t.Tick(r.now)
		}
		for _, from := range r.far {
			for _, to := range r.far {
				to.Observe(r.now, from.Self(), from.Heartbeat(r.now))
			}
			if connected && r.self.ObserveDigest(r.now, from.Self(), from.Digest()) {
				r.self.ObserveDigest(r.now, from.Self(), from.DigestWithMembers())
			}
		}
	}
}

// Guards against members of other data centres that never expire, and against a partition between regions that changes
// the view of the local data centre.
func TestRemoteMembersExpireAndReturnAfterPartition(t *testing.T) {
	r := newRegionPair()
	r.run(5*time.Second, true)
	require.Len(t, r.self.Members(), 4)
	hash := r.self.ViewHash()
	r.far = r.far[:2]
	r.run(4*time.Second, true)
	require.Len(t, r.self.Members(), 3, "a dead member of the other data centre is removed")
	r.run(5*time.Minute, false)
	require.Len(t, r.self.Members(), 1)
	require.Empty(t, r.self.remote)
	r.run(time.Second, true)
	require.Len(t, r.self.Members(), 3)
	require.Equal(t, hash, r.self.ViewHash())
}

// Guards against a data centre that disappears for a round trip whenever one of its members changes.
func TestOldMemberListIsUsedUntilNewOneArrives(t *testing.T) {
	r := newRegionPair()
	r.run(5*time.Second, true)
	for _, far := range r.far {
		far.SetLeaving(r.now)
		require.True(t, r.self.ObserveDigest(r.now, far.Self(), far.Digest()))
		require.Len(t, r.self.Members(), 4)
	}
}

// Guards against a data centre that keeps outdated member lists after its sources reported many different ones at
// start.
func TestManyMemberListsAtStart(t *testing.T) {
	r := newRegionPair()
	r.far = nil
	for i := range 20 {
		m := Member{Incarnation: fmt.Sprintf("%016x", i+1), Host: fmt.Sprint("w", i), DataCentre: "west-1"}
		far := New(m, DefaultConfig(), r.now)
		r.far = append(r.far, far)
		r.self.ObserveDigest(r.now, m, far.DigestWithMembers())
	}
	r.run(5*time.Second, true)
	require.Len(t, r.self.Members(), 21)
}

// Guards against a set of links that changes with every member, and against a dead host that is dialled forever.
func TestWantedHosts(t *testing.T) {
	cfg := DefaultConfig()
	now := time.Unix(0, 0)
	table := New(Member{Incarnation: "00000000000000aa", Host: "h0", DataCentre: "dc0"}, cfg, now)
	var hosts []Host
	for _, m := range membersIn(3, 5) {
		hosts = append(hosts, Host{Name: m.Host, DataCentre: m.DataCentre})
	}
	table.SetRoster(now, hosts)
	wanted := table.WantedHosts(now)
	require.Len(t, wanted, 4+2*2)
	for _, h := range wanted {
		if h.DataCentre == "dc1" {
			table.Unreachable(now, h.Name)
			require.NotContains(t, table.WantedHosts(now), h)
			require.Len(t, table.WantedHosts(now), 8)
			break
		}
	}
	require.Equal(t, wanted, table.WantedHosts(now.Add(cfg.LinkRetry)))
}
