package simulate

import (
	"time"

	"github.com/rattanfield/rattanfield/core/move"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// FixedSteps is a controller with fixed steps and fixed thresholds, with which the Judge is
// compared; results label it "baseline". It has nothing to do with the Judge's baseline of the
// old version. Every 10 s it evaluates the calls of the new version in the last 30 s, and rolls
// back if more than 1% of them failed or their p95 is more than 1.4 times that of the old
// version before the move. Of p90, p95 and p99 with factors of 1.4 and 1.6, these values gave
// FixedSteps its best results.
type FixedSteps struct {
	sums     [fixedStepsWindow + 1]move.Counts // ring buffer of the cumulative counts of the new version, one per second
	observed int
	oldP95   int // bucket
}

const (
	fixedStepsWindow      = 30 // s
	fixedStepsInterval    = 10 // s
	fixedStepsErrors      = 0.01
	fixedStepsMinCalls    = 100
	fixedStepsSlowBuckets = 3 // buckets: 1.125^3 is 1.42
	fixedStepsMargin      = 0.1
)

var fixedStepsShares = []uint32{50, 250, 500, 750, 1000}

// NewFixedSteps returns a FixedSteps controller for one move.
func NewFixedSteps() *FixedSteps { return &FixedSteps{} }

// Decide implements Controller. It takes one step after each fixed fraction of the planned time.
func (f *FixedSteps) Decide(m *pb.Move, e *move.Evidence, now time.Time) move.Decision {
	sum := sumOf(e)
	f.observed++
	f.sums[f.observed%len(f.sums)] = sum.New
	started := time.UnixMilli(m.GetStartedUnixMs())
	spent := now.Sub(started)
	second := int(spent / time.Second)
	if m.GetStep() == 0 {
		f.oldP95 = p95(&sum.Old)
		if second < fixedStepsInterval {
			return move.Decision{}
		}
		return f.step(e, pb.MovePhase_MOVE_PHASE_RUNNING, fixedStepsShares[0], "first step")
	}
	if second%fixedStepsInterval == 0 && f.exceedsThreshold() {
		return f.step(e, pb.MovePhase_MOVE_PHASE_ROLLED_BACK, 0, "over a threshold")
	}
	total := time.UnixMilli(m.GetDeadlineUnixMs()).Sub(started)
	stepTime := time.Duration(float64(total) * (1 - fixedStepsMargin) / float64(len(fixedStepsShares)))
	switch at := int(spent / stepTime); {
	case at >= len(fixedStepsShares):
		return f.step(e, pb.MovePhase_MOVE_PHASE_DONE, 1000, "all steps passed")
	case at >= int(m.GetStep()):
		return f.step(e, pb.MovePhase_MOVE_PHASE_RUNNING, fixedStepsShares[m.GetStep()], "next step")
	}
	return move.Decision{}
}

// KeepsState marks FixedSteps as unaffected by a change of leader: its state is assumed to
// be replicated. Run only checks that a Controller has this method and does not call it.
func (f *FixedSteps) KeepsState() bool { return true }

func (f *FixedSteps) step(e *move.Evidence, phase pb.MovePhase, permille uint32, reason string) move.Decision {
	d := move.Decision{Changed: true, Phase: phase, Reason: reason}
	for name := range e.Domains {
		d.Domains = append(d.Domains, &pb.DomainShare{FailureDomain: name, NewPermille: permille})
	}
	return d
}

func (f *FixedSteps) exceedsThreshold() bool {
	n := f.sums[f.observed%len(f.sums)]
	past := &f.sums[(f.observed+1)%len(f.sums)] // empty until the ring is full
	calls, errors := n.Calls-past.Calls, n.Errors-past.Errors
	if calls < fixedStepsMinCalls {
		return false
	}
	for i := range n.Latency {
		n.Latency[i] -= past.Latency[i]
	}
	return float64(errors) > fixedStepsErrors*float64(calls) || p95(&n) >= f.oldP95+fixedStepsSlowBuckets
}

// sumOf returns the counts over all cells.
func sumOf(e *move.Evidence) move.Pair {
	var sum move.Pair
	for i := range e.Cells {
		sum.Old.Add(&e.Cells[i].Old)
		sum.New.Add(&e.Cells[i].New)
	}
	return sum
}

// p95 returns the bucket of the 95% quantile of the latency, or 0 if there are no calls.
func p95(c *move.Counts) int {
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
