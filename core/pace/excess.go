package pace

import "math"

// sample holds how many requests of each version were answered, and how many of
// them failed.
type sample struct{ newFailed, newAnswered, oldFailed, oldAnswered float64 }

// excessFailures returns the number of failures of the new version beyond those
// expected at the failure rate of the old one.
func (s sample) excessFailures() float64 {
	return s.newFailed - s.newAnswered*s.oldFailed/max(1, s.oldAnswered)
}

// excessEvidence returns the log likelihood ratio of the hypothesis that requests which
// would succeed on the old version fail on the new one at a rate above excess,
// against the hypothesis that this rate is at most excess. Both hypotheses estimate
// the unknown failure rate of the old version from the same sample, so failures of
// the whole service favour neither. The ratio is 0 while the observed failures do
// not exceed that rate.
func excessEvidence(s sample, excess float64) float64 {
	if s.newAnswered == 0 || s.oldAnswered == 0 {
		return 0
	}
	newRate, oldRate := s.newFailed/s.newAnswered, s.oldFailed/s.oldAnswered
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
	good := s.newAnswered - s.newFailed + s.oldAnswered - s.oldFailed
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

func (s sample) logLikelihood(newRate, oldRate float64) float64 {
	return binomialLogLikelihood(s.newFailed, s.newAnswered, newRate) + binomialLogLikelihood(s.oldFailed, s.oldAnswered, oldRate)
}

func binomialLogLikelihood(failed, answered, rate float64) float64 {
	out := 0.0
	if failed > 0 {
		out += failed * math.Log(rate)
	}
	if good := answered - failed; good > 0 {
		out += good * math.Log(1-rate)
	}
	return out
}
