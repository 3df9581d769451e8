package configlog

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/logservice/standin"
)

func hosts(n int) []logservice.Host {
	var list []logservice.Host
	for i := range n {
		list = append(list, logservice.Host{Name: fmt.Sprint("e", i), DataCentre: "dc1"})
	}
	return list
}

type followerGroup struct {
	followers []*Follower
	views     [][]View
	mu        sync.Mutex
}

// startFollowers runs n followers until the test ends.
func startFollowers(t *testing.T, log logservice.Log, n int, retention time.Duration) *followerGroup {
	t.Helper()
	f := &followerGroup{views: make([][]View, n)}
	var running sync.WaitGroup
	for i, h := range hosts(n) {
		follower := NewFollower(FollowerSettings{Log: log, Self: h, Retention: retention, OnView: func(v View) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.views[i] = append(f.views[i], v)
		}})
		follower.SetHosts(hosts(n))
		f.followers = append(f.followers, follower)
		running.Go(func() { _ = follower.Run(t.Context()) })
	}
	t.Cleanup(running.Wait)
	return f
}

func appendChange(t *testing.T, log logservice.Log, id string, base int64) int64 {
	t.Helper()
	offset, err := log.Append(t.Context(), encode(t, changeRecord(id, base, inventoryJSON(int(base), ""))))
	require.NoError(t, err)
	return offset
}

// Guards against an entry that misses a change, publishes a version twice or reverts to an older one after a log outage.
func TestFollowerPublishesRisingVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.New(nil)
		f := startFollowers(t, log, 3, time.Hour)
		time.Sleep(5 * time.Second)
		_, why := f.followers[0].Ready()
		require.Equal(t, "the log holds no configuration yet", why)
		v := appendChange(t, log, "a", 0)
		time.Sleep(10 * time.Second)
		log.SetFaults(standin.Faults{LogOutage: true})
		time.Sleep(time.Minute)
		_, err := f.followers[0].LogStatus()
		require.ErrorIs(t, err, logservice.ErrUnavailable)
		ok, _ := f.followers[0].Ready()
		require.True(t, ok, "a running entry stays ready during an outage")
		log.SetFaults(standin.Faults{})
		v = appendChange(t, log, "b", v)
		time.Sleep(18 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		for i, views := range f.views {
			require.Equal(t, v, f.followers[i].View().Version.Offset)
			require.Len(t, views, 2)
			require.Less(t, views[0].Through, views[1].Through)
		}
	})
}

// Guards against an entry that starts during a log outage and serves an outdated configuration from a minority of its
// peers, or never becomes ready from a majority.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.New(nil)
		peer := startFollowers(t, log, 1, time.Hour).followers[0]
		v := appendChange(t, log, "a", 0)
		appendChange(t, log, "b", v)
		time.Sleep(5 * time.Second)
		log.SetFaults(standin.Faults{LogOutage: true})
		fresh := NewFollower(FollowerSettings{Log: log, Self: logservice.Host{Name: "new", DataCentre: "dc1"}})
		fresh.SetHosts(append(hosts(4), logservice.Host{Name: "far", DataCentre: "dc2"}))
		go func() { _ = fresh.Run(t.Context()) }()
		time.Sleep(5 * time.Second)
		_, _, err := fresh.Records(1, 1000)
		require.ErrorIs(t, err, ErrNotReady, "an entry without a current state must not answer peers")

		entries, oldest, err := peer.Records(fresh.Next(), 1)
		require.NoError(t, err)
		require.Equal(t, int64(1), oldest)
		require.Len(t, entries, 1, "at least one record whatever its size")
		fresh.Offer("e0", entries)
		entries, _, err = peer.Records(fresh.Next(), 1<<20)
		require.NoError(t, err)
		fresh.Offer("e0", entries)
		require.Equal(t, int64(2), fresh.View().Version.Offset)
		for _, name := range []string{"e0", "e0", "e1", "far", "stranger", "new"} {
			fresh.Offer(name, nil)
			ok, why := fresh.Ready()
			require.False(t, ok)
			require.Contains(t, why, "of 3 peer answers needed")
			require.Contains(t, why, "log can't be read")
		}
		fresh.Offer("e2", nil)
		ok, _ := fresh.Ready()
		require.True(t, ok)
	})
}

