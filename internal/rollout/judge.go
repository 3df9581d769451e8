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

	// A version fails too often when its failure rate is significantly above 1.5 times that of the old version plus half
	// a percentage point.
	failureFactor, failureMargin = 1.5, 0.005
	// A version is slower when the share of its calls above the 90th latency percentile of the old version is
	// significantly above twice the old version's share plus five percentage points.
	slowFactor, slowMargin = 2, 0.05
	tailShare              = 0.1
	// maxColdFailureRate is higher because calls to cold upstreams may fail: only more than half of them failing is a fault.
	maxColdFailureRate = 0.5

	// A fault must be visible in several one-second slices, so that a single burst caused by a noisy neighbour isn't
	// attributed to the version.
	minFailureSeconds, minSlowSeconds = 3, 6
	// currentNegLogError is the negative logarithm of an error probability of 0.1 %. It applies at the last step to the
	// comparison with the old version's current calls.
	currentNegLogError = 7
	// maxOverdispersion limits how far bursts of failures in the old version's calls weaken the evidence.
	maxOverdispersion = 8
)

// judge does the canary analysis of a move: it compares the two versions over a short and a long window.
type judge struct {
	short, long       *window
	from, to          string
	falseStopsPerHour float64 // probability of a false stop in an hour
	baseline          cells   // old version's calls before the last step
}

func newJudge(from, to string, falseStopsPerHour float64) *judge {
	return &judge{short: newWindow(shortWindow), long: newWindow(longWindow), from: from, to: to, falseStopsPerHour: falseStopsPerHour}
}

func (j *judge) observe(now time.Time, samples []Sample) {
	j.short.observe(now, j.from, j.to, samples)
	j.long.observe(now, j.from, j.to, samples)
}

// saveBaseline saves the old version's calls as the baseline for the last step.
func (j *judge) saveBaseline() {
	j.baseline = cells{}
	for key, p := range j.long.total {
		j.baseline[key] = &pair{old: p.old}
	}
}

// reset discards the calls of the previous step. The calls of both versions must come from the same period at the same
// share: after a step, the new version's calls are mostly recent, and a new fault of both versions would look like a
// fault of the new one.
func (j *judge) reset() {
	j.short, j.long = newWindow(shortWindow), newWindow(longWindow)
}

// findRegression returns the evidence that the new version is worse than the old one, or an empty string. At the last
// step, few calls remain on the old version. There the new version must be significantly worse than the old version's
// baseline from before the step and, at a lower confidence level, also worse than the old version is now, so that a fault
// of both versions isn't attributed to the new one.
func (j *judge) findRegression(lastStep bool) string {
	for _, w := range []*window{j.short, j.long} {
		strictNegLogError := j.comparisonNegLogError(len(w.total))
		for _, key := range sortedKeys(w.total) {
			p, negLogError := w.total[key], strictNegLogError
			if before := j.baseline[key]; lastStep && before != nil && !key.cold {
				if j.compare(w, key, &pair{old: before.old, new: p.new}, strictNegLogError) == "" {
					continue
				}
				negLogError = currentNegLogError
			}
			if evidence := j.compare(w, key, p, negLogError); evidence != "" {
				return evidence
			}
		}
	}
	return ""
}

// comparisonNegLogError returns the negative logarithm of the error probability of one comparison. It divides the error
// probability of an hour over its checks, two windows, two tests, both bounds and the cells.
func (j *judge) comparisonNegLogError(cells int) float64 {
	const checksPerHour, windows, tests, bounds = 3600, 2, 2, 2
	return math.Log(checksPerHour * windows * tests * bounds * float64(max(cells, 1)) / j.falseStopsPerHour)
}

