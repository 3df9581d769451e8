package dispatch

import "time"

// estimate is a moving mean and mean deviation in seconds.
type estimate struct {
	mean, dev float64
	n         int
}

// estimateGain weighs a new sample; about 40 samples make up most of the estimate.
const estimateGain = 0.05

func (e *estimate) add(seconds float64) {
	e.n++
	gain := max(estimateGain, 1/float64(e.n+1))
	diff := seconds - e.mean
	e.mean += gain * diff
	if diff < 0 {
		diff = -diff
	}
	e.dev += gain * (diff - e.dev)
}

// rate is a decaying count of events per second.
type rate struct {
	value float64
	last  time.Time
}

// rateWindowSeconds is the time over which a rate is averaged.
const rateWindowSeconds = 0.5

func (r *rate) decay(now time.Time) {
	dt := now.Sub(r.last).Seconds()
	if dt <= 0 {
		return
	}
	r.value *= max(0, 1-dt/rateWindowSeconds)
	r.last = now
}

func (r *rate) add(now time.Time) {
	r.decay(now)
	r.value += 1 / rateWindowSeconds
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.value
}

// serviceTime is the time that a call of the class takes once granted, with a margin for its variation.
func (p *Pool) serviceTime(class int) time.Duration {
	e := &p.classes[class].service
	if e.n == 0 {
		e = &p.service
	}
	return time.Duration((e.mean + e.dev) * float64(time.Second))
}

func (p *Pool) maxServiceTime() time.Duration {
	longest := time.Duration(0)
	for i := range p.classes {
		longest = max(longest, p.serviceTime(i))
	}
	return longest
}
