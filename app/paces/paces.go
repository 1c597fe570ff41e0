// Package paces runs the rollouts of seconds on the control host that leads: it
// sums what nodes counted, asks the judge of core/pace and proposes each step.
package paces

import (
	"context"
	"fmt"
	"slices"
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
	// logInterval and loggedRoutes bound what is logged of the evidence.
	logInterval  = time.Second
	loggedRoutes = 4
)

// Counts gives what nodes counted and which upstreams there are.
type Counts interface {
	// Outcomes gives also the time since this host got the counts.
	Outcomes(f func(r *pb.NodeRecord, age time.Duration))
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
	bound  float64
	logger log.Logger
	judges map[uint64]*follow // by serial of the rollout
}

type follow struct {
	judge  *pace.Judge
	since  time.Time // on the clock of this process
	logged time.Time // when the evidence was logged last
}

// New returns a decider; Run starts it. The bound is the part of a service's requests that a
// bad version may get during its rollout; 0: pace.DefaultBound.
func New(state State, counts Counts, bound float64, logger log.Logger) *Decider {
	return &Decider{state: state, counts: counts, bound: bound, logger: logger, judges: make(map[uint64]*follow)}
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
		f = &follow{judge: pace.NewJudge(d.bound), since: time.Now().Add(-passed)}
		d.judges[r.GetSerial()] = f
	}
	in, oldest := d.input(r)
	in.Elapsed = time.Since(f.since)
	decision := f.judge.Decide(in)
	if time.Since(f.logged) >= logInterval || decision.Phase != r.GetPhase() {
		f.logged = time.Now()
		d.logEvidence(r, f.judge, in.Elapsed, oldest)
	}
	if decision.Phase == r.GetPhase() && decision.SharePermille == r.GetSharePermille() {
		return
	}
	d.propose(ctx, r, decision)
}

func (d *Decider) propose(ctx context.Context, r *pb.Rollout, decision pace.Decision) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	step := &pb.StepRollout{
		Service: r.GetService(), Serial: r.GetSerial(), Step: r.GetStep() + 1,
		Phase: decision.Phase, SharePermille: decision.SharePermille, Reason: decision.Reason,
	}
	result := d.state.Submit(ctx, &pb.Command{
		CommandId: fmt.Sprintf("rollout-%d-%d-%d-%d", r.GetSerial(), step.GetStep(), decision.Phase, decision.SharePermille), Operator: "rattanfield",
		Command: &pb.Command_StepRollout{StepRollout: step},
	})
	_ = d.logger.Log("event", "rollout step", "service", r.GetService(), "version", r.GetTargetVersion(), "phase", decision.Phase,
		"share_permille", decision.SharePermille, "reason", decision.Reason, "outcome", result.GetOutcome())
}

// logEvidence tells what a decision rests on, and how old the oldest counts are.
func (d *Decider) logEvidence(r *pb.Rollout, judge *pace.Judge, elapsed, oldest time.Duration) {
	seen := judge.EvidenceByRoute()
	for _, e := range seen[:min(len(seen), loggedRoutes)] {
		_ = d.logger.Log("event", "rollout evidence", "service", r.GetService(), "version", r.GetTargetVersion(), "elapsed", elapsed.Round(time.Millisecond),
			"share_permille", r.GetSharePermille(), "route", e.Route, "evidence", fmt.Sprintf("%.1f", e.Ratio),
			"new", e.LastSecond.New.Answered, "new_failed", e.LastSecond.New.Failed, "new_errors", e.LastSecond.New.Errors, "new_time", e.NewMeanTime.Round(time.Millisecond),
			"old", e.LastSecond.Old.Answered, "old_failed", e.LastSecond.Old.Failed, "old_errors", e.LastSecond.Old.Errors, "oldest_count", oldest.Round(time.Millisecond))
	}
}

// input collects what nodes counted in the rollout, and returns the age of the oldest count.
func (d *Decider) input(r *pb.Rollout) (pace.Input, time.Duration) {
	oldest := time.Duration(0)
	in := pace.Input{Duration: time.Duration(r.GetDurationMs()) * time.Millisecond, SharePermille: r.GetSharePermille()}
	d.counts.Outcomes(func(n *pb.NodeRecord, age time.Duration) {
		if slices.Contains(r.GetWithdrawn(), n.GetVersion()) {
			return // its last requests say nothing of the old version
		}
		upstream := fmt.Sprintf("%s %s %d", n.GetNode(), n.GetInstance(), n.GetEpoch())
		for _, o := range n.GetOutcomes() {
			if o.GetRollout() != r.GetSerial() {
				continue
			}
			oldest = max(oldest, age)
			in.UpstreamCounts = append(in.UpstreamCounts, pace.UpstreamCounts{
				Upstream: upstream, Route: o.GetRoute(), New: n.GetVersion() == r.GetTargetVersion(),
				Counts: pace.Counts{
					Answered: o.GetAnswered(), Failed: o.GetFailed(), Errors: o.GetErrors(), Time: time.Duration(o.GetTimeMs()) * time.Millisecond,
				},
			})
		}
	})
	d.counts.Nodes(func(n *pb.NodeRecord) {
		in.Ready = in.Ready || (n.GetService() == r.GetService() && n.GetVersion() == r.GetTargetVersion() &&
			n.GetState() == pb.UpstreamState_UPSTREAM_STATE_SERVING)
	})
	return in, oldest
}
