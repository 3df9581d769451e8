package simulate

import (
	"container/heap"
	"math/rand"
	"time"
)

// event is an action scheduled in virtual time. Events with the same time run in the order of seq, in which they were
// scheduled.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// eventQueue is a heap of events, earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1].action = nil
	*q = old[:len(old)-1]
	return last
}

// engine simulates one policy in one case.
type engine struct {
	c          Case
	now        time.Duration
	seq        int
	eventQueue eventQueue
	upstreams  []*upstream
	policy     policy
	res        *Result
}

// policy decides on which upstream an attempt of a call runs. It ends each attempt with engine.send and
// engine.attemptEnded, or with engine.refused.
type policy interface {
	submit(j *job)
}

// after schedules an action after a delay.
func (e *engine) after(d time.Duration, action func()) {
	e.seq++
	heap.Push(&e.eventQueue, event{e.now + d, e.seq, action})
}

func (e *engine) run(until time.Duration) {
	for len(e.eventQueue) > 0 && e.eventQueue[0].at <= until {
		ev := heap.Pop(&e.eventQueue).(event)
		e.now = ev.at
		ev.action()
	}
}

// job is one call. Its service time is drawn at its arrival, so that it is the same under every policy.
type job struct {
	id           uint64
	class        int
	customer     string
	entry        int
	arrived      time.Duration
	deadline     time.Duration
	serviceTime  time.Duration
	idempotent   bool
	attempts     int
	exclude      []string
	attemptIndex uint64 // number of earlier attempts, part of the attempt's ID
}

const (
	maxAttempts = 3
	meanService = 12 * time.Millisecond
	minService  = 2 * time.Millisecond
	customers   = 10
	// netDelay is the one-way delay between a sender and an upstream in the same data centre.
	netDelay = 100 * time.Microsecond
	// forwardDelay is the one-way delay of forwarding a call to the owner; the round trip takes 0.2 ms.
	forwardDelay = 100 * time.Microsecond
	// dataCentreDelay is the additional one-way delay between data centres.
	dataCentreDelay = 500 * time.Microsecond
	entries         = 16
	warmUp          = 500 * time.Millisecond
)

// classInfo lists the request classes of the workload in the order of their priority.
var classInfo = []struct {
	name     string
	share    float64
	deadline time.Duration
}{
	{"urgent", 0.2, 250 * time.Millisecond},
	{"ordinary", 0.5, time.Second},
	{"bulk", 0.3, 3 * time.Second},
}

// scheduleArrivals generates the arrivals, each one scheduling the next.
func (e *engine) scheduleArrivals() {
	rng := rand.New(rand.NewSource(e.c.Seed))
	perSecond := e.c.Load * float64(e.c.Upstreams*e.c.Slots) / meanService.Seconds()
	var next func()
	id := uint64(0)
	next = func() {
		id++
		e.submit(newJob(rng, id, e.now, e.c.Variable))
		gap := rng.ExpFloat64() / (perSecond * e.burstFactor())
		if e.now < e.c.Duration {
			e.after(time.Duration(gap*float64(time.Second)), next)
		}
	}
	e.after(0, next)
}

// burstFactor returns the arrival rate relative to its mean. With bursts, the rate is doubled for 100 ms of every 500
// ms.
func (e *engine) burstFactor() float64 {
	if !e.c.Bursts {
		return 1
	}
	if e.now%(500*time.Millisecond) < 100*time.Millisecond {
		return 2
	}
	return 0.75
}

// newJob draws a random call. A variable service time is 2 ms plus an exponentially distributed part with a mean of 10
// ms; otherwise it is uniform between 8 and 16 ms. The mean is 12 ms in both cases.
func newJob(rng *rand.Rand, id uint64, now time.Duration, variable bool) *job {
	j := &job{id: id, arrived: now, entry: rng.Intn(entries), idempotent: rng.Float64() < 0.7}
	x := rng.Float64()
	for x >= classInfo[j.class].share && j.class < len(classInfo)-1 {
		x -= classInfo[j.class].share
		j.class++
	}
	// Customer 0 sends 40 % of the calls.
	j.customer = "c0"
	if rng.Float64() >= 0.4 {
		j.customer = "c" + string(rune('1'+rng.Intn(customers-1)))
	}
	j.deadline = now + classInfo[j.class].deadline
	if variable {
		j.serviceTime = minService + time.Duration(rng.ExpFloat64()*float64(meanService-minService))
	} else {
		j.serviceTime = meanService*2/3 + time.Duration(rng.Float64()*float64(meanService*2/3))
	}
	return j
}

func (e *engine) submit(j *job) {
	e.res.offered(e, j)
	e.policy.submit(j)
}

// attemptID returns an ID that is unique among all attempts.
func (j *job) attemptID() uint64 { return j.id<<2 | j.attemptIndex }

// attemptEnded is called when the response of an attempt reaches the ingress. It completes, retries or fails the call.
func (e *engine) attemptEnded(j *job, out outcome) {
	if out.kind == success {
		e.res.completed(e, j, out)
		return
	}
	e.res.addWasted(e, j, out.slotTime)
	j.attempts++
	j.attemptIndex++
	notRun := out.kind == notRun || out.kind == connectFailed
	if (notRun || j.idempotent) && j.attempts < maxAttempts && e.now < j.deadline {
		j.exclude = append(append([]string(nil), j.exclude...), e.upstreams[out.upstream].name)
		e.policy.submit(j)
		return
	}
	if notRun {
		e.refused(j)
		return
	}
	e.res.failed(e, j)
}

// refused ends a call that no upstream has run.
func (e *engine) refused(j *job) { e.res.refused(e, j) }
