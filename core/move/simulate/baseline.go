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
	sums     [baselineWindow + 1]move.Counts // ring buffer of the cumulative counts of the new version, one per second
	observed int
	oldP95   int // bucket
}

const (
	baselineWindow      = 30 // s
	baselineInterval    = 10 // s
	baselineErrors      = 0.01
	baselineMinCalls    = 100
	baselineSlowBuckets = 3 // buckets: 1.125^3 is 1.42
	baselineMargin      = 0.1
)

var baselineSteps = []uint32{50, 250, 500, 750, 1000}

// NewFixedSteps returns a FixedSteps controller for one move.
func NewFixedSteps() *FixedSteps { return &FixedSteps{} }

// Decide implements Controller. It takes one step after each fixed fraction of the planned time.
func (b *FixedSteps) Decide(m *pb.Move, e *move.Evidence, now time.Time) move.Decision {
	sum := sumOf(e)
	b.observed++
	b.sums[b.observed%len(b.sums)] = sum.New
	started := time.UnixMilli(m.GetStartedUnixMs())
	spent := now.Sub(started)
	second := int(spent / time.Second)
	if m.GetStep() == 0 {
		b.oldP95 = p95(&sum.Old)
		if second < baselineInterval {
			return move.Decision{}
		}
		return b.step(e, pb.MovePhase_MOVE_PHASE_RUNNING, baselineSteps[0], "first step")
	}
	if second%baselineInterval == 0 && b.exceedsThreshold() {
		return b.step(e, pb.MovePhase_MOVE_PHASE_ROLLED_BACK, 0, "over a threshold")
	}
	total := time.UnixMilli(m.GetDeadlineUnixMs()).Sub(started)
	stepTime := time.Duration(float64(total) * (1 - baselineMargin) / float64(len(baselineSteps)))
	switch at := int(spent / stepTime); {
	case at >= len(baselineSteps):
		return b.step(e, pb.MovePhase_MOVE_PHASE_DONE, 1000, "all steps passed")
	case at >= int(m.GetStep()):
		return b.step(e, pb.MovePhase_MOVE_PHASE_RUNNING, baselineSteps[m.GetStep()], "next step")
	}
	return move.Decision{}
}

// KeepsState marks FixedSteps as unaffected by a change of leader: its state is assumed to
// be replicated. Run only checks that a Controller has this method and does not call it.
func (b *FixedSteps) KeepsState() bool { return true }

func (b *FixedSteps) step(e *move.Evidence, phase pb.MovePhase, permille uint32, reason string) move.Decision {
	d := move.Decision{Changed: true, Phase: phase, Reason: reason}
	for name := range e.Domains {
		d.Domains = append(d.Domains, &pb.DomainShare{FailureDomain: name, NewPermille: permille})
	}
	return d
}

func (b *FixedSteps) exceedsThreshold() bool {
	n := b.sums[b.observed%len(b.sums)]
	past := &b.sums[(b.observed+1)%len(b.sums)] // empty until the ring is full
	calls, errors := n.Calls-past.Calls, n.Errors-past.Errors
	if calls < baselineMinCalls {
		return false
	}
	for i := range n.Latency {
		n.Latency[i] -= past.Latency[i]
	}
	return float64(errors) > baselineErrors*float64(calls) || p95(&n) >= b.oldP95+baselineSlowBuckets
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
