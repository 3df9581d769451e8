package entry

import (
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/operators"
	"boragehinge.example/boragehinge/inventory"
)

// waits holds the last reported queueing time of each pool owned by another entry, for Candidates. It is safe for concurrent
// use.
type waits struct {
	byPool sync.Map // inventory.PoolID to observedWait
}

type observedWait struct {
	at   time.Time
	wait time.Duration // expected queueing time of a call at the middle priority
}

func (w *waits) observe(now time.Time, id inventory.PoolID, wait time.Duration) {
	w.byPool.Store(id, observedWait{now, wait})
}

// addTo adds the expected wait of a pool to a candidate, if known.
func (w *waits) addTo(now time.Time, id inventory.PoolID, c *operators.Candidate) {
	v, ok := w.byPool.Load(id)
	if !ok {
		return
	}
	o := v.(observedWait)
	c.Waits = []dispatch.WaitSummary{{Wait: o.wait}}
	c.AgeOfFigures = now.Sub(o.at)
}
