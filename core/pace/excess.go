package pace

import "math"

// sample of the answers of both versions.
type sample struct{ newFailed, newAnswered, oldFailed, oldAnswered float64 }

// harmed requests failed and would not have on the old version.
func (s sample) harmed() float64 {
	return s.newFailed - s.newAnswered*s.oldFailed/max(1, s.oldAnswered)
}

// excessEvidence is the log likelihood ratio of the hypothesis that requests which
// would succeed on the old version fail on the new one at more than a given rate,
// against all rates up to it. The failure rate of the old version is unknown in
// both and estimated from the same answers, so failures of the whole service count
// for neither. It is 0 while the failures do not exceed that rate.
func excessEvidence(s sample, excess float64) float64 {
	if s.newAnswered == 0 || s.oldAnswered == 0 {
		return 0
	}
	newRate, oldRate := s.newFailed/s.newAnswered, s.oldFailed/s.oldAnswered
	if newRate <= withExcess(oldRate, excess) {
		return 0
	}
	constrained := s.constrainedRate(excess)
	return s.logLikelihood(newRate, oldRate) - s.logLikelihood(withExcess(constrained, excess), constrained)
}

// withExcess is the failure rate of requests of which a part fails beside a base rate.
func withExcess(base, excess float64) float64 { return base + excess*(1-base) }

// constrainedRate is the most likely failure rate of the old version if the new
// one has exactly the given excess: the root of the derivative, which descends.
func (s sample) constrainedRate(excess float64) float64 {
	good := s.newAnswered - s.newFailed + s.oldAnswered - s.oldFailed
	low, high := 0.0, 1.0
	for range rateSteps {
		p := (low + high) / 2
		if s.oldFailed/p+s.newFailed*(1-excess)/withExcess(p, excess) > good/(1-p) {
			low = p
		} else {
			high = p
		}
	}
	return (low + high) / 2
}

// rateSteps halve the interval of a rate to less than a billionth.
const rateSteps = 30

func (s sample) logLikelihood(newRate, oldRate float64) float64 {
	return binomial(s.newFailed, s.newAnswered, newRate) + binomial(s.oldFailed, s.oldAnswered, oldRate)
}

func binomial(failed, answered, rate float64) float64 {
	out := 0.0
	if failed > 0 {
		out += failed * math.Log(rate)
	}
	if good := answered - failed; good > 0 {
		out += good * math.Log(1-rate)
	}
	return out
}
