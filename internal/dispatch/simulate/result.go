package simulate

import (
	"slices"
	"time"
)

// Result holds the figures of one policy in one case, over the calls that arrived after the warm-up.
type Result struct {
	Policy         string
	Offered        [3]int
	AnsweredInTime [3]int // full response before the deadline
	AnsweredLate   [3]int // full response after the deadline
	Refused        [3]int
	Failed         [3]int // failed or with unknown outcome
	// Wasted is the slot time of attempts that did not lead to a response before the deadline.
	Wasted        time.Duration
	Probes        int
	ColdOverLimit int // calls that reached a cold upstream above its limit
	// ColdOverLimitAfterResponse is the part of ColdOverLimit that was sent after a response of the upstream had shown the
	// cold start to the sender. ColdOverLimitAfterPeers is the part that was sent after responses of at least two other
	// upstreams had shown a cold start.
	ColdOverLimitAfterResponse int
	ColdOverLimitAfterPeers    int
	MaxRunning                 int // highest number of concurrent calls on one upstream
	Seconds                    float64
	goodInWindow               int // calls that count for Goodput
	latencies                  [3][]time.Duration
}

func (r *Result) afterWarmUp(j *job) bool { return j.arrived >= warmUp }

func (r *Result) offered(_ *engine, j *job) {
	if r.afterWarmUp(j) {
		r.Offered[j.class]++
	}
}

func (r *Result) completed(e *engine, j *job, out outcome) {
	if e.now >= warmUp && e.now < e.c.Duration && e.now <= j.deadline {
		r.goodInWindow++
	}
	if !r.afterWarmUp(j) {
		return
	}
	r.latencies[j.class] = append(r.latencies[j.class], e.now-j.arrived)
	if e.now <= j.deadline {
		r.AnsweredInTime[j.class]++
		return
	}
	r.AnsweredLate[j.class]++
	r.Wasted += out.slotTime
}

func (r *Result) refused(_ *engine, j *job) {
	if r.afterWarmUp(j) {
		r.Refused[j.class]++
	}
}

func (r *Result) failed(_ *engine, j *job) {
	if r.afterWarmUp(j) {
		r.Failed[j.class]++
	}
}

func (r *Result) countColdOverLimit(a *attempt) {
	if a.sentAfterColdStartSeen {
		r.ColdOverLimitAfterResponse++
	}
	if a.otherColdStartsSeen >= 2 {
		r.ColdOverLimitAfterPeers++
	}
}

func (r *Result) addWasted(_ *engine, j *job, slotTime time.Duration) {
	if r.afterWarmUp(j) {
		r.Wasted += slotTime
	}
}

// Quantile returns the q-quantile of the latency of a class, over all calls with a response, or 0 if there is none.
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

// Goodput returns the number of calls per second with a response before the deadline, between the warm-up and the last
// arrival. Later responses to calls that were still queued are excluded: they would make the result of an overloaded
// run higher than its capacity.
func (r *Result) Goodput() float64 { return float64(r.goodInWindow) / r.Seconds }

func sum(a [3]int) int { return a[0] + a[1] + a[2] }
