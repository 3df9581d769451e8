package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/confidence"
)

const (
	shortWindow = 10 * time.Second
	longWindow  = 60 * time.Second

	// A version is worse when its failures surely exceed 1.5 times those of the old one plus half a percent of calls.
	failureFactor, failureSlack = 1.5, 0.005
	// It is slower when the share of calls over the old version's slowest tenth surely exceeds twice that share plus
	// five percent of calls.
	slowFactor, slowSlack = 2, 0.05
	tailShare             = 0.1
	// Cold upstreams may fail some calls; only a version that fails more than half of them is bad.
	coldFailures = 0.5

	// A fault has to show in several seconds, so that one burst of a noisy neighbour isn't taken for the version's.
	failureSeconds, slowSeconds = 3, 6
	// heldBackCertainty is the negative logarithm of the error probability of 0.1 % per comparison at the last step.
	heldBackCertainty = 7
	// maxSpread limits how far bursts in the old version's calls weaken the evidence.
	maxSpread = 8
)

// judge compares the versions of a move over two windows.
type judge struct {
	short, long *window
	from, to    string
	perHour     float64 // probability of a false stop in an hour
	frozen      cells   // old version's calls before the last step
}

func newJudge(from, to string, perHour float64) *judge {
	return &judge{short: newWindow(shortWindow), long: newWindow(longWindow), from: from, to: to, perHour: perHour}
}

func (j *judge) observe(now time.Time, samples []Sample) {
	j.short.observe(now, j.from, j.to, samples)
	j.long.observe(now, j.from, j.to, samples)
}

// freeze keeps the old version's calls as a reference for the last step.
func (j *judge) freeze() {
	j.frozen = cells{}
	for key, p := range j.long.total {
		j.frozen[key] = &pair{old: p.old}
	}
}

// restart forgets the calls of the step before. Calls of both versions must come from the same time at the same share:
// after a step, the new version's calls are mostly recent ones, and a fault of both versions that has just begun would
// look like its own.
func (j *judge) restart() {
	j.short, j.long = newWindow(shortWindow), newWindow(longWindow)
}

// condemn returns the evidence against the new version, or an empty string. At the last step, full, few calls are left
// on the old version. There the new version must surely be worse than the old one was before the step, and with less
// certainty also worse than the old one is now, so that a fault of both isn't taken for its own.
func (j *judge) condemn(full bool) string {
	for _, w := range []*window{j.short, j.long} {
		strict := j.logInverse(len(w.total))
		for _, key := range sortedKeys(w.total) {
			p, certainty := w.total[key], strict
			if f := j.frozen[key]; full && f != nil && !key.cold {
				if j.compare(w, key, &pair{old: f.old, new: p.new}, strict) == "" {
					continue
				}
				certainty = heldBackCertainty
			}
			if evidence := j.compare(w, key, p, certainty); evidence != "" {
				return evidence
			}
		}
	}
	return ""
}

// logInverse divides the error probability over the looks of an hour, two windows, two tests, both bounds and the cells.
func (j *judge) logInverse(cells int) float64 {
	const looks, windows, tests, bounds = 3600, 2, 2, 2
	return math.Log(looks * windows * tests * bounds * float64(max(cells, 1)) / j.perHour)
}

func (j *judge) compare(w *window, key cellKey, p *pair, logInverse float64) string {
	if key.cold {
		return j.compareCold(w, key, p, logInverse)
	}
	spread := w.spread(key)
	worse := surelyAbove(p.new.failures, p.new.calls, p.old.failures, p.old.calls,
		spread, failureFactor, failureSlack, logInverse)
	if worse && w.seconds(key, isFailing) >= failureSeconds {
		return fmt.Sprintf("%s: %s of %.0f calls failed on version %s, %s of %.0f on %s, within %s",
			key, percent(p.new.failures, p.new.calls), p.new.calls, j.to,
			percent(p.old.failures, p.old.calls), p.old.calls, j.from, w.span)
	}
	limit, ok := tailBucket(&p.old)
	if !ok {
		return ""
	}
	slower := surelyAbove(p.new.above(limit), p.new.timed(), p.old.above(limit), p.old.timed(),
		spread, slowFactor, slowSlack, logInverse)
	slow := func(p *pair) bool { return p.new.above(limit) > slowFactor*tailShare*p.new.timed() }
	if slower && w.seconds(key, slow) >= slowSeconds {
		return fmt.Sprintf("%s: %s of %.0f calls took longer than %s on version %s, %s of %.0f on %s, within %s",
			key, percent(p.new.above(limit), p.new.timed()), p.new.timed(), bucketEnd(limit), j.to,
			percent(p.old.above(limit), p.old.timed()), p.old.timed(), j.from, w.span)
	}
	return ""
}

