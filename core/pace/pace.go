// Package pace decides the steps of a rollout that lasts seconds: how large the
// share of the new version is, when it is complete and when it is taken back.
// It does no I/O and reads no clock.
//
// The share grows in steps that keep the part of all requests that a bad
// version gets below a tenth, also when its fault shows only under the whole
// load. A cumulative sum of log likelihood ratios per route tells a version
// that fails or is slow from one that does not.
package pace

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Counts of one version on one route since the rollout began.
type Counts struct {
	Answered, Failed uint64
	Time             time.Duration // sum of the response times
}

// Route has the counts of the new and of all other versions.
type Route struct {
	New, Old Counts
}

// Input of one decision.
type Input struct {
	Elapsed, Duration time.Duration
	Routes            map[string]Route
	// Ready tells that upstreams of the new version serve.
	Ready bool
}

// Decision of one moment.
type Decision struct {
	Phase         pb.RolloutPhase
	SharePermille uint32
	Reason        string
}

// stage of the plan: the share from a part of the duration on.
type stage struct {
	from  float64
	share uint32
}

// The integral of the shares up to the fourth stage is 0.047 of the duration; the
// 0.7 s until a fault there takes effect add 0.031 in a rollout of 16 s.
// Until shortly before the end the old version keeps a part, against which the new
// one is compared: a fault of the whole service condemns neither.
var stages = []stage{{0, 40}, {0.34, 120}, {0.47, 300}, {0.53, 700}, {0.74, 1000}}

const (
	// completeAt leaves the requests on the old version a quarter of the duration to end.
	completeAt = 0.80
	fullShare  = 1000

	// Bounds of the assumed failure rates: a good version fails at least as seldom as
	// floorRate or twice the old one; a bad one fails badFactor times as often, at least badRate.
	floorRate = 0.02
	badRate   = 0.2
	badFactor = 3.0
	maxRate   = 0.9
	// failureBound is the log likelihood ratio that condemns a version: 1 in 60,000 by chance.
	failureBound = 11.0

	// slowRatio of the mean response times condemns a version; coldRatio while the new
	// upstreams are in their slow start, which doubles their time.
	slowRatio = 3.0
	coldRatio = 6.0
	coldTime  = 4 * time.Second
	// recentAnswers of the new version make up its mean, so that a fault that begins late shows.
	recentAnswers = 24
	minNew        = 16 // answers of the new version that its mean needs
	minOld        = 5  // answers of the old version that its mean needs
	// priorAnswers, one of them failed, stand for the old version before its answers are known.
	priorAnswers = 40
)

// Judge follows one rollout. It is not safe for concurrent use.
type Judge struct {
	last map[string]Route
	fail map[string]float64
	slow map[string]recent
	span map[string][]Route // both versions in the last steps
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{last: make(map[string]Route), fail: make(map[string]float64), slow: make(map[string]recent), span: make(map[string][]Route)}
}

// Decide looks at the counts and returns what holds from now on.
func (j *Judge) Decide(in Input) Decision {
	if reason := j.condemn(in); reason != "" {
		return Decision{Phase: pb.RolloutPhase_ROLLOUT_PHASE_REVERTED, Reason: reason}
	}
	part := float64(in.Elapsed) / float64(max(in.Duration, 1))
	if !in.Ready {
		return Decision{Phase: pb.RolloutPhase_ROLLOUT_PHASE_RUNNING, SharePermille: stages[0].share, Reason: "no upstream of the new version serves"}
	}
	if part >= completeAt {
		return Decision{Phase: pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE, SharePermille: fullShare, Reason: "no fault was seen"}
	}
	share := uint32(0)
	for _, s := range stages {
		if part >= s.from {
			share = s.share
		}
	}
	return Decision{Phase: pb.RolloutPhase_ROLLOUT_PHASE_RUNNING, SharePermille: share, Reason: fmt.Sprintf("%.0f%% of the time has passed", 100*part)}
}

// condemn returns why the new version is bad, or "".
func (j *Judge) condemn(in Input) string {
	for name, now := range in.Routes {
		last, known := j.last[name]
		j.last[name] = now
		if !known {
			continue // of a time that this judge has not followed, in which the versions had different shares
		}
		step := difference(now, last)
		if reason := j.failures(name, step, now); reason != "" {
			return reason
		}
		if reason := j.slowness(name, step, now, in.Elapsed); reason != "" {
			return reason
		}
	}
	return ""
}

// Evidence is what the judge compared on one route at its last decision.
type Evidence struct {
	Route string
	Span  Route   // answers of the last second
	Sum   float64 // log likelihood ratio of a bad version, as large as failureBound when it is condemned
	// Recent is the mean response time of the last answers of the new version.
	Recent time.Duration
}

// Seen returns the evidence of each route, the strongest first.
func (j *Judge) Seen() []Evidence {
	out := make([]Evidence, 0, len(j.span))
	for name, steps := range j.span {
		e := Evidence{Route: name, Sum: j.fail[name]}
		for _, s := range steps {
			e.Span = plus(e.Span, s)
		}
		if r := j.slow[name]; r.answers > 0 {
			e.Recent = time.Duration(r.seconds / r.answers * float64(time.Second))
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(b.Sum, a.Sum), cmp.Compare(a.Route, b.Route))
	})
	return out
}

