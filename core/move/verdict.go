package move

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// judgement is the conclusion from the scores, in the order of severity.
type judgement int

const (
	fine judgement = iota
	// suspicious: a score has reached suspicionFactor of the threshold. The share is not raised
	// until the suspicion has cleared.
	suspicious
	// unconfirmed: worse than the baseline of the old version, but not confirmed by concurrent calls.
	unconfirmed
	bad
)

type verdict struct {
	judgement
	stream *stream
	metric metric
	score  float64
}

const (
	// suspicionFactor is the fraction of the threshold from which a score is a suspicion, so
	// that the share is not raised; the scores of a good version exceed it in about one interval
	// in 100.
	suspicionFactor = 0.6
	// confirmScore is the score that the concurrent comparison must reach to confirm the
	// comparison with the baseline: a change that affects both versions exceeds it once in
	// 500 times.
	confirmScore = 6.2
	// longConfirmScore is enough after longIntervals unconfirmed intervals: the expected rate
	// follows the old version, so a change that affects both has passed by then.
	longIntervals    = 45
	longConfirmScore = 2
)

// verdict returns the most severe judgement over all streams and metrics, and of those the one
// with the highest score.
func (j *Judge) verdict() verdict {
	v, confirm := verdict{}, confirmScore
	if j.unconfirmed > longIntervals {
		confirm = longConfirmScore
	}
	consider := func(k judgement, s *stream, m metric, score float64) {
		if k > v.judgement || (k == v.judgement && score > v.score) {
			v = verdict{k, s, m, score}
		}
	}
	for _, s := range j.streams {
		for m := range metricCount {
			concurrent, reference := best(&s.concurrent[m]), best(&s.reference[m])
			switch {
			case concurrent >= j.threshold:
				consider(bad, s, m, concurrent)
			case reference >= j.threshold && concurrent >= confirm:
				consider(bad, s, m, reference)
			case reference >= j.threshold:
				consider(unconfirmed, s, m, reference)
			case max(concurrent, reference) >= suspicionFactor*j.threshold && !j.expired(s, m):
				consider(suspicious, s, m, max(concurrent, reference))
			}
		}
	}
	return v
}

// expiryIntervals is the number of intervals without a new peak after which a suspicion ends
// at the full share, where no calls of the old version can refute it.
const expiryIntervals = 30

// expired reports whether a suspicion has ended at the full share after expiryIntervals.
func (j *Judge) expired(s *stream, m metric) bool {
	return j.pooledShare == fullShare && s.ages[m].intervals >= expiryIntervals
}

// localFactor is the fraction of the threshold from which a difference is attributed to one
// route or failure domain, if the score of every other one is below a third of its score.
const localFactor = 0.6

// localize returns the stream of the only route or failure domain that shows the difference
// which a verdict found over all calls, or the verdict's own stream.
func (j *Judge) localize(v verdict) *stream {
	if v.stream.route != "" || v.stream.domain != "" {
		return v.stream
	}
	for _, byDomain := range []bool{true, false} {
		var top, second float64
		var topStream *stream
		for _, s := range j.streams[1:] {
			if (s.domain != "") != byDomain {
				continue
			}
			score := max(best(&s.concurrent[v.metric]), best(&s.reference[v.metric]))
			if score > top {
				top, second, topStream = score, top, s
			} else {
				second = max(second, score)
			}
		}
		if top >= localFactor*j.threshold && second < top/3 {
			return topStream
		}
	}
	return v.stream
}

// describe returns a text for operators about the evidence on which a verdict is based.
func (j *Judge) describe(v verdict) string {
	where, localized := "over all routes", j.localize(v)
	switch {
	case localized.route != "":
		where = "on route " + localized.route
	case localized.domain != "":
		where = "in failure domain " + localized.domain
	}
	e := j.evidence(localized, v.score)
	detail := fmt.Sprintf("p99 %.0f ms against %.0f ms", e.GetNewP99Ms(), e.GetOldP99Ms())
	if !v.metric.isLatency() {
		detail = fmt.Sprintf("%d errors in %d calls against %d in %d", e.GetNewErrors(), e.GetNewCalls(), e.GetOldErrors(), e.GetOldCalls())
	}
	return fmt.Sprintf("%s %s: %s of the old version (score %.1f, limit %.1f)", metricNames[v.metric], where, detail, v.score, j.threshold)
}

// evidence returns the counts of a stream since the step began.
func (j *Judge) evidence(s *stream, score float64) *pb.Evidence {
	var sum Pair
	for _, c := range j.order {
		if (s.route != "" && s.route != c.Route) || (s.domain != "" && s.domain != c.Domain) {
			continue
		}
		o, n := c.latest.Old.minus(&c.atStepStart.Old), c.latest.New.minus(&c.atStepStart.New)
		sum.Old.Add(&o)
		sum.New.Add(&n)
	}
	return &pb.Evidence{
		Route: s.route, FailureDomain: s.domain,
		OldCalls: sum.Old.Calls, OldErrors: sum.Old.Errors, NewCalls: sum.New.Calls, NewErrors: sum.New.Errors,
		OldP99Ms: quantileMs(&sum.Old.Latency, 0.99), NewP99Ms: quantileMs(&sum.New.Latency, 0.99),
		Score: math.Round(score*10) / 10,
	}
}

// maxEvidence is the number of evidence rows, besides the first, that a decision stores in
// the log.
const maxEvidence = 4

// evidenceRows returns the evidence of the maxEvidence streams with the highest scores.
func (j *Judge) evidenceRows() []*pb.Evidence {
	type scored struct {
		s     *stream
		score float64
	}
	rows := make([]scored, 0, len(j.streams))
	for _, s := range j.streams {
		top := 0.0
		for m := range metricCount {
			top = max(top, best(&s.concurrent[m]), best(&s.reference[m]))
		}
		rows = append(rows, scored{s, top})
	}
	slices.SortStableFunc(rows, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var out []*pb.Evidence
	for _, r := range rows[:min(len(rows), maxEvidence)] {
		out = append(out, j.evidence(r.s, r.score))
	}
	return out
}
