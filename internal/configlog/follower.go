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
	longPollTimeout    = 20 * time.Second
	minReadInterval    = 250 * time.Millisecond
	defaultReadsPerSec = 20
	// A day of records takes 188 reads. At the steady-state rate, 64 entries that restart together would need 10 min.
	minCatchUpInterval        = 20 * time.Millisecond
	defaultCatchUpReadsPerSec = 200
	defaultRetention          = 24 * time.Hour
	snapshotSpreadPerEntry    = 2 * time.Second
	minSnapshotSpread         = 10 * time.Second

	// peerAnswerTTL is how long a peer's answer that it has no newer records counts towards the quorum. After that the peer
	// may have received a newer version, so a majority of older answers proves nothing. Of a version that was in force this
	// long ago, at least one of the counted peers knows.
	peerAnswerTTL = 5 * time.Second
)

// ErrNotReady means that a follower doesn't know yet whether its state is current.
var ErrNotReady = errors.New("configuration state not known to be current")

// FollowerSettings configures a Follower.
type FollowerSettings struct {
	Log  logservice.Log
	Self logservice.Host // this entry
	// OnView receives each new state in increasing order of View.Through, from one goroutine at a time. It may call the
	// Follower but must not block for long.
	OnView func(View)
	// OnResult receives the result of each applied record, for the decision log; may be nil. It must not call the Follower.
	OnResult func(Result)
	// ReadsPerSecond limits the total read rate of all entries; default 20.
	ReadsPerSecond float64
	// CatchUpReadsPerSecond replaces ReadsPerSecond while a newly started entry reads the existing records; default 200.
	CatchUpReadsPerSecond float64
	// Retention is the retention period of the log, which determines when snapshots are due; default 24 h.
	Retention time.Duration
	// Now is the clock that is compared with the log's timestamps to schedule snapshots; default time.Now.
	Now func() time.Time
}

// Follower keeps a Fold current from the log and from peers. Its methods are safe for concurrent use.
type Follower struct {
	settings FollowerSettings

	mu            sync.Mutex
	fold          *Fold
	cursor        cursor
	buffer        buffer
	localEntries  map[string]bool      // entries of this data centre, including this one
	entryCount    int                  // number of entries in all data centres
	upToDatePeers map[string]time.Time // when each peer last answered that it has no newer records
	caughtUp      bool                 // state was known to be current at least once since the start
	catchingUp    bool                 // the initial replay isn't complete and the last read left records to read
	logErr        error
	lastRead      time.Time
	snapshotAt    time.Time // when to write the snapshot that is due; zero if none is scheduled

	publishMu        sync.Mutex
	publishedThrough int64
	view             atomic.Pointer[View]
}

// NewFollower returns a follower with an empty state.
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
		settings: s, fold: NewFold(), entryCount: 1,
		localEntries: map[string]bool{s.Self.Name: true}, upToDatePeers: map[string]time.Time{},
	}
	v := f.fold.View()
	f.view.Store(&v)
	return f
}

// View returns the current state.
func (f *Follower) View() View { return *f.view.Load() }

// Next returns the offset from which to request records from peers.
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

// SetHosts sets the last known host list. It determines which entries count towards the quorum of this data centre and
// how often this entry reads the log.
func (f *Follower) SetHosts(hosts []logservice.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.localEntries = map[string]bool{f.settings.Self.Name: true}
	all := map[string]bool{f.settings.Self.Name: true}
	for _, h := range hosts {
		all[h.Name] = true
		if h.DataCentre == f.settings.Self.DataCentre {
			f.localEntries[h.Name] = true
		}
	}
	f.entryCount = len(all)
	f.checkQuorum()
}

// Ready reports whether the state is current enough to serve with, and if not, why.
func (f *Follower) Ready() (ok bool, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.caughtUp && f.fold.Current().Offset > 0:
		return true, ""
	case f.caughtUp:
		return false, "the log holds no configuration yet"
	}
	why = fmt.Sprintf("%d of %d peer answers needed", f.countValidAnswers(), f.quorum())
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

// quorum is a majority of the entries of this data centre. This entry doesn't count, since it starts without state; with
// two entries, the answer of the other one is enough.
func (f *Follower) quorum() int {
	n := len(f.localEntries)
	return max(1, min(n/2+1, n-1))
}

func (f *Follower) countValidAnswers() int {
	n := 0
	now := f.settings.Now()
	for peer, at := range f.upToDatePeers {
		if f.localEntries[peer] && peer != f.settings.Self.Name && now.Sub(at) < peerAnswerTTL {
			n++
		}
	}
	return n
}

func (f *Follower) checkQuorum() {
	if !f.caughtUp && f.countValidAnswers() >= f.quorum() {
		f.caughtUp = true
	}
}

