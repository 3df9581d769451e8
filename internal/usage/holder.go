package usage

import (
	"slices"
	"time"
)

const (
	// closeDelay is the time from the end of a window until it may be decided. Counts are sent each 200 ms, and not-run responses come
	// within milliseconds.
	closeDelay = 700 * time.Millisecond
	// closeLimit is the time after which a window is decided though entries are missing that counted in it. It leaves time for one change
	// of the holder before the report is due.
	closeLimit = 4 * time.Second
	// renewBefore is the time before the end of a window at which the lease is renewed. It then lasts until the window is decided.
	renewBefore = time.Second
	// clockError bounds the difference between the estimates of true time of two leaders.
	clockError = time.Second
	// sendMargin is kept from the latest time of a report.
	sendMargin = 300 * time.Millisecond
	// minCallTime is the time that the lease must still last for a call to start.
	minCallTime = 200 * time.Millisecond
	callTimeout = time.Second
	// keptReports is the number of windows whose reports the log keeps; see ReportIndex. spareReports of them are not used for windows
	// that can still be reported. They cover the present window and the difference between the clocks of two leaders.
	keptReports  = 16
	spareReports = 3

	// firstRetry and lastRetry are the shortest and the longest delay of a repeated call to the store or the endpoint. Each delay is twice
	// the one before.
	firstRetry = 250 * time.Millisecond
	lastRetry  = time.Second
	// rateShare is the part of the accepted rate of calls that one holder uses.
	rateShare = 0.5
)

// Config describes the duty and this process.
type Config struct {
	Name, Run string        // of the entry and its process
	Window    time.Duration // length of a window
	Lease     time.Duration // for which a holder may act after it has proved that it holds
	Late      time.Duration // from the end of a window until its report is of no use
	PerSecond float64       // calls that the endpoint accepts from all entries; 0 means no limit
}

// Counts is what a Holder needs to know of the counts. Table implements it.
type Counts interface {
	Totals(window int64) map[string]uint64
	Known(window int64) bool
	Complete(window int64, end time.Time) bool
}

// Call is a report to send.
type Call struct {
	Report
	Holder  string
	Token   uint64
	Attempt int // starts at 1
	// Guard has to be checked when the call is written to the connection.
	Guard   Guard
	Timeout time.Duration
}

// Step is what to do next; at most one field is set. Its result is passed to OnRead, OnWrite or OnCall before the next step.
type Step struct {
	Read  bool
	Write *Write
	Call  *Call
}

// EventKind says what an Event is about.
type EventKind uint8

// Kinds of events.
const (
	TookOver  EventKind = iota // this process has the newest lease
	Lost                       // it isn't certain any more that this process has the newest lease
	Fixed                      // the counts of a window are in the log
	Delivered                  // a report was accepted
	Repeated                   // a report has to be sent again
	GaveUp                     // a window gets no report from this process
)

// Event is for logs and metrics.
type Event struct {
	Kind    EventKind
	Window  int64
	Token   uint64
	Attempt int
	Why     string
}

// Holder decides whether this process may send reports, and which.
type Holder struct {
	cfg Config
	l   lease
	// continues is set in a new epoch in which nobody holds yet, if this process held up to its start.
	continues bool
	first     int64 // see Lease.First; of the last lease that this process has written

	startedAt time.Time                   // true time of the first step
	oldest    int64                       // first window that can still be reported
	checked   int64                       // first window that forget has not yet found done or too late
	fixed     map[int64]map[string]uint64 // counts in the log, by window and account
	done      map[int64]bool              // windows that need no report any more
	attempts  map[int64]int               // calls, by window

	// The times below are of the monotonic clock.
	storeTries int                     // failed calls to the store since the last success
	retryAt    time.Duration           // earliest time of the next call to the store
	callAt     time.Duration           // earliest time of the next call to the endpoint
	callAgain  map[int64]time.Duration // earliest time of the next call for a window
	events     []Event
}

