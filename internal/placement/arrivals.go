package placement

import (
	"math"
	"time"
)

// arrivalMemory is the time constant of the measured arrival rates.
const arrivalMemory = 300 * time.Millisecond

// arrivalRates measures the work that arrives at each priority, as service time per unit of time.
type arrivalRates struct {
	rate [priorityLevels]float64
	at   [priorityLevels]time.Time
}

func (r *arrivalRates) add(now time.Time, level int, work time.Duration) {
	r.rate[level] = r.current(now, level) + float64(work)/float64(arrivalMemory)
	r.at[level] = now
}

func (r *arrivalRates) current(now time.Time, level int) float64 {
	if r.at[level].IsZero() {
		return 0
	}
	return r.rate[level] * math.Exp(-float64(now.Sub(r.at[level]))/float64(arrivalMemory))
}

// above is the rate of all priorities higher than level.
func (r *arrivalRates) above(now time.Time, level int) float64 {
	sum := 0.0
	for l := range level {
		sum += r.current(now, l)
	}
	return sum
}
