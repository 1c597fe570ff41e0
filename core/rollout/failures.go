package rollout

import "fmt"

const (
	// revertEvidence is the log likelihood ratio at which a version is reverted: 3.5 standard
	// deviations beyond the failures that a good version may have.
	revertEvidence = 6.0
	// minExcessFailures is the number of failures, or of error answers, beyond those expected on
	// the old version below which there is no evidence against the new one. From
	// manyExcessErrors error answers beyond the expected ones on, revertEvidenceMany (2.4
	// standard deviations) is enough to revert it.
	minExcessFailures  = 8
	manyExcessErrors   = 20
	revertEvidenceMany = 3.0
	// decisionsPerSecond is the number of decision intervals in a second.
	decisionsPerSecond = 5
	// minHistory and maxHistory bound the number of intervals that a comparison covers. A
	// whole second is the least, because failures that are reported together, such as after
	// connection resets, are few among the requests of a second.
	minHistory = decisionsPerSecond
	maxHistory = 15 * decisionsPerSecond
	// reportIntervals is the number of decision intervals within which all nodes report.
	reportIntervals = 2
	// minOldRequests is the number of requests to the old version that an interval is compared
	// with. When the new version receives all requests, earlier ones of the old version are
	// used.
	minOldRequests = 40
)

// windows are the time windows, in decision intervals up to now, over which the versions
// are compared. Short ones detect a fault early, the longest one detects a fault that
// affects few requests.
//
// errorExcess is the fraction of requests that the new version may answer with an error
// beyond those that fail on the old one too; it allows for a temporary problem of some of
// its upstreams. failureExcess also counts timeouts and lost connections, which faults of
// hosts or links spread unevenly over the versions.
var windows = []struct {
	intervals                  int
	errorExcess, failureExcess float64
}{
	{minHistory, 0.1, 0.25},
	{3 * decisionsPerSecond, 0.1, 0.25},
	{10 * decisionsPerSecond, 0.05, 0.2},
	{maxHistory, 0.05, 0.2},
}

// failures adds the counts of one decision interval and compares the versions over all
// windows. It returns why the new version must be reverted because of its failures, or "".
func (r *route) failures(name string, increment Route) string {
	r.history = append(r.history, increment)
	r.history = r.history[max(0, len(r.history)-maxHistory):]
	r.evidence = 0
	if len(r.history) < minHistory {
		return ""
	}
	for _, s := range windows {
		c := r.compare(s.intervals)
		e := max(evidenceOf(c.errors(), s.errorExcess), evidenceOf(c.failures(), s.failureExcess))
		r.evidence = max(r.evidence, e)
		if e >= revertEvidence || (e >= revertEvidenceMany && c.errors().excessFailures() >= manyExcessErrors) {
			return fmt.Sprintf("route %s: %d of %d answers failed, %d of them with an error; %.1f%% and %.1f%% on the old version at that time",
				name, c.new.Failed, c.new.Requests, c.new.ErrorAnswers, 100*c.oldFailures, 100*c.oldErrors)
		}
	}
	return ""
}

// comparison holds the outcomes of both versions in a window during which their shares
// may have changed.
type comparison struct {
	new Counts
	// oldFailures and oldErrors are failure rates of the old version, with each interval
	// weighted by the number of requests to the new one.
	oldFailures, oldErrors float64
	// oldSampleSize is the effective sample size of these weighted rates.
	oldSampleSize float64
}

// failures returns the sample of all failed requests.
func (c comparison) failures() sample {
	return sample{newFailed: float64(c.new.Failed), newRequests: float64(c.new.Requests), oldFailed: c.oldFailures * c.oldSampleSize, oldRequests: c.oldSampleSize}
}

// errors returns the sample of the error answers.
func (c comparison) errors() sample {
	return sample{newFailed: float64(c.new.ErrorAnswers), newRequests: float64(c.new.Requests), oldFailed: c.oldErrors * c.oldSampleSize, oldRequests: c.oldSampleSize}
}

// evidenceOf returns the excessEvidence of a sample, or 0 if it has fewer than
// minExcessFailures.
func evidenceOf(s sample, excess float64) float64 {
	if s.excessFailures() < minExcessFailures {
		return 0
	}
	return excessEvidence(s, excess)
}

// compare sums the outcomes of both versions over the last decision intervals.
func (r *route) compare(intervals int) comparison {
	out := comparison{}
	variance := 0.0
	for i := len(r.history) - 1; i >= max(0, len(r.history)-intervals); i-- {
		old := r.oldBefore(i)
		n, m := float64(r.history[i].New.Requests), float64(old.Requests)
		if n == 0 || m == 0 {
			continue
		}
		out.new = out.new.plus(r.history[i].New)
		out.oldFailures += n * float64(old.Failed) / m
		out.oldErrors += n * float64(old.ErrorAnswers) / m
		variance += n * n / m
	}
	if n := float64(out.new.Requests); n > 0 {
		out.oldFailures, out.oldErrors, out.oldSampleSize = out.oldFailures/n, out.oldErrors/n, n*n/variance
	}
	return out
}

// oldBefore sums the counts of the old version over the reportIntervals that end with the
// given interval, since reports may be late. It goes further back while there are fewer
// than minOldRequests, as when the new version receives all requests.
func (r *route) oldBefore(interval int) Counts {
	sum := Counts{}
	for i := interval; i >= 0 && (i > interval-reportIntervals || sum.Requests < minOldRequests); i-- {
		sum = sum.plus(r.history[i].Old)
	}
	return sum
}