// Guards against a peer that can't catch up because the records it needs are no longer in the buffer.
func TestRecordsBeyondTheBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.New(nil)
		log.SetFaults(standin.Faults{AppendsPerSecond: -1})
		peer := startFollowers(t, log, 1, time.Hour).followers[0]
		appendChange(t, log, "a", 0)
		for range bufferRecords + 100 {
			_, err := log.Append(t.Context(), []byte("junk"))
			require.NoError(t, err)
		}
		time.Sleep(30 * time.Second)
		entries, oldest, err := peer.Records(1, 1<<20)
		require.NoError(t, err)
		require.Equal(t, int64(102), oldest)
		require.Len(t, entries, 1)
		fresh := NewFollower(FollowerSettings{Log: log, Self: logservice.Host{Name: "new"}})
		fresh.Offer("e0", entries)
		require.Equal(t, peer.View(), fresh.View())
	})
}

// Guards against a reader that treats a truncated log as complete, or that doesn't recover once a snapshot is written.
func TestExpiredWithoutSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.New(nil)
		v := appendChange(t, log, "a", 0)
		whole, err := Load(t.Context(), log)
		require.NoError(t, err)
		log.SetFaults(standin.Faults{KeepRecords: 1})
		appendChange(t, log, "b", v)
		f := startFollowers(t, log, 2, time.Hour)
		time.Sleep(5 * time.Second)
		ok, why := f.followers[0].Ready()
		require.False(t, ok)
		require.Contains(t, why, "records 1 to 1 expired and no snapshot covers them")
		_, err = Load(t.Context(), log)
		require.ErrorContains(t, err, "expired")
		data, err := whole.Snapshot()
		require.NoError(t, err)
		log.SetFaults(standin.Faults{KeepRecords: 2})
		_, err = log.Append(t.Context(), data)
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		require.Equal(t, int64(2), f.followers[0].View().Version.Offset)
	})
}

// Guards against snapshots written after the records they replace have expired, and against every entry writing one.
func TestSnapshotsKeepTheLogReadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.New(nil)
		const retention = time.Hour
		log.SetFaults(standin.Faults{KeepMs: retention.Milliseconds()})
		startFollowers(t, log, 16, retention)
		v := appendChange(t, log, "a", 0)
		for i := range 48 {
			time.Sleep(15 * time.Minute)
			if i == 24 {
				v = appendChange(t, log, "b", v)
			}
			f, err := Load(t.Context(), log)
			require.NoError(t, err)
			require.Equal(t, v, f.Current().Offset)
		}
		snapshots := log.Counters().Appends - 2
		t.Logf("%d snapshots in 12 h by 16 entries; 24 half retentions", snapshots)
		require.GreaterOrEqual(t, snapshots, int64(20))
		require.LessOrEqual(t, snapshots, int64(48))
	})
}

// Guards against a total read rate above the limit of the log, whatever the append rate.
func TestReadsStayUnderTheBudget(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		log := standin.New(nil)
		f := startFollowers(t, log, 144, time.Hour)
		v := appendChange(t, log, "a", 0)
		time.Sleep(time.Minute)
		before := log.Counters().Reads
		for range 20 * 10 {
			time.Sleep(100 * time.Millisecond)
			v = appendChange(t, log, fmt.Sprint("c", v), v)
		}
		perSecond := float64(log.Counters().Reads-before) / 20
		t.Logf("%.1f reads/s by 144 entries during 10 changes/s", perSecond)
		require.LessOrEqual(t, perSecond, 1.1*defaultReadsPerSec)
		time.Sleep(18 * time.Second)
		for _, one := range f.followers {
			require.Equal(t, v, one.View().Version.Offset)
		}
	})
}

// Guards against a simultaneous restart of all entries in which replaying a day of records takes minutes, or in which the
// read rate is unlimited.
func TestCatchUpAfterRestartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.New(nil)
		v := appendChange(t, log, "a", 0)
		const batches = 20
		for i := range batches*readBatch - 1 {
			time.Sleep(100 * time.Millisecond)
			v = appendChange(t, log, fmt.Sprint("c", i), v)
		}
		started, before := time.Now(), log.Counters().Reads
		f := startFollowers(t, log, 64, 24*time.Hour)
		ready := func(one *Follower) bool { ok, _ := one.Ready(); return ok }
		for _, one := range f.followers {
			for !ready(one) {
				time.Sleep(10 * time.Millisecond)
			}
		}
		seconds := time.Since(started).Seconds()
		perSecond := float64(log.Counters().Reads-before) / seconds
		t.Logf("64 entries ready after %.1f s, %.0f reads/s", seconds, perSecond)
		const perRead = 64.0 / defaultCatchUpReadsPerSec
		require.LessOrEqual(t, seconds, 1.25*(batches+1)*perRead)
		require.LessOrEqual(t, perSecond, 1.25*defaultCatchUpReadsPerSec)
		for _, one := range f.followers {
			require.Equal(t, v, one.View().Version.Offset)
		}
	})
}