// Offer applies the records that a peer returned for a request starting at Next. An empty answer means that the peer,
// which must be ready itself, has no newer records; the caller repeats the request until then. A majority of such answers
// makes this entry ready without the log, if they arrived within answerValid.
func (f *Follower) Offer(peer string, entries []logservice.Entry) {
	f.mu.Lock()
	for _, e := range entries {
		f.recordApplied(e, f.fold.Apply(e))
	}
	if len(entries) == 0 {
		f.upToDatePeers[peer] = f.settings.Now()
		f.checkQuorum()
	}
	v := f.fold.View()
	f.mu.Unlock()
	f.publishView(v)
}

// Records answers a peer's request. It returns the records from offset `from`, up to maxBytes but at least one, or a
// snapshot of this entry's state if the buffer no longer has the requested records. It returns ErrNotReady if this
// entry's own state isn't known to be current, so that the peer must not be answered.
func (f *Follower) Records(from int64, maxBytes int) (entries []logservice.Entry, oldest int64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.caughtUp {
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

// recordApplied buffers an applied record for peers and reports its result. The caller holds mu.
func (f *Follower) recordApplied(e logservice.Entry, r Result) {
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
	if f.settings.OnResult != nil {
		f.settings.OnResult(r)
	}
}

func (f *Follower) publishView(v View) {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	if v.Through <= f.publishedThrough {
		return
	}
	f.publishedThrough = v.Through
	f.view.Store(&v)
	if f.settings.OnView != nil {
		f.settings.OnView(v)
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

// readInterval returns a jittered interval that keeps the total read rate of all entries under ReadsPerSecond or
// CatchUpReadsPerSecond.
func (f *Follower) readInterval() time.Duration {
	f.mu.Lock()
	n, rate, least := f.entryCount, f.settings.ReadsPerSecond, minReadInterval
	if f.catchingUp {
		rate, least = f.settings.CatchUpReadsPerSecond, minCatchUpInterval
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

	entries, err := f.settings.Log.Read(ctx, from, readBatch, wait)

	f.mu.Lock()
	f.logErr = err
	f.catchingUp = !f.caughtUp && len(entries) == readBatch
	if f.cursor.handleReadError(err) {
		f.catchingUp = !f.caughtUp
		f.logErr = nil
		f.mu.Unlock()
		return nil
	}
	if err != nil {
		f.mu.Unlock()
		return err
	}
	f.lastRead = f.settings.Now()
	f.cursor.apply(f.fold, entries, f.recordApplied)
	if len(entries) < readBatch && f.cursor.missing(f.fold.Next()) == "" && f.reachedLogEnd(from, entries) {
		f.caughtUp = true
	}
	v := f.fold.View()
	f.mu.Unlock()
	f.publishView(v)
	return nil
}

// reachedLogEnd reports whether a read that returned less than a full batch brought the fold to the end of the log.
func (f *Follower) reachedLogEnd(from int64, entries []logservice.Entry) bool {
	end := from
	if len(entries) > 0 {
		end = entries[len(entries)-1].Offset + 1
	}
	return f.fold.Next() >= end
}

// pollWait returns the timeout of the next long poll. It is 0 while the state isn't known to be current, and after a
// failed read, since LogStatus would report the failure until the poll ends. It is shortened so that a due snapshot is
// written on time. The caller holds mu.
func (f *Follower) pollWait() time.Duration {
	if !f.caughtUp || f.logErr != nil {
		return 0
	}
	if f.snapshotAt.IsZero() {
		return longPollTimeout
	}
	return min(longPollTimeout, max(0, f.snapshotAt.Sub(f.settings.Now())))
}

// snapshotStep writes a snapshot after a random delay once it is due, unless another entry has written one by then.
func (f *Follower) snapshotStep(ctx context.Context) {
	f.mu.Lock()
	now := f.settings.Now()
	if !f.caughtUp || !f.fold.SnapshotDue(now, f.settings.Retention) {
		f.snapshotAt = time.Time{}
		f.mu.Unlock()
		return
	}
	write := !f.snapshotAt.IsZero() && !now.Before(f.snapshotAt)
	if write || f.snapshotAt.IsZero() {
		spread := max(minSnapshotSpread, time.Duration(f.entryCount)*snapshotSpreadPerEntry)
		f.snapshotAt = now.Add(rand.N(min(spread, f.settings.Retention/8) + 1))
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
		// If the answer is lost, no retry is needed here: a snapshot that isn't read back is still due.
		_, err = f.settings.Log.Append(ctx, data)
	}
	if err != nil && f.settings.OnResult != nil {
		f.settings.OnResult(Result{Kind: KindSnapshot, Outcome: Refused, Reason: err.Error()})
	}
}
