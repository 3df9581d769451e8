package placement

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling sets the width of a bucket, 9 % of its latency. With 128 buckets the range reaches from 1 ms to 65 s.
	bucketsPerDoubling = 8
	latencyBuckets     = 128
	shortestLatency    = time.Millisecond
	// maxLatencySamples is the number of samples at which all counts are halved, so that recent latencies count most.
	maxLatencySamples = 1024
	// minSamplesAbove is the number of samples that must be expected above a percentile. With fewer, it isn't known.
	minSamplesAbove = 3
)

// latencies is a histogram of the recent latencies of a route, of 512 bytes.
type latencies struct {
	counts [latencyBuckets]float32
	total  float32
}

func latencyBucket(d time.Duration) int {
	if d <= shortestLatency {
		return 0
	}
	return min(latencyBuckets-1, int(bucketsPerDoubling*math.Log2(float64(d)/float64(shortestLatency))))
}

// bucketEnd is the upper end of a bucket.
func bucketEnd(i int) time.Duration {
	return time.Duration(float64(shortestLatency) * math.Exp2(float64(i+1)/bucketsPerDoubling))
}

func (l *latencies) observe(d time.Duration) {
	l.counts[latencyBucket(d)]++
	l.total++
	if l.total < maxLatencySamples {
		return
	}
	for i := range l.counts {
		l.counts[i] /= 2
	}
	l.total /= 2
}

// percentile returns the latency that the given fraction of the samples doesn't exceed, and whether there are enough samples.
func (l *latencies) percentile(fraction float64) (time.Duration, bool) {
	above := l.total * float32(1-fraction)
	if above < minSamplesAbove {
		return 0, false
	}
	longer := float32(0)
	for i := latencyBuckets - 1; i > 0; i-- {
		if longer += l.counts[i]; longer > above {
			return bucketEnd(i), true
		}
	}
	return bucketEnd(0), true
}

// remaining is the median time that a call still takes that has taken this long. Beyond all samples it is the elapsed time.
func (l *latencies) remaining(elapsed time.Duration) time.Duration {
	first := latencyBucket(elapsed) + 1
	longer := float32(0)
	for i := first; i < latencyBuckets; i++ {
		longer += l.counts[i]
	}
	if longer < 1 {
		return elapsed
	}
	half := longer / 2
	for i := first; i < latencyBuckets; i++ {
		if half -= l.counts[i]; half <= 0 {
			return bucketEnd(i) - elapsed
		}
	}
	return elapsed
}
