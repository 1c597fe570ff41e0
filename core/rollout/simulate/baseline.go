package simulate

import (
	"time"

	"github.com/rattanfield/rattanfield/core/rollout"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Baseline is a rollout in fixed steps with fixed thresholds, as the comparison
// for the Judge: it looks at the new version's calls of the last 30 s every 10 s
// and rolls back when more than 1% failed or their p95 is more than 1.4 times
// the old version's before the move. Of p90, p95 and p99 with 1.4 and 1.6 times,
// these values gave the baseline its best results.
type Baseline struct {
	looks    [baselineWindow + 1]rollout.Counts // ring of the new version's sums, one per second
	seen     int
	usualP95 int // bucket
}

const (
	baselineWindow    = 30 // s
	baselineEvery     = 10 // s
	baselineErrors    = 0.01
	baselineMinCalls  = 100
	baselineSlowShift = 3 // buckets: 1.125^3 is 1.42
	baselineMargin    = 0.1
)

var baselineSteps = []uint32{50, 250, 500, 750, 1000}

// NewBaseline returns a Baseline for one move.
func NewBaseline() *Baseline { return &Baseline{} }

// Decide climbs a step per fixed part of the time.
func (b *Baseline) Decide(m *pb.Move, e *rollout.Evidence, now time.Time) rollout.Decision {
	sum := sumOf(e)
	b.seen++
	b.looks[b.seen%len(b.looks)] = sum.New
	started := time.UnixMilli(m.GetStartedUnixMs())
	spent := now.Sub(started)
	second := int(spent / time.Second)
	if m.GetStep() == 0 {
		b.usualP95 = p95(&sum.Old)
		if second < baselineEvery {
			return rollout.Decision{}
		}
		return b.to(e, pb.MovePhase_MOVE_PHASE_RUNNING, baselineSteps[0], "first step")
	}
	if second%baselineEvery == 0 && b.bad() {
		return b.to(e, pb.MovePhase_MOVE_PHASE_ROLLED_BACK, 0, "over a threshold")
	}
	total := time.UnixMilli(m.GetDeadlineUnixMs()).Sub(started)
	each := time.Duration(float64(total) * (1 - baselineMargin) / float64(len(baselineSteps)))
	switch at := int(spent / each); {
	case at >= len(baselineSteps):
		return b.to(e, pb.MovePhase_MOVE_PHASE_DONE, 1000, "all steps passed")
	case at >= int(m.GetStep()):
		return b.to(e, pb.MovePhase_MOVE_PHASE_RUNNING, baselineSteps[m.GetStep()], "next step")
	}
	return rollout.Decision{}
}

// KeepsState reports that the baseline survives a change of leader: its state is
// taken as replicated.
func (b *Baseline) KeepsState() bool { return true }

func (b *Baseline) to(e *rollout.Evidence, phase pb.MovePhase, permille uint32, reason string) rollout.Decision {
	d := rollout.Decision{Changed: true, Phase: phase, Reason: reason}
	for name := range e.Domains {
		d.Domains = append(d.Domains, &pb.DomainShare{FailureDomain: name, NewPermille: permille})
	}
	return d
}

func (b *Baseline) bad() bool {
	n := b.looks[b.seen%len(b.looks)]
	past := &b.looks[(b.seen+1)%len(b.looks)] // empty until the ring is full
	calls, errors := n.Calls-past.Calls, n.Errors-past.Errors
	if calls < baselineMinCalls {
		return false
	}
	for i := range n.Latency {
		n.Latency[i] -= past.Latency[i]
	}
	return float64(errors) > baselineErrors*float64(calls) || p95(&n) >= b.usualP95+baselineSlowShift
}

func sumOf(e *rollout.Evidence) rollout.Pair {
	var sum rollout.Pair
	for i := range e.Cells {
		sum.Old.Add(&e.Cells[i].Old)
		sum.New.Add(&e.Cells[i].New)
	}
	return sum
}

func p95(c *rollout.Counts) int {
	total := uint64(0)
	for _, n := range c.Latency {
		total += n
	}
	sum := uint64(0)
	for i, n := range c.Latency {
		if sum += n; float64(sum) >= 0.95*float64(total) {
			return i
		}
	}
	return 0
}
