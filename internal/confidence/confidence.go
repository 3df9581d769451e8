// Package confidence bounds the probability behind a count of hits, without an approximation that fails for few trials.
package confidence

import "math"

// Lower returns the lower Chernoff bound of a probability after k hits in n trials: the true value lies below it with a
// probability of at most exp(-logInverse).
func Lower(k, n, logInverse float64) float64 {
	if n <= 0 || k <= 0 {
		return 0
	}
	p := min(k/n, 1)
	return bisect(0, p, func(q float64) bool { return n*divergence(p, q) > logInverse })
}

// Upper returns the upper bound; see Lower.
func Upper(k, n, logInverse float64) float64 {
	if n <= 0 || k >= n {
		return 1
	}
	p := max(k/n, 0)
	return bisect(p, 1, func(q float64) bool { return n*divergence(p, q) <= logInverse })
}

// bisect returns the point between lo and hi up to which below holds.
func bisect(lo, hi float64, below func(float64) bool) float64 {
	for range 40 {
		mid := (lo + hi) / 2
		if below(mid) {
			lo = mid
		} else {
			hi = mid
		}
	}
	return (lo + hi) / 2
}

// divergence is the Kullback-Leibler divergence of two Bernoulli distributions.
func divergence(p, q float64) float64 {
	return term(p, q) + term(1-p, 1-q)
}

func term(p, q float64) float64 {
	if p <= 0 {
		return 0
	}
	if q <= 0 {
		return math.Inf(1)
	}
	return p * math.Log(p/q)
}
