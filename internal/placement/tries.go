package placement

import "time"

const (
	// returnWindow is the time within which a caller sends a refused request again, if it does.
	returnWindow = 3 * time.Second
	// maxObjectiveShift bounds how much earlier the objective of a try is than if it were the first one. Equal requests of many callers count
	// as returns of each other, so they would make each other late.
	maxObjectiveShift = 3 * time.Second
	// maxFailedTries bounds the refused requests that are remembered, and the routes.
	maxFailedTries = 8192
	// maxCallerTries is the number of tries above which equal requests count as those of different callers.
	maxCallerTries = 8
	// minReturnSamples is the number of refusals from which the share of callers that come back is known. Above maxReturnSamples the
	// counts are halved, so that older refusals count less.
	minReturnSamples, maxReturnSamples = 10, 200
	// returnDelayWeight is the weight of a return in the moving average of returns.delay.
	returnDelayWeight = 0.05
)

// callerTries recognises a request that its caller sends again after a refusal, by its fingerprint, and learns by route after how many
// refusals callers give up. A refusal of the last try is final, so attempts of last tries may use the whole retry budget.
type callerTries struct {
	failed map[uint64]failedTry // by fingerprint
	order  []failedTryRef       // in the order of failedTry.at; may contain entries that failed has no longer
	routes map[string]*returns
}

// failedTry is the last try of a request, which has not run.
type failedTry struct {
	route string
	tries int
	first time.Time // arrival of the first try
	last  time.Time // arrival of this try
	at    time.Time // when it failed
}

type failedTryRef struct {
	fingerprint uint64
	at          time.Time
}

// returns counts refused requests of a route by the number of their tries, and those among them that came back.
type returns struct {
	refused, returned [maxCallerTries + 1]float64
	delay             time.Duration // moving average of the time from a refusal to the return; 0 if none has come back
}

// callerTry is a try of a caller.
type callerTry struct {
	number int           // 1 for the first one
	first  time.Time     // arrival of the first one
	spent  time.Duration // between the arrivals of the first one and this one
}

// observe returns the try to which an ask belongs. It is the first one if the request is not known.
func (t *callerTries) observe(now time.Time, a *Ask) callerTry {
	f, known := t.failed[a.Fingerprint]
	switch {
	case a.Fingerprint == 0 || !known || now.Sub(f.at) > returnWindow:
		return callerTry{1, now, 0}
	case a.Attempt > 1: // another attempt of the same try
		return callerTry{f.tries, f.first, f.last.Sub(f.first)}
	}
	delete(t.failed, a.Fingerprint)
	t.count(f, true)
	t.routes[f.route].observeDelay(now.Sub(f.at))
	if f.tries >= maxCallerTries {
		return callerTry{1, now, 0}
	}
	return callerTry{f.tries + 1, f.first, now.Sub(f.first)}
}

func (r *returns) observeDelay(d time.Duration) {
	if r.delay == 0 {
		r.delay = d
	}
	r.delay += time.Duration(returnDelayWeight * float64(d-r.delay))
}

// observeTry finds out which try of its caller a call belongs to, counts its objective from the first one within maxObjectiveShift, and
// marks it as repeated if the caller isn't expected to come back.
func (p *Pool) observeTry(now time.Time, c *call) {
	if !p.spec.ObjectiveFromFirstTry {
		return
	}
	c.try = p.tries.observe(now, &c.ask)
	if !c.ask.Returns { // its deadline has shown it already
		return
	}
	c.ask.Objective = c.ask.Objective.Add(-min(c.try.spent, maxObjectiveShift))
	if !p.tries.expectReturn(c.ask.Route, c.try.number) {
		c.ask.Returns, c.ask.Repeated = false, true
	}
}

// observeTryEnd records the end of an attempt.
func (p *Pool) observeTryEnd(now time.Time, c *call, o Outcome) {
	switch {
	case o == Success:
		p.tries.succeed(c.ask.Fingerprint)
	case o == NotRun && p.spec.ObjectiveFromFirstTry:
		p.tries.fail(now, c)
	}
}

// fail records that an attempt or the whole try of a call has not run.
func (t *callerTries) fail(now time.Time, c *call) {
	if c.ask.Fingerprint == 0 || len(t.order) >= maxFailedTries {
		return
	}
	if t.failed == nil {
		t.failed, t.routes = map[uint64]failedTry{}, map[string]*returns{}
	}
	try := c.try
	if try.number == 0 { // a hedge, or an adopted call
		try = callerTry{1, c.queuedAt, 0}
	}
	t.failed[c.ask.Fingerprint] = failedTry{c.ask.Route, try.number, try.first, try.first.Add(try.spent), now}
	t.order = append(t.order, failedTryRef{c.ask.Fingerprint, now})
}

// succeed forgets a request that was served.
func (t *callerTries) succeed(fingerprint uint64) { delete(t.failed, fingerprint) }

// expire forgets requests that have not come back within returnWindow.
func (t *callerTries) expire(now time.Time) {
	n := 0
	for ; n < len(t.order) && now.Sub(t.order[n].at) > returnWindow; n++ {
		ref := t.order[n]
		if f, known := t.failed[ref.fingerprint]; known && f.at.Equal(ref.at) {
			delete(t.failed, ref.fingerprint)
			t.count(f, false)
		}
	}
	t.order = t.order[:copy(t.order, t.order[n:])]
}

// count records for its route whether a refused request came back.
func (t *callerTries) count(f failedTry, returned bool) {
	r := t.routes[f.route]
	if r == nil {
		if len(t.routes) >= maxFailedTries {
			clear(t.routes) // configurations add and remove routes
		}
		r = &returns{}
		t.routes[f.route] = r
	}
	if r.refused[f.tries]++; returned {
		r.returned[f.tries]++
	}
	if r.refused[f.tries] > maxReturnSamples {
		r.refused[f.tries] /= 2
		r.returned[f.tries] /= 2
	}
}

// returnDelay returns the usual time from a refusal until the caller is back.
func (t *callerTries) returnDelay(route string) time.Duration {
	if r := t.routes[route]; r != nil {
		return r.delay
	}
	return 0
}

// expectReturn reports whether a caller is expected to come back after a refusal of the given try. Until enough is known of a route, it
// is expected after the first one.
func (t *callerTries) expectReturn(route string, tries int) bool {
	r := t.routes[route]
	if r == nil || r.refused[tries] < minReturnSamples {
		return tries <= 1
	}
	return r.returned[tries] >= r.refused[tries]/2
}
