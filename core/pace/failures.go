package pace

import "fmt"

const (
	// evidenceBound of the log likelihood ratio condemns a version: four standard deviations.
	evidenceBound = 8.0
	// stepsPerSecond of the decisions.
	stepsPerSecond = 5
	// minHistory is what a comparison needs at least. Failures that are reported together, as
	// when connections are reset, are few among the answers of a second.
	minHistory  = stepsPerSecond
	longHistory = 10 * stepsPerSecond
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
		e := max(excessEvidence(c.errors(), s.errorExcess), excessEvidence(c.failures(), s.failureExcess))
		r.evidence = max(r.evidence, e)
		if e >= evidenceBound {
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
	// answered in each second as many of the requests of the span as the new one did.
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

// compare the versions second by second over the last steps.
func (r *route) compare(steps int) comparison {
	out := comparison{}
	variance := 0.0
	for end := len(r.history); end > max(0, len(r.history)-steps); end -= stepsPerSecond {
		second := r.second(end)
		n := float64(second.New.Answered)
		if n == 0 || second.Old.Answered == 0 {
			continue
		}
		old := float64(second.Old.Answered)
		out.new = out.new.plus(second.New)
		out.oldFailures += n * float64(second.Old.Failed) / old
		out.oldErrors += n * float64(second.Old.Errors) / old
		variance += n * n / old
	}
	if n := float64(out.new.Answered); n > 0 {
		out.oldFailures, out.oldErrors, out.oldAnswers = out.oldFailures/n, out.oldErrors/n, n*n/variance
	}
	return out
}

// second sums the steps of the second before one; if the old version answered few requests in
// it, as when the new one has them all, what it answered before counts too.
func (r *route) second(end int) Route {
	sum := Route{}
	for i := end - 1; i >= 0; i-- {
		step := r.history[i]
		if i < end-stepsPerSecond {
			if sum.Old.Answered >= minOldAnswers {
				break
			}
			step.New = Counts{}
		}
		sum = Route{New: sum.New.plus(step.New), Old: sum.Old.plus(step.Old)}
	}
	return sum
}
