package configlog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/pause"
)

const (
	longPoll           = 20 * time.Second
	minReadInterval    = 250 * time.Millisecond
	defaultReadsPerSec = 20
	// A day of records is 188 reads. At the steady rate, 64 entries that restart together would take 10 min for them.
	minCatchUpInterval        = 20 * time.Millisecond
	defaultCatchUpReadsPerSec = 200
	defaultRetention          = 24 * time.Hour
	snapshotSpreadEntry       = 2 * time.Second
	minSnapshotSpread         = 10 * time.Second

	// answerValid is how long a peer's answer that it has nothing newer counts. Peers that answered earlier may hold a
	// newer version meanwhile, and a majority of such answers proves nothing. A version that was in force this long ago
	// is known to one of the peers that are counted.
	answerValid = 5 * time.Second
)

// ErrNotReady means that a follower doesn't know yet whether its state is current.
var ErrNotReady = errors.New("configuration state not known to be current")

// FollowerSettings configures a Follower.
type FollowerSettings struct {
	Log  logservice.Log
	Self logservice.Host // this entry
	// OnView receives each new state, in order of rising View.Through, from one goroutine at a time. It may call the
	// Follower but must not block for long.
	OnView func(View)
	// OnResult receives what each record did, for the decision log; may be nil. It must not call the Follower.
	OnResult func(Result)
	// ReadsPerSecond limits the reads of all entries together; default 20.
	ReadsPerSecond float64
	// CatchUpReadsPerSecond takes its place while entries that have just started read the records there are; default 200.
	CatchUpReadsPerSecond float64
	// Retention is the log's retention, for the time of snapshots; default 24 h.
	Retention time.Duration
	// Now is the clock that is compared with the log's stamps for snapshots; default time.Now.
	Now func() time.Time
}

// Follower keeps a Fold current from the log and from peers. Its methods are safe for concurrent use.
type Follower struct {
	set FollowerSettings

	mu         sync.Mutex
	fold       *Fold
	cursor     cursor
	buffer     buffer
	roster     map[string]bool      // entries of this data centre, with this entry
	population int                  // entries of all data centres
	answered   map[string]time.Time // when a peer had nothing newer
	current    bool                 // state known to be current once since the start
	behind     bool                 // the last read since the start left records to read
	logErr     error
	lastRead   time.Time
	snapshotAt time.Time // time to write the snapshot that is due

	publish   sync.Mutex
	published int64
	view      atomic.Pointer[View]
}

// NewFollower returns a follower without any state.
func NewFollower(s FollowerSettings) *Follower {
	if s.ReadsPerSecond <= 0 {
		s.ReadsPerSecond = defaultReadsPerSec
	}
	if s.CatchUpReadsPerSecond <= 0 {
		s.CatchUpReadsPerSecond = defaultCatchUpReadsPerSec
	}
	if s.Retention <= 0 {
		s.Retention = defaultRetention
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	f := &Follower{
		set: s, fold: NewFold(), population: 1,
		roster: map[string]bool{s.Self.Name: true}, answered: map[string]time.Time{},
	}
	v := f.fold.View()
	f.view.Store(&v)
	return f
}

// View returns the current state.
func (f *Follower) View() View { return *f.view.Load() }

// Next is the offset to ask peers for.
func (f *Follower) Next() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Next()
}

// Counters returns how many records had no effect.
func (f *Follower) Counters() Counters {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Counters()
}

// SetHosts takes the last known host list, from which the roster of this data centre and the pace of reads follow.
func (f *Follower) SetHosts(hosts []logservice.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roster = map[string]bool{f.set.Self.Name: true}
	all := map[string]bool{f.set.Self.Name: true}
	for _, h := range hosts {
		all[h.Name] = true
		if h.DataCentre == f.set.Self.DataCentre {
			f.roster[h.Name] = true
		}
	}
	f.population = len(all)
	f.checkMajority()
}

// Ready reports whether the state is current enough to serve with, and if not, why.
func (f *Follower) Ready() (ok bool, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.current && f.fold.Current().Offset > 0:
		return true, ""
	case f.current:
		return false, "the log holds no configuration yet"
	}
	why = fmt.Sprintf("%d of %d peer answers needed", f.countAnswers(), f.needAnswers())
	if missing := f.cursor.missing(f.fold.Next()); missing != "" {
		return false, missing + "; " + why
	}
	if f.logErr != nil {
		return false, fmt.Sprintf("the log can't be read (%v); %s", f.logErr, why)
	}
	return false, "the log is being read; " + why
}

// LogStatus returns the time of the last successful read of the log and the error of a later failed one.
func (f *Follower) LogStatus() (lastRead time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead, f.logErr
}

// needAnswers is a majority of the roster. This entry doesn't count, since it knew nothing at its start; in a roster of
// two the answer of the other one is enough.
func (f *Follower) needAnswers() int {
	n := len(f.roster)
	return max(1, min(n/2+1, n-1))
}

func (f *Follower) countAnswers() int {
	n := 0
	now := f.set.Now()
	for peer, at := range f.answered {
		if f.roster[peer] && peer != f.set.Self.Name && now.Sub(at) < answerValid {
			n++
		}
	}
	return n
}

func (f *Follower) checkMajority() {
	if !f.current && f.countAnswers() >= f.needAnswers() {
		f.current = true
	}
}

// Offer takes the records of a peer's answer to a request from Next on. An empty answer says that the peer, which must
// be ready itself, has nothing newer; a peer is asked again until then. A majority of such answers makes this entry
// ready without the log, if they came within answerValid.
func (f *Follower) Offer(peer string, entries []logservice.Entry) {
	f.mu.Lock()
	for _, e := range entries {
		f.take(e, f.fold.Apply(e))
	}
	if len(entries) == 0 {
		f.answered[peer] = f.set.Now()
		f.checkMajority()
	}
	v := f.fold.View()
	f.mu.Unlock()
	f.emit(v)
}

