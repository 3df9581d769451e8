// Package confidence computes confidence bounds of a success probability. The bounds are valid for small numbers of trials too,
// unlike those of the normal approximation.
package confidence

import "math"

// Lower returns the lower Chernoff bound of a probability for the given number of hits in trials. The probability that the true
// value lies below the bound is at most exp(-logInverse).
func Lower(hits, trials, logInverse float64) float64 {
	if trials <= 0 || hits <= 0 {
		return 0
	}
	observed := min(hits/trials, 1)
	return bisect(0, observed, func(candidate float64) bool { return trials*divergence(observed, candidate) > logInverse })
}

// Upper returns the corresponding upper bound.
func Upper(hits, trials, logInverse float64) float64 {
	if trials <= 0 || hits >= trials {
		return 1
	}
	observed := max(hits/trials, 0)
	return bisect(observed, 1, func(candidate float64) bool { return trials*divergence(observed, candidate) <= logInverse })
}

// bisect returns the point between lo and hi up to which belowTarget returns true.
func bisect(lo, hi float64, belowTarget func(float64) bool) float64 {
	for range 40 {
		mid := (lo + hi) / 2
		if belowTarget(mid) {
			lo = mid
		} else {
			hi = mid
		}
	}
	return (lo + hi) / 2
}

// divergence is the Kullback-Leibler divergence of two Bernoulli distributions.
func divergence(p, q float64) float64 {
	return divergenceTerm(p, q) + divergenceTerm(1-p, 1-q)
}

// divergenceTerm returns p*ln(p/q), which is 0 for p = 0.
func divergenceTerm(p, q float64) float64 {
	if p <= 0 {
		return 0
	}
	if q <= 0 {
		return math.Inf(1)
	}
	return p * math.Log(p/q)
}