// NewHolder returns the state of a process that has done nothing yet.
func NewHolder(cfg Config) *Holder {
	// A later window must not replace the record of one that a successor may still report.
	cfg.Late = min(cfg.Late, (keptReports-spareReports)*cfg.Window)
	return &Holder{
		cfg: cfg, fixed: map[int64]map[string]uint64{}, done: map[int64]bool{}, attempts: map[int64]int{}, callAgain: map[int64]time.Duration{},
	}
}

// WindowOf returns the window of a length that contains a true time.
func WindowOf(t time.Time, length time.Duration) int64 {
	w := t.UnixNano() / int64(length)
	if t.UnixNano()%int64(length) < 0 {
		w--
	}
	return w
}

// ReportIndex returns the number under which the log keeps the report of a window. A later window replaces it when the earlier one can't
// be reported any more.
func ReportIndex(window int64) int64 { return window % keptReports }

func (h *Holder) windowOf(t time.Time) int64 { return WindowOf(t, h.cfg.Window) }

func (h *Holder) endOf(window int64) time.Time { return time.Unix(0, (window+1)*int64(h.cfg.Window)) }

func (h *Holder) event(e Event) { h.events = append(h.events, e) }

// Events returns what has happened since the last call.
func (h *Holder) Events() []Event {
	out := h.events
	h.events = nil
	return out
}

// Holds reports whether this process has the newest lease, as far as it knows.
func (h *Holder) Holds() bool { return h.l.held }

// Next returns what to do at the true time t. candidate says whether this process should hold the lease.
func (h *Holder) Next(now Instant, t time.Time, candidate bool, counts Counts) Step {
	if h.startedAt.IsZero() {
		h.startedAt = t
	}
	if !candidate {
		h.drop("no candidate")
		h.l.contended, h.checked = false, 0
		return Step{}
	}
	if h.l.guard != nil && h.l.guard.Left(now) <= 0 {
		h.l.guard = nil // for good, because a clock that has jumped may seem right again after a suspension
	}
	h.forget(t)
	window, due := h.nextCall(now, t)
	if left := h.left(now); due && left >= minCallTime {
		return Step{Call: h.call(window, left)}
	}
	switch {
	case now.Mono < h.retryAt:
		return Step{}
	case !h.l.known:
		return Step{Read: true}
	case !h.mine():
		if h.l.contended && now.Mono < h.l.readAt+h.cfg.Lease {
			return Step{}
		}
		return Step{Write: h.takeOver(t)}
	case now.Mono < h.l.actAt:
		return Step{}
	}
	if reports := h.closed(t, counts); len(reports) > 0 || due || h.needsProof(t) && h.left(now) < minCallTime {
		return Step{Write: h.renewal(reports)}
	}
	return Step{}
}

// needsProof reports whether a window will be decided soon. The lease is renewed then: a holder whose lease is in force when it learns
// of a new epoch of the store knows that nobody else has decided the window.
func (h *Holder) needsProof(t time.Time) bool {
	for w := h.windowOf(t.Add(-closeLimit)); w <= h.windowOf(t); w++ {
		since := t.Sub(h.endOf(w))
		if _, ok := h.fixed[w]; !ok && !h.done[w] && since >= -renewBefore && since < closeLimit && w >= h.l.newest.First {
			return true
		}
	}
	return false
}

// forget drops windows that are too late, and tells those that got no report.
func (h *Holder) forget(t time.Time) {
	// A window stays too late when the estimate of true time goes back, because what was decided about it is forgotten here.
	h.oldest = max(h.oldest, h.windowOf(t.Add(sendMargin-h.cfg.Late)))
	oldest := h.oldest
	if h.checked == 0 {
		h.checked = max(oldest, h.windowOf(h.startedAt))
	}
	for ; h.checked < oldest; h.checked++ {
		if !h.done[h.checked] && h.l.newest != nil && h.l.newest.Run == h.cfg.Run && h.checked >= h.l.newest.First {
			h.event(Event{Kind: GaveUp, Window: h.checked, Why: "too late", Attempt: h.attempts[h.checked]})
		}
	}
	for w := range h.fixed {
		if w < oldest {
			delete(h.fixed, w)
		}
	}
	for w := range h.done {
		if w < oldest {
			delete(h.done, w)
		}
	}
	for w := range h.attempts {
		if w < oldest {
			delete(h.attempts, w)
			delete(h.callAgain, w)
		}
	}
}

