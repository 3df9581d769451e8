package usage

import (
	"maps"
	"time"
)

// Lease is the newest record of who may send reports, in the store's log.
type Lease struct {
	Holder string  // name of the entry
	Run    string  // its process
	Token  uint64  // fencing token, which rises with each change of the holder
	First  int64   // first window that may be decided in this epoch of the store
	Done   []int64 // windows that need no report any more
}

// Report is what is reported about a window.
type Report struct {
	Window int64
	Counts map[string]uint64 // by account
}

// State is what a read of the log returns for the current epoch.
type State struct {
	Lease   *Lease   // nil if there is none
	Reports []Report // the last ones that were decided
	End     int64    // offset at which the log ends
	Epoch   uint64
}

// Write is an append to the log on the condition that it ends at At.
type Write struct {
	At      int64
	Epoch   uint64 // in which the end At was read
	Lease   Lease
	Reports []Report
}

// WriteAnswer is the store's answer to a Write that it has carried out.
type WriteAnswer struct {
	Offset, End int64
	Epoch       uint64
}

// WriteResult says what became of a Write.
type WriteResult uint8

// Results of a Write.
const (
	Written    WriteResult = iota
	NotWritten             // certainly not carried out; it never will be
	Conflict               // the log doesn't end at the offset of the condition
	Unknown                // no answer: it may have been carried out, or may be later
)

// tokenEpochShift is the position of the epoch in a fencing token. Tokens stay below 2^53, which JSON readers need, up to
// epoch 8191.
const tokenEpochShift = 40

// tokenAt returns the token of a lease that is taken by an append at an offset. No two appends of an epoch have the same offset.
func tokenAt(epoch uint64, offset int64) uint64 {
	return epoch<<tokenEpochShift | uint64(offset+1) //nolint:gosec // offsets are not negative
}

// Guard tells until when a proof of the lease holds.
type Guard struct {
	from  Instant // before the call that proved it was sent
	limit time.Duration
	skew  time.Duration // largest difference between the advances of the two clocks
}

// NewGuard returns the guard of a lease that was proved by a call sent at from, and of which limit may be used, as long as the two clocks
// have advanced alike but for skew.
func NewGuard(from Instant, limit, skew time.Duration) Guard { return Guard{from, limit, skew} }

// Left returns for how long the lease certainly holds; 0 or less if it isn't certain. The clocks advance differently when one has jumped
// or the process was suspended.
func (g Guard) Left(now Instant) time.Duration {
	mono, wall := now.Mono-g.from.Mono, now.Wall.Sub(g.from.Wall)
	if d := wall - mono; d > g.skew || d < -g.skew {
		return 0
	}
	return g.limit - max(mono, wall)
}

// marginShare: the holder stops 1/marginShare of the lease time before the end of its lease, so that a call in transit arrives before
// the next holder's.
const marginShare = 6

// lease is this process's knowledge of the lease.
type lease struct {
	known   bool // the rest is what the log held when it was last read, or this process's own writes since
	end     int64
	epoch   uint64
	newest  *Lease
	readAt  time.Duration // monotonic time of the last read that showed a change of the log
	actAt   time.Duration // monotonic time from which this process may act with the token actWith
	actWith uint64
	guard   *Guard // nil while nothing proves that the lease is held
	held    bool   // TookOver was told, and not Lost
	// doubted is set after a conflict until a read tells its reason. This process doesn't act meanwhile.
	doubted bool
	// contended is set after a conflict with another candidate. The next take-over then waits until the other one is quiet.
	contended bool
}

func (h *Holder) mine() bool { return h.l.known && h.l.newest != nil && h.l.newest.Run == h.cfg.Run }

// left returns for how long this process may certainly act.
func (h *Holder) left(now Instant) time.Duration {
	if h.l.guard == nil || h.l.doubted || now.Mono < h.l.actAt {
		return 0
	}
	return h.l.guard.Left(now)
}

// drop forgets that the lease is held, and makes the next step read the log.
func (h *Holder) drop(why string) {
	if h.l.held {
		h.event(Event{Kind: Lost, Token: h.l.actWith, Why: why})
	}
	h.l.known, h.l.held, h.l.guard = false, false, nil
}