// Records answers a peer's request: the records from `from` on, at most maxBytes of them but at least one, or this
// entry's own state as a snapshot when older records are asked for than the buffer holds. It returns ErrNotReady when
// the peer must not be answered.
func (f *Follower) Records(from int64, maxBytes int) (entries []logservice.Entry, oldest int64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.current {
		return nil, 0, ErrNotReady
	}
	next := f.fold.Next()
	oldest = f.buffer.oldest(next)
	if from >= next {
		return nil, oldest, nil
	}
	if from >= oldest {
		return f.buffer.from(from, maxBytes), oldest, nil
	}
	data, err := f.fold.Snapshot()
	if err != nil {
		return nil, oldest, err
	}
	return []logservice.Entry{{Offset: next - 1, Time: f.fold.logTime, Data: data}}, oldest, nil
}

// take keeps an applied record for peers. The caller holds mu.
func (f *Follower) take(e logservice.Entry, r Result) {
	switch r.Outcome {
	case Stale, Gap:
		return
	case Restored:
		f.buffer.clear()
	default:
		if e.Offset == f.fold.Next()-1 {
			f.buffer.add(e)
		}
	}
	if f.set.OnResult != nil {
		f.set.OnResult(r)
	}
}

func (f *Follower) emit(v View) {
	f.publish.Lock()
	defer f.publish.Unlock()
	if v.Through <= f.published {
		return
	}
	f.published = v.Through
	f.view.Store(&v)
	if f.set.OnView != nil {
		f.set.OnView(v)
	}
}

// Run reads the log until ctx ends, and writes snapshots when they are due.
func (f *Follower) Run(ctx context.Context) error {
	var backoff logservice.Backoff
	for ctx.Err() == nil {
		err := f.readStep(ctx)
		delay := f.readInterval()
		if err != nil {
			delay = max(delay, backoff.Next())
		} else {
			backoff.Reset()
			f.snapshotStep(ctx)
		}
		if pause.Sleep(ctx, delay) != nil {
			break
		}
	}
	return ctx.Err()
}

// readInterval keeps all entries together under ReadsPerSecond or CatchUpReadsPerSecond, each at its own random phase.
func (f *Follower) readInterval() time.Duration {
	f.mu.Lock()
	n, rate, least := f.population, f.set.ReadsPerSecond, minReadInterval
	if f.behind {
		rate, least = f.set.CatchUpReadsPerSecond, minCatchUpInterval
	}
	f.mu.Unlock()
	d := time.Duration(float64(n) / rate * float64(time.Second))
	d = max(d, least)
	return d*3/4 + rand.N(d/2)
}

func (f *Follower) readStep(ctx context.Context) error {
	f.mu.Lock()
	from := f.cursor.from(f.fold.Next())
	wait := f.pollWait()
	f.mu.Unlock()

	entries, err := f.set.Log.Read(ctx, from, readBatch, wait)

	f.mu.Lock()
	f.logErr = err
	f.behind = !f.current && len(entries) == readBatch
	if f.cursor.failed(err) {
		f.behind = !f.current
		f.logErr = nil
		f.mu.Unlock()
		return nil
	}
	if err != nil {
		f.mu.Unlock()
		return err
	}
	f.lastRead = f.set.Now()
	f.cursor.apply(f.fold, entries, f.take)
	if len(entries) < readBatch && f.cursor.missing(f.fold.Next()) == "" && f.reached(from, entries) {
		f.current = true
	}
	v := f.fold.View()
	f.mu.Unlock()
	f.emit(v)
	return nil
}

// reached reports whether a short read took the fold to the end of the log.
func (f *Follower) reached(from int64, entries []logservice.Entry) bool {
	end := from
	if len(entries) > 0 {
		end = entries[len(entries)-1].Offset + 1
	}
	return f.fold.Next() >= end
}

// pollWait shortens the long poll while the state isn't known to be current, after a failed read, since LogStatus would
// report the failure until the poll ends, and so that a due snapshot is written on time. The caller holds mu.
func (f *Follower) pollWait() time.Duration {
	if !f.current || f.logErr != nil {
		return 0
	}
	if f.snapshotAt.IsZero() {
		return longPoll
	}
	return min(longPoll, max(0, f.snapshotAt.Sub(f.set.Now())))
}

// snapshotStep writes a snapshot at a random time after it is due, unless another entry's has come by then.
func (f *Follower) snapshotStep(ctx context.Context) {
	f.mu.Lock()
	now := f.set.Now()
	if !f.current || !f.fold.SnapshotDue(now, f.set.Retention) {
		f.snapshotAt = time.Time{}
		f.mu.Unlock()
		return
	}
	write := !f.snapshotAt.IsZero() && !now.Before(f.snapshotAt)
	if write || f.snapshotAt.IsZero() {
		spread := max(minSnapshotSpread, time.Duration(f.population)*snapshotSpreadEntry)
		f.snapshotAt = now.Add(rand.N(min(spread, f.set.Retention/8) + 1))
	}
	var data []byte
	var err error
	if write {
		data, err = f.fold.Snapshot()
	}
	f.mu.Unlock()
	if !write {
		return
	}
	if err == nil {
		// A lost answer needs no resolving: if the snapshot isn't read back, it is still due.
		_, err = f.set.Log.Append(ctx, data)
	}
	if err != nil && f.set.OnResult != nil {
		f.set.OnResult(Result{Kind: KindSnapshot, Outcome: Refused, Reason: err.Error()})
	}
}
