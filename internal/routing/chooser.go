package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"boragehinge.example/boragehinge/inventory"
)

// Limits of the choice.
const (
	MaxPools = 3 // pools that one call tries

	// TickInterval is the time between two shifts of weight.
	TickInterval = 100 * time.Millisecond
	// shiftPerTick is the largest part of a pool's weight that moves in one tick. Waits are up to 200 ms late, so a
	// shift must stay small against what the next report can still correct.
	shiftPerTick = 0.05
	// closeRatio and closeTime are the difference in cost below which no weight moves.
	closeRatio = 0.20
	closeTime  = 500 * time.Microsecond
	// staleAfter is the age at which an estimate of the wait no longer counts.
	staleAfter = 2 * time.Second
	// minWeight keeps a trickle of calls on each usable pool, so that its wait stays known.
	minWeight = 0.005
)

// Candidate is a pool that may serve a call.
type Candidate struct {
	Pool  inventory.PoolID
	Delay time.Duration // one way
}

// estimate is what this entry knows about a pool.
type estimate struct {
	wait         time.Duration
	at           time.Time
	refusedUntil time.Time
	weight       float64
}

// Chooser chooses the pools of the calls of one service at one ingress. It is not safe for concurrent use; the caller
// holds the service's lock.
type Chooser struct {
	rng        *rand.Rand
	candidates []Candidate
	estimates  map[inventory.PoolID]*estimate
}

// NewChooser returns a chooser without candidates.
func NewChooser(rng *rand.Rand) *Chooser {
	return &Chooser{rng: rng, estimates: map[inventory.PoolID]*estimate{}}
}

// Configure sets the pools that have usable upstreams. A pool keeps its weight; a new one starts with the least, unless
// it is as near as the nearest, so that a data centre that returns is filled step by step.
func (c *Chooser) Configure(candidates []Candidate) {
	first := len(c.candidates) == 0
	c.candidates = slices.Clone(candidates)
	slices.SortStableFunc(c.candidates, func(a, b Candidate) int { return cmp.Compare(a.Delay, b.Delay) })
	kept := map[inventory.PoolID]*estimate{}
	for _, cand := range c.candidates {
		e := c.estimates[cand.Pool]
		if e == nil {
			e = &estimate{weight: minWeight}
			if first && cand.Delay == c.candidates[0].Delay {
				e.weight = 1
			}
		}
		kept[cand.Pool] = e
	}
	c.estimates = kept
	c.normalise()
}

func (c *Chooser) normalise() {
	sum := 0.0
	for _, e := range c.estimates {
		e.weight = max(e.weight, minWeight)
		sum += e.weight
	}
	for _, e := range c.estimates {
		e.weight /= sum
	}
}

// Observe takes the expected wait of a pool, from a response or a digest.
func (c *Chooser) Observe(now time.Time, pool inventory.PoolID, wait time.Duration) {
	if e := c.estimates[pool]; e != nil {
		e.wait, e.at = wait, now
	}
}

// Refused takes a refusal of a pool. It gets no calls for the time retryAfter, spread by up to a quarter more, so that
// the entries do not return together.
func (c *Chooser) Refused(now time.Time, pool inventory.PoolID, retryAfter time.Duration) {
	e := c.estimates[pool]
	if e == nil {
		return
	}
	until := now.Add(retryAfter + time.Duration(c.rng.Float64()*float64(retryAfter)/4))
	if until.After(e.refusedUntil) {
		e.refusedUntil = until
	}
}

func (c *Chooser) cost(now time.Time, cand Candidate) time.Duration {
	e := c.estimates[cand.Pool]
	cost := 2 * cand.Delay
	if now.Sub(e.at) < staleAfter {
		cost += e.wait
	}
	return cost
}

// Tick moves weight towards cheaper pools. It is called each TickInterval.
func (c *Chooser) Tick(now time.Time) {
	var usable []Candidate
	for _, cand := range c.candidates {
		if !now.Before(c.estimates[cand.Pool].refusedUntil) {
			usable = append(usable, cand)
		}
	}
	if len(usable) < 2 {
		return
	}
	cheapest := slices.MinFunc(usable, func(a, b Candidate) int { return cmp.Compare(c.cost(now, a), c.cost(now, b)) })
	least := c.cost(now, cheapest)
	target := c.estimates[cheapest.Pool]
	for _, cand := range usable {
		cost := c.cost(now, cand)
		difference := cost - least
		if cand == cheapest || difference <= closeTime || float64(difference) <= closeRatio*float64(cost) {
			continue
		}
		e := c.estimates[cand.Pool]
		moved := e.weight * shiftPerTick * float64(difference) / float64(cost)
		e.weight -= moved
		target.weight += moved
	}
	c.normalise()
}

// Choose returns the pools to try in order, at most MaxPools. Pools that refused are left out; when all did, the result
// is empty and retryAfter is the time until the first of them takes calls again.
func (c *Chooser) Choose(now time.Time) (pools []inventory.PoolID, retryAfter time.Duration) {
	var open []Candidate
	sum := 0.0
	for _, cand := range c.candidates {
		e := c.estimates[cand.Pool]
		if wait := e.refusedUntil.Sub(now); wait > 0 {
			if retryAfter == 0 || wait < retryAfter {
				retryAfter = wait
			}
			continue
		}
		open = append(open, cand)
		sum += e.weight
	}
	if len(open) == 0 {
		return nil, retryAfter
	}
	first, at := 0, c.rng.Float64()*sum
	for i, cand := range open {
		first = i
		if at -= c.estimates[cand.Pool].weight; at < 0 {
			break
		}
	}
	pools = append(pools, open[first].Pool)
	rest := slices.Delete(open, first, first+1)
	slices.SortStableFunc(rest, func(a, b Candidate) int { return cmp.Compare(c.cost(now, a), c.cost(now, b)) })
	for _, cand := range rest[:min(len(rest), MaxPools-1)] {
		pools = append(pools, cand.Pool)
	}
	return pools, 0
}

// Weight returns the part of the calls that a pool gets, for status and tests.
func (c *Chooser) Weight(pool inventory.PoolID) float64 {
	if e := c.estimates[pool]; e != nil {
		return e.weight
	}
	return 0
}
