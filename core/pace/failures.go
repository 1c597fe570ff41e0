package pace

import "fmt"

const (
	// evidenceBound of the log likelihood ratio condemns a version: 3.5 standard deviations
	// beyond what is allowed to a good one.
	evidenceBound = 6.0
	// minHarmed requests that failed, and would not have on the old version, are needed to
	// suspect the new one; harmedRequests are enough to condemn it with less certainty,
	// harmedBound: 2.4 standard deviations.
	minHarmed      = 8
	harmedRequests = 20
	harmedBound    = 3.0
	// stepsPerSecond of the decisions.
	stepsPerSecond = 5
	// minHistory is what a comparison needs at least. Failures that are reported together, as
	// when connections are reset, are few among the answers of a second.
	minHistory  = stepsPerSecond
	longHistory = 15 * stepsPerSecond
	// reportSteps are the steps in which all nodes report.
	reportSteps = 2
	// minOldAnswers of the old version are compared with; a version that has all requests is
	// compared with what the old one answered before.
	minOldAnswers = 40
)

// spans of the last steps in which the versions are compared: a short one finds a fault
// soon, the long one a fault that few requests meet.
//
// errorExcess is the part of the requests that the new version may answer with an error
// beyond those that fail on the old one too, because some of its upstreams may be in
// trouble for a while. failureExcess is the same with timeouts and lost connections, of
// which one version gets more than the other when hosts or links are in trouble.
var spans = []struct {
	steps                      int
	errorExcess, failureExcess float64
}{
	{minHistory, 0.1, 0.25},
	{3 * stepsPerSecond, 0.1, 0.25},
	{10 * stepsPerSecond, 0.05, 0.2},
	{longHistory, 0.05, 0.2},
}

// failures takes a step and condemns a version that fails requests which the old one does not fail.
func (r *route) failures(name string, step Route) string {
	r.history = append(r.history, step)
	r.history = r.history[max(0, len(r.history)-longHistory):]
	r.evidence = 0
	if len(r.history) < minHistory {
		return ""
	}
	for _, s := range spans {
		c := r.compare(s.steps)
		e := max(evidenceOf(c.errors(), s.errorExcess), evidenceOf(c.failures(), s.failureExcess))
		r.evidence = max(r.evidence, e)
		if e >= evidenceBound || (e >= harmedBound && c.errors().harmed() >= harmedRequests) {
			return fmt.Sprintf("route %s: %d of %d answers failed, %d of them with an error; %.1f%% and %.1f%% on the old version at that time",
				name, c.new.Failed, c.new.Answered, c.new.Errors, 100*c.oldFailures, 100*c.oldErrors)
		}
	}
	return ""
}

// comparison of the versions over a span of time in which their shares may have changed.
type comparison struct {
	new Counts
	// oldFailures and oldErrors are the rates that the old version would have had, had it
	// answered in each step as many of the requests of the span as the new one did.
	oldFailures, oldErrors float64
	// oldAnswers is the number of answers that would tell these rates as well.
	oldAnswers float64
}

func (c comparison) failures() sample {
	return sample{newFailed: float64(c.new.Failed), newAnswered: float64(c.new.Answered), oldFailed: c.oldFailures * c.oldAnswers, oldAnswered: c.oldAnswers}
}

func (c comparison) errors() sample {
	return sample{newFailed: float64(c.new.Errors), newAnswered: float64(c.new.Answered), oldFailed: c.oldErrors * c.oldAnswers, oldAnswered: c.oldAnswers}
}

// evidenceOf a sample with enough failures to suspect the new version.
func evidenceOf(s sample, excess float64) float64 {
	if s.harmed() < minHarmed {
		return 0
	}
	return excessEvidence(s, excess)
}

// compare the versions step by step over the last ones.
func (r *route) compare(steps int) comparison {
	out := comparison{}
	variance := 0.0
	for i := len(r.history) - 1; i >= max(0, len(r.history)-steps); i-- {
		old := r.oldBefore(i)
		n, m := float64(r.history[i].New.Answered), float64(old.Answered)
		if n == 0 || m == 0 {
			continue
		}
		out.new = out.new.plus(r.history[i].New)
		out.oldFailures += n * float64(old.Failed) / m
		out.oldErrors += n * float64(old.Errors) / m
		variance += n * n / m
	}
	if n := float64(out.new.Answered); n > 0 {
		out.oldFailures, out.oldErrors, out.oldAnswers = out.oldFailures/n, out.oldErrors/n, n*n/variance
	}
	return out
}

// oldBefore is what the old version answered in the steps that a report may be late, up to one;
// where it answered little, as when the new version has all requests, earlier steps count too.
func (r *route) oldBefore(step int) Counts {
	sum := Counts{}
	for i := step; i >= 0 && (i > step-reportSteps || sum.Answered < minOldAnswers); i-- {
		sum = sum.plus(r.history[i].Old)
	}
	return sum
}