// surelyAbove reports whether the rate of k in n exceeds factor times that of oldK in oldN plus slack, by their bounds.
// Counts are divided by spread first.
func surelyAbove(k, n, oldK, oldN, spread, factor, slack, logInverse float64) bool {
	if n <= 0 || oldN <= 0 || k/n <= factor*oldK/oldN+slack {
		return false
	}
	low := confidence.Lower(k/spread, n/spread, logInverse)
	return low > factor*confidence.Upper(oldK/spread, oldN/spread, logInverse)+slack
}

func (j *judge) compareCold(w *window, key cellKey, p *pair, logInverse float64) string {
	low := confidence.Lower(p.new.failures, p.new.calls, logInverse)
	if low <= coldFailures || w.seconds(key, isFailing) < failureSeconds {
		return ""
	}
	return fmt.Sprintf("%s: %s of %.0f calls failed on cold upstreams of version %s in %s",
		key, percent(p.new.failures, p.new.calls), p.new.calls, j.to, w.span)
}

func isFailing(p *pair) bool { return p.new.failures > 0 }

// seconds counts the seconds of a window in which the fault shows.
func (w *window) seconds(key cellKey, shows func(*pair) bool) int {
	n := 0
	for _, s := range w.slices {
		if p := s.cells[key]; p != nil && shows(p) {
			n++
		}
	}
	return n
}

// spread is how much the old version's failures vary from second to second compared with independent calls, at least 1.
// Calls that fail together, as after a crash, count less by it.
func (w *window) spread(key cellKey) float64 {
	calls, failures := 0.0, 0.0
	each := func(visit func(*count)) {
		for _, s := range w.slices {
			if p := s.cells[key]; p != nil && p.old.calls > 0 {
				visit(&p.old)
			}
		}
	}
	each(func(c *count) { calls += c.calls; failures += c.failures })
	rate := failures / max(calls, 1)
	if rate <= 0 || rate >= 1 {
		return 1
	}
	sum, n := 0.0, 0.0
	each(func(c *count) {
		d := c.failures - c.calls*rate
		sum += d * d / (c.calls * rate * (1 - rate))
		n++
	})
	if n < 5 {
		return 1
	}
	return min(max(1, sum/(n-1)), maxSpread)
}

// tailBucket returns the first bucket after which at most a tenth of the calls lie.
func tailBucket(c *count) (int, bool) {
	n := c.timed()
	if n < 20 {
		return 0, false
	}
	for i := range Buckets - 1 {
		if c.above(i) <= tailShare*n {
			return i, true
		}
	}
	return 0, false
}

func bucketEnd(i int) time.Duration { return 100 * time.Microsecond << i }

func (k cellKey) String() string { return fmt.Sprintf("route %s, class %s", k.route, k.class) }

func percent(k, n float64) string { return fmt.Sprintf("%.1f %%", 100*k/max(n, 1)) }

func sortedKeys(cells map[cellKey]*pair) []cellKey {
	return slices.SortedFunc(maps.Keys(cells), func(a, b cellKey) int {
		if c := strings.Compare(a.route, b.route); c != 0 {
			return c
		}
		if c := strings.Compare(a.class, b.class); c != 0 {
			return c
		}
		if a.cold == b.cold {
			return 0
		}
		if a.cold {
			return 1
		}
		return -1
	})
}
