package rollout

import "math"

// sample holds how many requests of each version ended, and how many of them failed.
// The numbers of the old version may be weighted and are therefore not integers.
type sample struct{ newFailed, newRequests, oldFailed, oldRequests float64 }

// excessFailures returns the number of failures of the new version beyond those
// expected at the failure rate of the old one.
func (s sample) excessFailures() float64 {
	return s.newFailed - s.newRequests*s.oldFailed/max(1, s.oldRequests)
}

// excessEvidence returns the log likelihood ratio of the hypothesis that requests which
// would succeed on the old version fail on the new one at a rate above excess,
// against the hypothesis that this rate is at most excess. Both hypotheses estimate
// the unknown failure rate of the old version from the same sample, so failures of
// the whole service favour neither. The ratio is 0 while the observed failures do
// not exceed that rate.
func excessEvidence(s sample, excess float64) float64 {
	if s.newRequests == 0 || s.oldRequests == 0 {
		return 0
	}
	newRate, oldRate := s.newFailed/s.newRequests, s.oldFailed/s.oldRequests
	if newRate <= withExcessRate(oldRate, excess) {
		return 0
	}
	constrained := s.constrainedRate(excess)
	return s.logLikelihood(newRate, oldRate) - s.logLikelihood(withExcessRate(constrained, excess), constrained)
}

// withExcessRate returns the failure rate when, of the requests that do not fail at the
// base rate, the fraction excess fails in addition.
func withExcessRate(base, excess float64) float64 { return base + excess*(1-base) }

// constrainedRate returns the maximum likelihood estimate of the old version's failure
// rate if the new one has exactly the given excess. It bisects for the root of the
// derivative of the log likelihood, which decreases.
func (s sample) constrainedRate(excess float64) float64 {
	good := s.newRequests - s.newFailed + s.oldRequests - s.oldFailed
	low, high := 0.0, 1.0
	for range bisectionSteps {
		p := (low + high) / 2
		if s.oldFailed/p+s.newFailed*(1-excess)/withExcessRate(p, excess) > good/(1-p) {
			low = p
		} else {
			high = p
		}
	}
	return (low + high) / 2
}

// bisectionSteps halvings reduce the interval of a rate to less than a billionth.
const bisectionSteps = 30

// logLikelihood returns the log likelihood of the sample for a failure rate of each version.
func (s sample) logLikelihood(newRate, oldRate float64) float64 {
	return binomialLogLikelihood(s.newFailed, s.newRequests, newRate) + binomialLogLikelihood(s.oldFailed, s.oldRequests, oldRate)
}

// binomialLogLikelihood returns the log likelihood of failed among requests for a failure
// rate, without the binomial coefficient, which cancels out in a ratio.
func binomialLogLikelihood(failed, requests, rate float64) float64 {
	out := 0.0
	if failed > 0 {
		out += failed * math.Log(rate)
	}
	if good := requests - failed; good > 0 {
		out += good * math.Log(1-rate)
	}
	return out
}
