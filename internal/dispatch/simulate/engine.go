package simulate

import (
	"container/heap"
	"math/rand"
	"time"
)

// event is one entry of the agenda; seq keeps events of the same moment in the order in which they were added.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	old[len(old)-1].do = nil
	*a = old[:len(old)-1]
	return last
}

// engine runs one policy in one scenario.
type engine struct {
	c         Case
	now       time.Duration
	seq       int
	agenda    agenda
	upstreams []*upstream
	policy    policy
	res       *Result
}

// policy decides where an attempt of a call runs. It calls engine.send, and engine.attemptEnded or engine.refused.
type policy interface {
	submit(j *job)
}

// after runs do once the delay has passed.
func (e *engine) after(d time.Duration, do func()) {
	e.seq++
	heap.Push(&e.agenda, event{e.now + d, e.seq, do})
}

func (e *engine) run(until time.Duration) {
	for len(e.agenda) > 0 && e.agenda[0].at <= until {
		ev := heap.Pop(&e.agenda).(event)
		e.now = ev.at
		ev.do()
	}
}

// job is one call. Its service time is drawn at its arrival, so it is the same under every policy.
type job struct {
	id         uint64
	class      int
	customer   string
	entry      int
	arrived    time.Duration
	deadline   time.Duration
	service    time.Duration
	idempotent bool
	attempts   int
	exclude    []string
	tried      uint64 // attempts so far, part of the attempt's ID
}

const (
	maxAttempts = 3
	meanService = 12 * time.Millisecond
	minService  = 2 * time.Millisecond
	customers   = 10
	// netDelay is the one-way delay between a sender and an upstream of the same data centre.
	netDelay = 100 * time.Microsecond
	// forwardDelay is the one-way part of the forward to an owner, 0.2 ms in all.
	forwardDelay = 100 * time.Microsecond
	// zoneDelay is the one-way delay between data centres.
	zoneDelay = 500 * time.Microsecond
	entries   = 16
	warmUp    = 500 * time.Millisecond
)

// classInfo describes the classes of the workload.
var classInfo = []struct {
	name     string
	share    float64
	deadline time.Duration
}{
	{"urgent", 0.2, 250 * time.Millisecond},
	{"ordinary", 0.5, time.Second},
	{"bulk", 0.3, 3 * time.Second},
}

// arrivals schedules the calls one after another.
func (e *engine) arrivals() {
	rng := rand.New(rand.NewSource(e.c.Seed))
	perSecond := e.c.Load * float64(e.c.Upstreams*e.c.Slots) / meanService.Seconds()
	var next func()
	id := uint64(0)
	next = func() {
		id++
		e.submit(newJob(rng, id, e.now, e.c.Variable))
		gap := rng.ExpFloat64() / (perSecond * e.intensity())
		if e.now < e.c.Duration {
			e.after(time.Duration(gap*float64(time.Second)), next)
		}
	}
	e.after(0, next)
}

// intensity is the arrival rate relative to its mean: with bursts, twice the rate for 100 ms of every 500 ms.
func (e *engine) intensity() float64 {
	if !e.c.Bursts {
		return 1
	}
	if e.now%(500*time.Millisecond) < 100*time.Millisecond {
		return 2
	}
	return 0.75
}

// newJob draws a call. Its service time is 2 ms plus an exponential part of 10 ms when variable, else uniform between 8
// and 16 ms; the mean is 12 ms in both.
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
		j.service = minService + time.Duration(rng.ExpFloat64()*float64(meanService-minService))
	} else {
		j.service = meanService*2/3 + time.Duration(rng.Float64()*float64(meanService*2/3))
	}
	return j
}

func (e *engine) submit(j *job) {
	e.res.offered(e, j)
	e.policy.submit(j)
}

// attemptID is unique per attempt.
func (j *job) attemptID() uint64 { return j.id<<2 | j.tried }

// attemptEnded is called at the ingress when an attempt's response has arrived there.
func (e *engine) attemptEnded(j *job, out outcome) {
	if out.kind == success {
		e.res.completed(e, j, out)
		return
	}
	e.res.waste(e, j, out.worked)
	j.attempts++
	j.tried++
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

// refused ends a call that no upstream ran.
func (e *engine) refused(j *job) { e.res.refused(e, j) }
