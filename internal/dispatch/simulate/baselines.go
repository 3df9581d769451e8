package simulate

import (
	"math/rand"
	"slices"
	"time"
)

const (
	// After baselineFailures consecutive failures, an entry ejects an upstream for baselineEjection. It ignores ejections
	// while more than half of the upstreams are ejected.
	baselineFailures = 5
	baselineEjection = 5 * time.Second
)

// entryState is what one entry knows of the upstreams, indexed by upstream.
type entryState struct {
	inFlight            []int
	consecutiveFailures []int
	ejectedUntil        []time.Duration
	cursor              int
}

// perEntryPolicy balances the calls of each entry separately, using only what that entry knows; choose selects one of
// the candidates.
type perEntryPolicy struct {
	e      *engine
	rng    *rand.Rand
	states [entries]*entryState
	choose func(s *entryState, candidates []int) int
}

func newPerEntryPolicy(e *engine, choose func(*perEntryPolicy) func(*entryState, []int) int) *perEntryPolicy {
	p := &perEntryPolicy{e: e, rng: rand.New(rand.NewSource(e.c.Seed + 1))}
	n := len(e.upstreams)
	for i := range p.states {
		p.states[i] = &entryState{
			inFlight: make([]int, n), consecutiveFailures: make([]int, n), ejectedUntil: make([]time.Duration, n),
			cursor: p.rng.Intn(n),
		}
	}
	p.choose = choose(p)
	return p
}

func roundRobin(*perEntryPolicy) func(*entryState, []int) int {
	return func(s *entryState, candidates []int) int {
		s.cursor++
		return candidates[s.cursor%len(candidates)]
	}
}

func leastOutstanding(*perEntryPolicy) func(*entryState, []int) int {
	return func(s *entryState, candidates []int) int {
		s.cursor++
		best := candidates[s.cursor%len(candidates)]
		for i := range candidates {
			c := candidates[(s.cursor+i)%len(candidates)]
			if s.inFlight[c] < s.inFlight[best] {
				best = c
			}
		}
		return best
	}
}

func twoChoices(p *perEntryPolicy) func(*entryState, []int) int {
	return func(s *entryState, candidates []int) int {
		a, b := candidates[p.rng.Intn(len(candidates))], candidates[p.rng.Intn(len(candidates))]
		if s.inFlight[b] < s.inFlight[a] {
			return b
		}
		return a
	}
}

func (p *perEntryPolicy) submit(j *job) {
	s := p.states[j.entry]
	i := p.choose(s, p.candidates(s, j))
	s.inFlight[i]++
	p.e.send(p.e.upstreams[i], j, 0, func(out outcome) {
		s.inFlight[i]--
		p.recordOutcome(s, i, out)
		p.e.attemptEnded(j, out)
	})
}

func (p *perEntryPolicy) candidates(s *entryState, j *job) []int {
	var available, all []int
	for i, u := range p.e.upstreams {
		if slices.Contains(j.exclude, u.name) {
			continue
		}
		all = append(all, i)
		if s.ejectedUntil[i] <= p.e.now {
			available = append(available, i)
		}
	}
	if len(available)*2 < len(all) {
		return all
	}
	return available
}

func (p *perEntryPolicy) recordOutcome(s *entryState, i int, out outcome) {
	if out.kind == success {
		s.consecutiveFailures[i] = 0
		return
	}
	if s.consecutiveFailures[i]++; s.consecutiveFailures[i] >= baselineFailures {
		s.consecutiveFailures[i] = 0
		s.ejectedUntil[i] = p.e.now + baselineEjection
	}
}

// send delivers an attempt to the upstream and its response to the sender. The extra one-way delay is for an upstream
// in another data centre.
func (e *engine) send(u *upstream, j *job, extra time.Duration, reply func(outcome)) {
	d := netDelay + extra
	a := &attempt{j: j, sentAfterColdStartSeen: u.coldStartSeen, otherColdStartsSeen: e.coldStartsSeen(u)}
	a.reply = func(out outcome) {
		e.after(d, func() {
			u.coldStartSeen = u.coldStartSeen || out.showsColdStart
			reply(out)
		})
	}
	e.after(d, func() { e.arrive(u, a) })
}

// coldStartsSeen counts the upstreams, other than the given one, whose cold start a response has shown to the sender.
func (e *engine) coldStartsSeen(except *upstream) int {
	n := 0
	for _, u := range e.upstreams {
		if u != except && u.coldStartSeen {
			n++
		}
	}
	return n
}

// idealPolicy is a central queue that knows the true state of every upstream at once and sends without delay.
type idealPolicy struct {
	e        *engine
	queues   [3][]*job
	queued   int
	inFlight []int
}

func (p *idealPolicy) submit(j *job) {
	p.queues[j.class] = append(p.queues[j.class], j)
	p.queued++
	p.dispatch()
}

// dispatch starts queued calls on free slots. A slot that becomes usable without the end of a call, for example after a
// restart, is used from the next arrival on.
func (p *idealPolicy) dispatch() {
	for class := range p.queues {
		for len(p.queues[class]) > 0 {
			j := p.queues[class][0]
			if p.e.now+meanService > j.deadline {
				p.pop(class)
				p.e.refused(j)
				continue
			}
			u := p.pick()
			if u == nil {
				return
			}
			p.pop(class)
			p.run(j, u)
		}
	}
}

func (p *idealPolicy) pop(class int) {
	p.queues[class] = p.queues[class][1:]
	p.queued--
}

func (p *idealPolicy) run(j *job, u *upstream) {
	p.inFlight[u.index]++
	a := &attempt{j: j, reply: func(out outcome) {
		p.inFlight[u.index]--
		p.e.after(2*netDelay, func() { p.e.attemptEnded(j, out) })
		p.dispatch()
	}}
	p.e.arrive(u, a)
}

// pick returns the free upstream with the lowest load. Normal upstreams come first, then cold ones within their limit,
// then slow ones if waiting for a normal slot would take longer than their extra service time.
func (p *idealPolicy) pick() *upstream {
	var best *upstream
	bestScore, normal := 1e9, 0
	for _, u := range p.e.upstreams {
		if u.down || u.failing {
			continue
		}
		if u.slowdown == 1 && !u.cold {
			normal += u.slots
		}
		if p.inFlight[u.index] >= u.coldLimit() {
			continue
		}
		score := float64(p.inFlight[u.index]) / float64(u.slots)
		if u.cold {
			score += 10
		}
		if u.slowdown > 1 {
			score += 20
		}
		if score < bestScore {
			best, bestScore = u, score
		}
	}
	if best == nil || best.slowdown == 1 || normal == 0 {
		return best
	}
	wait := float64(p.queued) * meanService.Seconds() / float64(normal)
	if wait > (best.slowdown-1)*meanService.Seconds() {
		return best
	}
	return nil
}