// nextCall returns the oldest window whose fixed report is due now.
func (h *Holder) nextCall(now Instant, t time.Time) (window int64, due bool) {
	if now.Mono < h.callAt {
		return 0, false
	}
	for w := h.oldest; w <= h.windowOf(t); w++ {
		if _, ok := h.fixed[w]; ok && !h.done[w] && now.Mono >= h.callAgain[w] {
			return w, true
		}
	}
	return 0, false
}

func (h *Holder) call(window int64, left time.Duration) *Call {
	h.attempts[window]++
	return &Call{
		Report: Report{Window: window, Counts: h.fixed[window]}, Holder: h.cfg.Name, Token: h.l.actWith, Attempt: h.attempts[window],
		Guard: *h.l.guard, Timeout: min(callTimeout, left),
	}
}

// closed returns the reports of the windows to fix now.
func (h *Holder) closed(t time.Time, counts Counts) []Report {
	var out []Report
	for w := max(h.oldest, h.l.newest.First); w < h.windowOf(t); w++ {
		end := h.endOf(w)
		since := t.Sub(end)
		if _, ok := h.fixed[w]; ok || h.done[w] || since < closeDelay || since < closeLimit && !counts.Complete(w, end) {
			continue
		}
		if end.Add(-h.cfg.Window).Before(h.startedAt) && !counts.Known(w) {
			continue // the counts of the time before this process are lost, if there were any
		}
		out = append(out, Report{Window: w, Counts: counts.Totals(w)})
	}
	return out
}

// fixedReports returns the reports that were fixed, for a log that may lack them.
func (h *Holder) fixedReports(t time.Time) []Report {
	var out []Report
	for w := h.oldest; w <= h.windowOf(t); w++ {
		if counts, ok := h.fixed[w]; ok {
			out = append(out, Report{w, counts})
		}
	}
	return out
}

func (h *Holder) doneList() []int64 {
	var out []int64
	for w := range h.done {
		if w >= h.oldest {
			out = append(out, w)
		}
	}
	slices.Sort(out)
	return out
}

// storeFailed delays the next call to the store.
func (h *Holder) storeFailed(now Instant) {
	h.retryAt = now.Mono + backoff(h.storeTries)
	h.storeTries++
}

func backoff(tries int) time.Duration { return min(firstRetry<<min(tries, 8), lastRetry) }

// CallResult says what became of a Call.
type CallResult uint8

// Results of a Call.
const (
	Accepted CallResult = iota
	TryAgain            // no answer, 429 or a 5xx status
	Rejected            // a status that a repetition doesn't change
	Unsent              // the lease was not certain at the time of writing
)

// OnCall takes in the result of a call.
func (h *Holder) OnCall(now Instant, c *Call, result CallResult, why string) {
	if h.cfg.PerSecond > 0 {
		h.callAt = now.Mono + time.Duration(float64(time.Second)/(rateShare*h.cfg.PerSecond))
	}
	e := Event{Window: c.Window, Token: c.Token, Attempt: c.Attempt, Why: why}
	switch result {
	case Accepted:
		h.done[c.Window], e.Kind = true, Delivered
	case Rejected:
		h.done[c.Window], e.Kind = true, GaveUp
	default:
		h.callAgain[c.Window], e.Kind = now.Mono+backoff(c.Attempt-1), Repeated
		if result == Unsent {
			h.l.guard = nil
		}
	}
	h.event(e)
}
