package conformance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/logservice/standin"
)

// slowLog is the log as one entry reaches it. While cut is set the entry takes no read action.
type slowLog struct {
	logservice.Log
	cut atomic.Bool
}

// Read implements logservice.Log.
func (l *slowLog) Read(ctx context.Context, from int64, limit int, wait time.Duration) ([]logservice.Entry, error) {
	if l.cut.Load() {
		return nil, logservice.ErrUnavailable
	}
	entries, err := l.Log.Read(ctx, from, limit, min(wait, 100*time.Millisecond))
	if l.cut.Load() {
		return nil, logservice.ErrUnavailable
	}
	return entries, err
}

// fleet runs followers of one log and claims versions as action claim of spec/config.pml does.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	log     *standin.Server
	hosts   []logservice.Host
	entries []*fleetEntry
	version int64 // newest accepted
	changes int
	inForce []claim
	byPeers int // entries that became ready without the log
}

// claim is a version in force from a time on.
type claim struct {
	version int64
	at      time.Time
}

// answerWindow is the time within which the answers of peers count together.
const answerWindow = 5 * time.Second

// inForceBefore returns the highest version in force at a time.
func (f *fleet) inForceBefore(at time.Time) int64 {
	v := int64(0)
	for _, c := range f.inForce {
		if !c.at.After(at) {
			v = max(v, c.version)
		}
	}
	return v
}

type fleetEntry struct {
	follower *configlog.Follower
	log      *slowLog
	cancel   context.CancelFunc
	running  sync.WaitGroup
	ready    bool
	version  int64
}

func newFleet(t *testing.T, n int, seed uint64) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 2)), log: standin.New(nil)}
	for i := range n {
		f.hosts = append(f.hosts, logservice.Host{Name: fmt.Sprint("e", i), DataCentre: "dc"})
		f.entries = append(f.entries, nil)
	}
	for i := range n {
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.entries {
			f.stop(i)
		}
	})
	return f
}

func (f *fleet) start(i int) {
	e := &fleetEntry{log: &slowLog{Log: f.log}}
	e.follower = configlog.NewFollower(configlog.FollowerSettings{Log: e.log, Self: f.hosts[i], Retention: time.Hour})
	e.follower.SetHosts(f.hosts)
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.running.Go(func() { _ = e.follower.Run(ctx) })
	f.entries[i] = e
}

func (f *fleet) stop(i int) {
	f.entries[i].cancel()
	f.entries[i].running.Wait()
}

// replace is action replacements.
func (f *fleet) replace(i int) {
	cut := f.entries[i].log.cut.Load()
	f.stop(i)
	f.start(i)
	f.entries[i].log.cut.Store(cut)
}

// outage cuts all entries from the log, or lets a random part of them read again.
func (f *fleet) outage(out bool) {
	for _, e := range f.entries {
		e.log.cut.Store(out || f.rng.IntN(3) == 0)
	}
}

func (f *fleet) change() {
	f.changes++
	offset, err := f.log.Append(f.t.Context(), changeData(f.t, fmt.Sprint("c", f.changes), f.version))
	require.NoError(f.t, err)
	f.version = offset
}

// ask is a part of action copyFromPeers: e asks one peer and offers its answer.
func (f *fleet) ask(i, peer int) {
	e, p := f.entries[i], f.entries[peer]
	if i == peer {
		return
	}
	if ok, _ := p.follower.Ready(); !ok {
		return
	}
	entries, _, err := p.follower.Records(e.follower.Next(), 1<<16)
	if err == nil {
		e.follower.Offer(f.hosts[peer].Name, entries)
	}
}

// check is the properties of spec/config.pml and action claim, after each step. Peers answer one after the other, so an
// entry that becomes ready must hold what was in force when the first counted answer was given.
func (f *fleet) check(step string) {
	before := f.inForceBefore(time.Now().Add(-answerWindow))
	var held []int64
	for i, e := range f.entries {
		view := e.follower.View()
		require.GreaterOrEqual(f.t, view.Version.Offset, e.version, "%s: the version of entry %d fell", step, i)
		e.version = view.Version.Offset
		ok, _ := e.follower.Ready()
		if ok && !e.ready {
			if e.log.cut.Load() {
				f.byPeers++
			}
			require.GreaterOrEqual(f.t, e.version, before, "%s: entry %d is ready with an older version than one in force", step, i)
		}
		e.ready = ok
		if ok {
			held = append(held, e.version)
		}
	}
	for _, v := range held {
		count := 0
		for _, other := range held {
			if other >= v {
				count++
			}
		}
		if count > len(f.entries)/2 {
			f.inForce = append(f.inForce, claim{v, time.Now()})
		}
	}
}

// step does one random action.
func (f *fleet) step() {
	i := f.rng.IntN(len(f.entries))
	name, pause := "", 4000
	switch f.rng.IntN(10) {
	case 0, 1:
		name = "change"
		f.change()
	case 2:
		name = "replace"
		f.replace(i)
	case 3, 4:
		name = "log out"
		f.outage(true)
	case 5:
		name = "log back for some"
		f.outage(false)
		time.Sleep(3 * time.Second)
		synctest.Wait()
	default:
		for j, e := range f.entries { // entries that are ready don't ask
			if !e.ready {
				i = j
			}
		}
		name = fmt.Sprint("ask for ", i)
		f.ask(i, f.rng.IntN(len(f.entries)))
		pause = 1000
	}
	synctest.Wait()
	f.check(name)
	time.Sleep(time.Duration(f.rng.IntN(pause)) * time.Millisecond)
	synctest.Wait()
	f.check("time")
}

// Guards against an entry that starts during an outage of the log and serves an older version than one in force,
// because it counts answers that peers gave before the version moved on (action copyFromPeers).
func TestFollowersConformToModel(t *testing.T) {
	byPeers := 0
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3+2*int(seed%2), seed)
				f.change()
				time.Sleep(5 * time.Second)
				for range 150 {
					f.step()
				}
				require.NotEmpty(t, f.inForce)
				byPeers += f.byPeers
			})
		})
	}
	require.Greater(t, byPeers, 50, "starts during an outage")
}

// Guards against old answers that count together with new ones: two peers answer, then a majority without the third
// peer takes a newer version, and the third one's answer would complete the majority for the older version.
func TestOldAnswersDoNotCompleteAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 1)
		f.change()
		time.Sleep(5 * time.Second)
		f.outage(true)
		f.replace(4)
		answer := func(peers ...int) {
			for _, p := range peers {
				f.ask(4, p) // records
				f.ask(4, p) // nothing newer
			}
			synctest.Wait()
		}
		answer(0, 1)
		for _, i := range []int{0, 1, 3} {
			f.entries[i].log.cut.Store(false)
		}
		f.change()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		f.check("change")
		require.Equal(t, f.version, f.inForceBefore(time.Now()), "the new version is in force")
		for _, e := range f.entries {
			e.log.cut.Store(true)
		}
		answer(2)
		ok, why := f.entries[4].follower.Ready()
		require.False(t, ok)
		require.Contains(t, why, "1 of 3 peer answers")
		answer(0, 1)
		ok, _ = f.entries[4].follower.Ready()
		require.True(t, ok)
		require.Equal(t, f.version, f.entries[4].follower.View().Version.Offset)
	})
}