// enterEpoch prepares for an epoch that an answer has named, and reports false for an answer from an earlier one.
func (h *Holder) enterEpoch(now Instant, epoch uint64) bool {
	if epoch <= h.l.epoch {
		return epoch == h.l.epoch
	}
	// Whoever held the lease up to now knows all reports of the epoch before.
	h.l.doubted, h.l.contended = false, false
	h.continues = h.left(now) > 0
	if !h.continues {
		h.fixed = map[int64]map[string]uint64{}
	}
	h.drop("new epoch of the store")
	h.l.epoch, h.l.newest = epoch, nil
	return true
}

// OnRead takes in the result of a read of the log.
func (h *Holder) OnRead(now Instant, s State, err error) {
	if err != nil || !h.enterEpoch(now, s.Epoch) {
		h.storeFailed(now)
		return
	}
	h.storeTries, h.retryAt, h.l.doubted = 0, 0, false
	moved := s.End != h.l.end || h.l.newest == nil
	h.l.known, h.l.end, h.l.newest = true, s.End, s.Lease
	if moved || h.l.readAt == 0 {
		h.l.readAt = now.Mono
	}
	if s.Lease == nil {
		return
	}
	for _, w := range s.Lease.Done {
		h.done[w] = true
	}
	for _, r := range s.Reports {
		if known, ok := h.fixed[r.Window]; ok && !maps.Equal(known, r.Counts) {
			h.done[r.Window] = true
			h.event(Event{Kind: GaveUp, Window: r.Window, Why: "two versions are known"})
			continue
		}
		h.fixed[r.Window] = r.Counts
	}
	h.continues = false
	if h.mine() {
		h.mayActFrom(s.Lease.Token, now.Mono)
		return
	}
	h.drop("another holder")
	h.l.known = true
}

// mayActFrom sets when this process may act as the holder with a token, if the lease of the holder before it was last seen at a time.
func (h *Holder) mayActFrom(token uint64, seen time.Duration) {
	if h.l.actWith == token {
		return
	}
	h.l.actWith, h.l.actAt = token, seen+h.cfg.Lease
}

// takeOver returns the append by which this process becomes the holder. t is the true time.
func (h *Holder) takeOver(t time.Time) *Write {
	next := Lease{Holder: h.cfg.Name, Run: h.cfg.Run, Token: tokenAt(h.l.epoch, h.l.end), Done: h.doneList()}
	w := &Write{At: h.l.end, Epoch: h.l.epoch}
	switch {
	case h.l.newest != nil:
		next.First = h.l.newest.First
	case h.continues:
		next.First = h.first
		w.Reports = h.fixedReports(t)
	default:
		// What a holder of the epoch before has decided before the restore is not known.
		next.First = h.windowOf(t.Add(clockError - closeDelay))
	}
	w.Lease = next
	return w
}

// renewal returns the append that renews the lease and fixes reports.
func (h *Holder) renewal(reports []Report) *Write {
	next := *h.l.newest
	next.Done = h.doneList()
	return &Write{At: h.l.end, Epoch: h.l.epoch, Lease: next, Reports: reports}
}

// OnWrite takes in the result of an append. sent is a time before the call; a is the answer if it was Written.
func (h *Holder) OnWrite(sent, now Instant, w *Write, a WriteAnswer, result WriteResult) {
	switch result {
	case NotWritten:
		h.storeFailed(now)
		return
	case Conflict:
		h.l.known, h.l.doubted, h.l.contended = false, true, true
		return
	case Unknown:
		h.l.known = false
		h.storeFailed(now)
		return
	}
	if !h.enterEpoch(now, a.Epoch) || a.Epoch != w.Epoch || a.Offset != w.At || a.End < w.At+1 {
		h.l.known = false
		return
	}
	h.storeTries, h.retryAt = 0, 0
	h.l.end, h.l.newest, h.l.contended, h.continues = a.End, &w.Lease, false, false
	h.first = w.Lease.First
	for _, r := range w.Reports {
		if _, ok := h.fixed[r.Window]; !ok {
			h.event(Event{Kind: Fixed, Window: r.Window})
		}
		h.fixed[r.Window] = r.Counts
	}
	margin := h.cfg.Lease / marginShare
	guard := NewGuard(sent, h.cfg.Lease-margin, margin/2)
	h.l.guard = &guard
	h.mayActFrom(w.Lease.Token, h.l.readAt)
	if !h.l.held {
		h.l.held = true
		h.event(Event{Kind: TookOver, Token: w.Lease.Token})
	}
}
