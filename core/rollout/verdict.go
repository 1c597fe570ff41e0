package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// judgement is what the scores say.
type judgement int

const (
	fine judgement = iota
	// suspicious: no larger share before the suspicion has gone.
	suspicious
	// unconfirmed: worse than the old version was, but without concurrent calls to tell why.
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
	// suspicionFactor of the threshold holds a move; the scores of a good version
	// pass it in about one interval of a hundred.
	suspicionFactor = 0.6
	// confirmScore is what the concurrent comparison must add to the comparison
	// with the past: a change that concerns both versions passes it once in 200 times.
	confirmScore = 5.3
	// At a small share a suspicion that lasts for longIntervals needs less: the
	// expected rate follows the old version, so a general change has passed by then.
	longIntervals    = 45
	longConfirmScore = 2
)

func (j *Judge) verdict() verdict {
	v, confirm := verdict{}, confirmScore
	if j.unconfirmed > longIntervals {
		confirm = longConfirmScore
	}
	worst := func(k judgement, s *stream, m metric, score float64) {
		if k > v.judgement || (k == v.judgement && score > v.score) {
			v = verdict{k, s, m, score}
		}
	}
	for _, s := range j.streams {
		for m := range metricCount {
			concurrent, reference := best(&s.concurrent[m]), best(&s.reference[m])
			switch {
			case concurrent >= j.threshold:
				worst(bad, s, m, concurrent)
			case reference >= j.threshold && concurrent >= confirm:
				worst(bad, s, m, reference)
			case reference >= j.threshold:
				worst(unconfirmed, s, m, reference)
			case max(concurrent, reference) >= suspicionFactor*j.threshold:
				worst(suspicious, s, m, max(concurrent, reference))
			}
		}
	}
	return v
}

// describe says in plain language what a verdict rests on.
func (j *Judge) describe(v verdict) string {
	where := "over all routes"
	switch {
	case v.stream.route != "":
		where = "on route " + v.stream.route
	case v.stream.domain != "":
		where = "in failure domain " + v.stream.domain
	}
	e := j.evidence(v.stream, v.score)
	detail := fmt.Sprintf("p99 %.0f ms against %.0f ms", e.GetNewP99Ms(), e.GetOldP99Ms())
	if !v.metric.isLatency() {
		detail = fmt.Sprintf("%d errors in %d calls against %d in %d", e.GetNewErrors(), e.GetNewCalls(), e.GetOldErrors(), e.GetOldCalls())
	}
	return fmt.Sprintf("%s %s: %s of the old version (score %.1f, limit %.1f)", metricNames[v.metric], where, detail, v.score, j.threshold)
}

// evidence of a stream since the step began.
func (j *Judge) evidence(s *stream, score float64) *pb.Evidence {
	var sum Pair
	for _, c := range j.order {
		if (s.route != "" && s.route != c.Route) || (s.domain != "" && s.domain != c.Domain) {
			continue
		}
		o, n := c.seen.Old.minus(&c.atStep.Old), c.seen.New.minus(&c.atStep.New)
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

// maxEvidence bounds the rows that a decision stores in the log.
const maxEvidence = 4

// evidenceRows are the streams with the highest scores.
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
