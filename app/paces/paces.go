// Package paces runs the rollouts of seconds on the control host that leads: it
// sums what nodes counted, asks the judge of core/pace and proposes each step.
package paces

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/core/pace"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	// interval of decisions, a fraction of the time in which a bad version must be out.
	interval = 200 * time.Millisecond
	// submitTimeout bounds one proposal; the next decision follows anyway.
	submitTimeout = 2 * time.Second
)

// Counts gives what nodes counted and which upstreams there are.
type Counts interface {
	Outcomes(f func(*pb.NodeRecord))
	Nodes(f func(*pb.NodeRecord))
}

// State is what the decisions need of the replicated state.
type State interface {
	ports.StateReader
	ports.Leadership
	ports.Proposer
}

// Decider decides the steps of rollouts while this host leads.
type Decider struct {
	state  State
	counts Counts
	logger log.Logger
	judges map[uint64]*follow // by serial of the rollout
}

type follow struct {
	judge *pace.Judge
	since time.Time // on the clock of this process
}

// New returns a decider; Run starts it.
func New(state State, counts Counts, logger log.Logger) *Decider {
	return &Decider{state: state, counts: counts, logger: logger, judges: make(map[uint64]*follow)}
}

// Run decides until the context ends, and then returns nil.
func (d *Decider) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !d.state.IsLeader() {
			clear(d.judges)
			continue
		}
		for _, r := range d.state.State().Rollouts {
			if r.GetPhase() == pb.RolloutPhase_ROLLOUT_PHASE_RUNNING {
				d.decide(ctx, r)
			}
		}
	}
}

func (d *Decider) decide(ctx context.Context, r *pb.Rollout) {
	f := d.judges[r.GetSerial()]
	if f == nil {
		passed := time.Since(time.UnixMilli(r.GetStartedUnixMs()))
		passed = max(0, min(passed, time.Duration(r.GetDurationMs())*time.Millisecond))
		f = &follow{judge: pace.NewJudge(), since: time.Now().Add(-passed)}
		d.judges[r.GetSerial()] = f
	}
	in := d.input(r)
	in.Elapsed = time.Since(f.since)
	decision := f.judge.Decide(in)
	share := max(decision.SharePermille, r.GetSharePermille()) // a new leader does not go back
	if decision.Phase == pb.RolloutPhase_ROLLOUT_PHASE_REVERTED {
		share = 0
	}
	if decision.Phase == r.GetPhase() && share == r.GetSharePermille() {
		return
	}
	d.propose(ctx, r, decision, share)
}

func (d *Decider) propose(ctx context.Context, r *pb.Rollout, decision pace.Decision, share uint32) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	step := &pb.StepRollout{
		Service: r.GetService(), Serial: r.GetSerial(), Step: r.GetStep() + 1,
		Phase: decision.Phase, SharePermille: share, Reason: decision.Reason,
	}
	result := d.state.Submit(ctx, &pb.Command{
		CommandId: fmt.Sprintf("rollout-%d-%d-%d-%d", r.GetSerial(), step.GetStep(), decision.Phase, share), Operator: "rattanfield",
		Command: &pb.Command_StepRollout{StepRollout: step},
	})
	_ = d.logger.Log("event", "rollout step", "service", r.GetService(), "version", r.GetTargetVersion(), "phase", decision.Phase,
		"share_permille", share, "reason", decision.Reason, "outcome", result.GetOutcome())
}

// input sums what nodes counted in the rollout.
func (d *Decider) input(r *pb.Rollout) pace.Input {
	in := pace.Input{Duration: time.Duration(r.GetDurationMs()) * time.Millisecond, Routes: make(map[string]pace.Route)}
	d.counts.Outcomes(func(n *pb.NodeRecord) {
		for _, o := range n.GetOutcomes() {
			if o.GetRollout() != r.GetSerial() {
				continue
			}
			route := in.Routes[o.GetRoute()]
			sum := &route.Old
			if n.GetVersion() == r.GetTargetVersion() {
				sum = &route.New
			}
			sum.Answered += o.GetAnswered()
			sum.Failed += o.GetFailed()
			sum.Time += time.Duration(o.GetTimeMs()) * time.Millisecond
			in.Routes[o.GetRoute()] = route
		}
	})
	d.counts.Nodes(func(n *pb.NodeRecord) {
		in.Ready = in.Ready || (n.GetService() == r.GetService() && n.GetVersion() == r.GetTargetVersion() &&
			n.GetState() == pb.UpstreamState_UPSTREAM_STATE_SERVING)
	})
	return in
}
