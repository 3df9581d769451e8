package placement

import "time"

// transferUnit is the number of bytes to which TransferCost applies.
const transferUnit = 1000

// remotePenalty is the cost added for an upstream in another data centre, apart from the amount of data.
func (p *Pool) remotePenalty(c *call) time.Duration {
	switch {
	case p.spec.AllowUnprobed:
		return unprobedRemotePenalty
	case p.spec.TransferCost == 0 && c.ask.Large:
		return largeRemotePenalty
	}
	return defaultRemotePenalty
}

// transferCost is the cost of sending the request and its response between two data centres. It is at most half of the time to the
// objective, so that it stays below the cost that weighTransfer gives to being late.
func (p *Pool) transferCost(c *call) time.Duration {
	cost := float64(p.spec.TransferCost) * float64(c.ask.TransferBytes) / transferUnit
	return max(0, time.Duration(min(cost, float64(c.ask.Objective.Sub(c.queuedAt))/2)))
}

// lateRisk estimates the probability that a request with the given predicted latency is late, if left remains until its objective. The
// logarithm of the latency varies around the prediction with a standard deviation of about 0.3. A logistic function of the logarithm
// with the slope 1.7/0.3, rounded to 6, is close to that normal distribution; the slope is the exponent of left/latency.
func lateRisk(latency, left time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	r := float64(left) / float64(max(latency, time.Microsecond))
	cube := r * r * r
	return 1 / (1 + cube*cube)
}

// weighTransfer adds the cost of the transfer to the cost of an upstream, and that of being late, which counts as much as the time to
// the objective. Data stays in its data centre only as far as the request is in time there: among upstreams on which it will be late the
// fastest one is best, wherever it is.
func (s *search) weighTransfer(cost, latency time.Duration, remote bool) time.Duration {
	if s.transfer == 0 {
		return cost
	}
	risk := lateRisk(latency, s.left)
	cost += time.Duration(risk * float64(s.allowed))
	if remote {
		cost += time.Duration((1 - risk) * float64(s.transfer))
	}
	return cost
}