func (j *judge) compare(w *window, key cellKey, p *pair, negLogError float64) string {
	if key.cold {
		return j.compareCold(w, key, p, negLogError)
	}
	overdispersion := w.overdispersion(key)
	worse := significantlyAbove(p.new.failures, p.new.calls, p.old.failures, p.old.calls,
		overdispersion, failureFactor, failureMargin, negLogError)
	if worse && w.secondsWith(key, isFailing) >= minFailureSeconds {
		return fmt.Sprintf("%s: %s of %.0f calls failed on version %s, %s of %.0f on %s, within %s",
			key, percent(p.new.failures, p.new.calls), p.new.calls, j.to,
			percent(p.old.failures, p.old.calls), p.old.calls, j.from, w.span)
	}
	limit, ok := tailBucket(&p.old)
	if !ok {
		return ""
	}
	slower := significantlyAbove(p.new.countAbove(limit), p.new.latencySamples(), p.old.countAbove(limit), p.old.latencySamples(),
		overdispersion, slowFactor, slowMargin, negLogError)
	slow := func(p *pair) bool { return p.new.countAbove(limit) > slowFactor*tailShare*p.new.latencySamples() }
	if slower && w.secondsWith(key, slow) >= minSlowSeconds {
		return fmt.Sprintf("%s: %s of %.0f calls took longer than %s on version %s, %s of %.0f on %s, within %s",
			key, percent(p.new.countAbove(limit), p.new.latencySamples()), p.new.latencySamples(), bucketUpperBound(limit), j.to,
			percent(p.old.countAbove(limit), p.old.latencySamples()), p.old.latencySamples(), j.from, w.span)
	}
	return ""
}

// significantlyAbove reports whether the lower confidence bound of k/n exceeds factor times the upper confidence bound of
// oldK/oldN plus margin. Counts are divided by overdispersion first.
func significantlyAbove(k, n, oldK, oldN, overdispersion, factor, margin, negLogError float64) bool {
	if n <= 0 || oldN <= 0 || k/n <= factor*oldK/oldN+margin {
		return false
	}
	low := confidence.Lower(k/overdispersion, n/overdispersion, negLogError)
	return low > factor*confidence.Upper(oldK/overdispersion, oldN/overdispersion, negLogError)+margin
}

func (j *judge) compareCold(w *window, key cellKey, p *pair, negLogError float64) string {
	low := confidence.Lower(p.new.failures, p.new.calls, negLogError)
	if low <= maxColdFailureRate || w.secondsWith(key, isFailing) < minFailureSeconds {
		return ""
	}
	return fmt.Sprintf("%s: %s of %.0f calls failed on cold upstreams of version %s in %s",
		key, percent(p.new.failures, p.new.calls), p.new.calls, j.to, w.span)
}

func isFailing(p *pair) bool { return p.new.failures > 0 }

// secondsWith returns the number of seconds of the window in which a cell shows a fault.
func (w *window) secondsWith(key cellKey, hasFault func(*pair) bool) int {
	n := 0
	for _, s := range w.slices {
		if p := s.cells[key]; p != nil && hasFault(p) {
			n++
		}
	}
	return n
}

// overdispersion returns the variance of the old version's failures from second to second, relative to that of
// independent calls, and at least 1. Dividing counts by it gives less weight to calls that fail together, as after a crash.
func (w *window) overdispersion(key cellKey) float64 {
	calls, failures := 0.0, 0.0
	each := func(visit func(*callCounts)) {
		for _, s := range w.slices {
			if p := s.cells[key]; p != nil && p.old.calls > 0 {
				visit(&p.old)
			}
		}
	}
	each(func(c *callCounts) { calls += c.calls; failures += c.failures })
	rate := failures / max(calls, 1)
	if rate <= 0 || rate >= 1 {
		return 1
	}
	sum, n := 0.0, 0.0
	each(func(c *callCounts) {
		d := c.failures - c.calls*rate
		sum += d * d / (c.calls * rate * (1 - rate))
		n++
	})
	if n < 5 {
		return 1
	}
	return min(max(1, sum/(n-1)), maxOverdispersion)
}

// tailBucket returns the first latency bucket above which at most a tenth of the calls lie. It reports false for too few
// calls.
func tailBucket(c *callCounts) (int, bool) {
	n := c.latencySamples()
	if n < 20 {
		return 0, false
	}
	for i := range Buckets - 1 {
		if c.countAbove(i) <= tailShare*n {
			return i, true
		}
	}
	return 0, false
}

func bucketUpperBound(i int) time.Duration { return 100 * time.Microsecond << i }

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