func difference(now, before Route) Route {
	return Route{New: minus(now.New, before.New), Old: minus(now.Old, before.Old)}
}

// minus is what was added; a restarted node counts from zero again.
func minus(a, b Counts) Counts {
	if a.Answered < b.Answered || a.Failed < b.Failed || a.Time < b.Time {
		return Counts{}
	}
	return Counts{Answered: a.Answered - b.Answered, Failed: a.Failed - b.Failed, Time: a.Time - b.Time}
}

// failures condemns a version whose answers fail more often than those of the
// old one do in the same span of time.
func (j *Judge) failures(name string, step, all Route) string {
	good := max(floorRate, 2*rate(all.Old))
	bad := min(maxRate, max(badRate, badFactor*good))
	if good >= bad {
		return ""
	}
	n, f := float64(step.New.Answered), float64(step.New.Failed)
	sum := max(0, j.fail[name]+f*math.Log(bad/good)+(n-f)*math.Log((1-bad)/(1-good)))
	j.fail[name] = sum
	steps := append(j.span[name], step)
	j.span[name] = steps[max(0, len(steps)-spanSteps):]
	span := Route{}
	for _, s := range j.span[name] {
		if s.New.Failed == 0 {
			s.Old = Counts{} // of a time before the fault, if the new version is not its cause
		}
		span = plus(span, s)
	}
	if sum < failureBound || isClump(span.New, good) || sameFault(span) {
		return ""
	}
	return fmt.Sprintf("route %s: %d of %d answers failed, %d of %d on the old version at that time",
		name, span.New.Failed, span.New.Answered, span.Old.Failed, span.Old.Answered)
}

func plus(a, b Route) Route {
	sum := func(a, b Counts) Counts {
		return Counts{Answered: a.Answered + b.Answered, Failed: a.Failed + b.Failed, Time: a.Time + b.Time}
	}
	return Route{New: sum(a.New, b.New), Old: sum(a.Old, b.Old)}
}

const (
	// spanSteps make up the time in which the versions are compared, a second.
	spanSteps = 5
	// leastExplained is the probability below which what the old version answered is not
	// explained by the failure rate of the new one.
	leastExplained = 0.001
	// muchLess is the part of the new version's failure rate that the old one's stays below.
	muchLess = 0.35
)

const (
	// clumpAnswers of the new version in the time of the comparison tell its failure rate; below
	// that the sum alone decides, as in the first step.
	clumpAnswers = 60
	// clumpBound of the log likelihood ratio over that time: 1 in 150 by chance, after the sum.
	clumpBound = 5.0
)

// isClump reports failures that came together, as when connections are reset,
// and are few among all answers of that time.
func isClump(c Counts, good float64) bool {
	if c.Answered < clumpAnswers {
		return false
	}
	n, p := float64(c.Answered), float64(c.Failed)/float64(c.Answered)
	if p <= good {
		return true
	}
	return n*(p*math.Log(p/good)+(1-p)*math.Log((1-p)/(1-good))) < clumpBound
}

// sameFault reports that both versions fail for the same reason, or may do so
// as far as the answers of the old one tell.
func sameFault(span Route) bool {
	n := float64(span.New.Answered)
	if span.New.Failed == 0 {
		return true
	}
	p := float64(span.New.Failed) / n
	if (float64(span.Old.Failed)+0.5)/(float64(span.Old.Answered)+1) > muchLess*p {
		return true
	}
	return atMost(span.Old, p-math.Sqrt(p*(1-p)/n)) > leastExplained
}

// atMost is the probability of no more failures than were counted, at a given rate.
func atMost(c Counts, rate float64) float64 {
	p := math.Pow(1-rate, float64(c.Answered))
	total := p
	for k := range c.Failed {
		if rate >= 1 {
			return 1
		}
		p *= float64(c.Answered-k) / float64(k+1) * rate / (1 - rate)
		total += p
	}
	return total
}

// rate of failures of the old version; while few answers are known it is
// assumed to be higher, so that a fault of both versions condemns neither.
func rate(c Counts) float64 {
	return (float64(c.Failed) + 1) / (float64(c.Answered) + priorAnswers)
}

// recent answers of the new version, with those before fading out.
type recent struct{ answers, seconds float64 }

func (j *Judge) slowness(name string, step, all Route, elapsed time.Duration) string {
	r := j.slow[name]
	n := float64(step.New.Answered)
	keep := recentAnswers / (recentAnswers + n)
	r = recent{answers: r.answers*keep + n, seconds: r.seconds*keep + step.New.Time.Seconds()}
	j.slow[name] = r
	old := step.Old
	if old.Answered < minOld {
		old = all.Old
	}
	if old.Answered < minOld || r.answers < minNew {
		return ""
	}
	ratio := (r.seconds / r.answers) / max(0.001, all.Old.Time.Seconds()/float64(all.Old.Answered), old.Time.Seconds()/float64(old.Answered))
	bound := slowRatio
	if elapsed < coldTime {
		bound = coldRatio
	}
	if ratio < bound {
		return ""
	}
	return fmt.Sprintf("route %s: answers take %.1f times as long as on the old version", name, ratio)
}
