package simulate

import (
	"math/rand"
	"slices"
	"time"
)

const (
	// baselineFailures in a row take an upstream out at one entry for baselineEjection, at most half of them at once.
	baselineFailures = 5
	baselineEjection = 5 * time.Second
)

// localView is what one entry knows by itself.
type localView struct {
	open   []int
	fails  []int
	outTil []time.Duration
	turn   int
}

// perEntry spreads calls at each entry by itself; choose picks among the candidates.
type perEntry struct {
	e      *engine
	rng    *rand.Rand
	views  [entries]*localView
	choose func(v *localView, candidates []int) int
}

func newPerEntry(e *engine, choose func(*perEntry) func(*localView, []int) int) *perEntry {
	p := &perEntry{e: e, rng: rand.New(rand.NewSource(e.c.Seed + 1))}
	n := len(e.upstreams)
	for i := range p.views {
		p.views[i] = &localView{
			open: make([]int, n), fails: make([]int, n), outTil: make([]time.Duration, n), turn: p.rng.Intn(n),
		}
	}
	p.choose = choose(p)
	return p
}

func roundRobin(*perEntry) func(*localView, []int) int {
	return func(v *localView, candidates []int) int {
		v.turn++
		return candidates[v.turn%len(candidates)]
	}
}

func leastOutstanding(*perEntry) func(*localView, []int) int {
	return func(v *localView, candidates []int) int {
		v.turn++
		best := candidates[v.turn%len(candidates)]
		for i := range candidates {
			c := candidates[(v.turn+i)%len(candidates)]
			if v.open[c] < v.open[best] {
				best = c
			}
		}
		return best
	}
}

func twoChoices(p *perEntry) func(*localView, []int) int {
	return func(v *localView, candidates []int) int {
		a, b := candidates[p.rng.Intn(len(candidates))], candidates[p.rng.Intn(len(candidates))]
		if v.open[b] < v.open[a] {
			return b
		}
		return a
	}
}

func (p *perEntry) submit(j *job) {
	v := p.views[j.entry]
	i := p.choose(v, p.candidates(v, j))
	v.open[i]++
	p.e.send(p.e.upstreams[i], j, 0, func(out outcome) {
		v.open[i]--
		p.learn(v, i, out)
		p.e.attemptEnded(j, out)
	})
}

func (p *perEntry) candidates(v *localView, j *job) []int {
	var in, all []int
	for i, u := range p.e.upstreams {
		if slices.Contains(j.exclude, u.name) {
			continue
		}
		all = append(all, i)
		if v.outTil[i] <= p.e.now {
			in = append(in, i)
		}
	}
	if len(in)*2 < len(all) {
		return all
	}
	return in
}

func (p *perEntry) learn(v *localView, i int, out outcome) {
	if out.kind == success {
		v.fails[i] = 0
		return
	}
	if v.fails[i]++; v.fails[i] >= baselineFailures {
		v.fails[i] = 0
		v.outTil[i] = p.e.now + baselineEjection
	}
}

// send carries an attempt to the upstream and its response back, with the extra one-way delay of another data centre.
func (e *engine) send(u *upstream, j *job, extra time.Duration, reply func(outcome)) {
	d := netDelay + extra
	a := &arrival{j: j, afterSign: u.signed, otherSigns: e.signs(u)}
	a.reply = func(out outcome) {
		e.after(d, func() {
			u.signed = u.signed || out.sign
			reply(out)
		})
	}
	e.after(d, func() { e.arrive(u, a) })
}

// signs counts the other upstreams whose cold start has shown.
func (e *engine) signs(except *upstream) int {
	n := 0
	for _, u := range e.upstreams {
		if u != except && u.signed {
			n++
		}
	}
	return n
}

// ideal is one central queue that knows the true state of every upstream at once and sends without delay.
type ideal struct {
	e      *engine
	queues [3][]*job
	queued int
	open   []int
}

func (p *ideal) submit(j *job) {
	p.queues[j.class] = append(p.queues[j.class], j)
	p.queued++
	p.dispatch()
}

// dispatch runs queued calls on free slots. Slots that become usable without an end of a call, such as after a restart,
// are found at the next arrival.
func (p *ideal) dispatch() {
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

func (p *ideal) pop(class int) {
	p.queues[class] = p.queues[class][1:]
	p.queued--
}

func (p *ideal) run(j *job, u *upstream) {
	p.open[u.index]++
	a := &arrival{j: j, reply: func(out outcome) {
		p.open[u.index]--
		p.e.after(2*netDelay, func() { p.e.attemptEnded(j, out) })
		p.dispatch()
	}}
	p.e.arrive(u, a)
}

// pick returns the free upstream with the lowest load: normal ones first, then cold ones within their limit, then slow
// ones if waiting for a normal slot takes longer than their extra time.
func (p *ideal) pick() *upstream {
	var best *upstream
	bestScore, normal := 1e9, 0
	for _, u := range p.e.upstreams {
		if u.down || u.failing {
			continue
		}
		if u.slow == 1 && !u.cold {
			normal += u.slots
		}
		if p.open[u.index] >= u.coldLimit() {
			continue
		}
		score := float64(p.open[u.index]) / float64(u.slots)
		if u.cold {
			score += 10
		}
		if u.slow > 1 {
			score += 20
		}
		if score < bestScore {
			best, bestScore = u, score
		}
	}
	if best == nil || best.slow == 1 || normal == 0 {
		return best
	}
	wait := float64(p.queued) * meanService.Seconds() / float64(normal)
	if wait > (best.slow-1)*meanService.Seconds() {
		return best
	}
	return nil
}
