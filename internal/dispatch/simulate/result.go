package simulate

import (
	"slices"
	"time"
)

// Result holds the figures of one policy in one case, counted over the calls that arrived after the warm-up.
type Result struct {
	Policy  string
	Offered [3]int
	Good    [3]int // answered in full before the deadline
	Late    [3]int // answered in full after it
	Refused [3]int
	Failed  [3]int // outcome unknown or failure
	// Wasted is slot time spent on attempts that did not lead to an answer in time.
	Wasted   time.Duration
	Probes   int
	ColdOver int // calls that reached a cold upstream past its limit
	// ColdOverAfterSign is the part of ColdOver that was sent after a response of the cold upstream had reached the
	// sender. ColdOverAfterPeers is the part that was sent after such a response of two other upstreams.
	ColdOverAfterSign  int
	ColdOverAfterPeers int
	MaxRunning         int // highest number of concurrent calls on one upstream
	Seconds            float64
	inWindow           int
	latencies          [3][]time.Duration
}

func (r *Result) counts(j *job) bool { return j.arrived >= warmUp }

func (r *Result) offered(_ *engine, j *job) {
	if r.counts(j) {
		r.Offered[j.class]++
	}
}

func (r *Result) completed(e *engine, j *job, out outcome) {
	if e.now >= warmUp && e.now < e.c.Duration && e.now <= j.deadline {
		r.inWindow++
	}
	if !r.counts(j) {
		return
	}
	r.latencies[j.class] = append(r.latencies[j.class], e.now-j.arrived)
	if e.now <= j.deadline {
		r.Good[j.class]++
		return
	}
	r.Late[j.class]++
	r.Wasted += out.worked
}

func (r *Result) refused(_ *engine, j *job) {
	if r.counts(j) {
		r.Refused[j.class]++
	}
}

func (r *Result) failed(_ *engine, j *job) {
	if r.counts(j) {
		r.Failed[j.class]++
	}
}

func (r *Result) countSigns(a *arrival) {
	if a.afterSign {
		r.ColdOverAfterSign++
	}
	if a.otherSigns >= 2 {
		r.ColdOverAfterPeers++
	}
}

func (r *Result) waste(_ *engine, j *job, worked time.Duration) {
	if r.counts(j) {
		r.Wasted += worked
	}
}

// Quantile returns the latency of a class at the given part, over answered calls, or 0 when none was answered.
func (r *Result) Quantile(class int, q float64) time.Duration {
	l := r.latencies[class]
	if len(l) == 0 {
		return 0
	}
	if !slices.IsSorted(l) {
		slices.Sort(l)
	}
	return l[min(int(q*float64(len(l))), len(l)-1)]
}

// Goodput is the number of calls answered in time per second, between the warm-up and the last arrival. Answers to calls
// that are still queued then don't count: they would make an overloaded run look better than its capacity.
func (r *Result) Goodput() float64 { return float64(r.inWindow) / r.Seconds }

func sum(a [3]int) int { return a[0] + a[1] + a[2] }
