// Package rollouts runs rollouts, the changes to a new version within seconds, on the leading
// control host: it passes the counts of the nodes to a judge of core/rollout and proposes each
// step. Package moves does the same for moves of traffic that last minutes.
package rollouts

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/core/rollout"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	// interval is the time between decisions, a fraction of the time in which a bad version must
	// be reverted.
	interval = 200 * time.Millisecond
	// submitTimeout bounds one proposal. If it fails, the next decision proposes the step again.
	submitTimeout = 2 * time.Second
	// logInterval and loggedRoutes bound how often and for how many routes evidence is logged.
	logInterval  = time.Second
	loggedRoutes = 4
)

// OutcomeSource provides the outcomes that nodes counted and the records of all nodes.
type OutcomeSource interface {
	// Outcomes calls f with the record of each node that has counts, and the time since they were
	// last confirmed.
	Outcomes(f func(r *pb.NodeRecord, age time.Duration))
	// Nodes calls f with the record of each node.
	Nodes(f func(*pb.NodeRecord))
}

// State reads the replicated state, tells whether this host leads and proposes commands.
type State interface {
	ports.StateReader
	ports.Leadership
	ports.Proposer
}

// Decider decides the steps of all running rollouts while this host leads.
type Decider struct {
	state         State
	source        OutcomeSource
	exposureBound float64
	logger        log.Logger
	rollouts      map[uint64]*trackedRollout // by serial of the rollout
}

// trackedRollout is a rollout for which this host has decided since it became the leader.
type trackedRollout struct {
	judge     *rollout.Judge
	startedAt time.Time // start of the rollout by the clock of this process
	loggedAt  time.Time // when the evidence was logged last
}

// New returns a decider; Run starts it. The exposure bound is the fraction of a service's
// requests that a bad version may receive during its rollout; 0 stands for rollout.DefaultBound.
func New(state State, source OutcomeSource, exposureBound float64, logger log.Logger) *Decider {
	return &Decider{state: state, source: source, exposureBound: exposureBound, logger: logger, rollouts: make(map[uint64]*trackedRollout)}
}

// Run decides once per interval until the context ends, and then returns nil.
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
			clear(d.rollouts)
			continue
		}
		for _, r := range d.state.State().Rollouts {
			if r.GetPhase() == pb.RolloutPhase_ROLLOUT_PHASE_RUNNING {
				d.decide(ctx, r)
			}
		}
	}
}

// decide makes one decision on a rollout and proposes it if it changes the phase or the share.
func (d *Decider) decide(ctx context.Context, r *pb.Rollout) {
	tracked := d.rollouts[r.GetSerial()]
	if tracked == nil {
		elapsed := time.Since(time.UnixMilli(r.GetStartedUnixMs()))
		elapsed = max(0, min(elapsed, time.Duration(r.GetDurationMs())*time.Millisecond))
		tracked = &trackedRollout{judge: rollout.NewJudge(d.exposureBound), startedAt: time.Now().Add(-elapsed)}
		d.rollouts[r.GetSerial()] = tracked
	}
	in, oldest := d.input(r)
	in.Elapsed = time.Since(tracked.startedAt)
	decision := tracked.judge.Decide(in)
	if time.Since(tracked.loggedAt) >= logInterval || decision.Phase != r.GetPhase() {
		tracked.loggedAt = time.Now()
		d.logEvidence(r, tracked.judge, in.Elapsed, oldest)
	}
	if decision.Phase == r.GetPhase() && decision.SharePermille == r.GetSharePermille() {
		return
	}
	d.propose(ctx, r, decision)
}

// propose submits a decision as the next step of a rollout. The command id depends on the step
// and the decision only, so a step that is proposed again is accepted once.
func (d *Decider) propose(ctx context.Context, r *pb.Rollout, decision rollout.Decision) {
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

// logEvidence logs the evidence of a decision and the age of the oldest counts.
func (d *Decider) logEvidence(r *pb.Rollout, judge *rollout.Judge, elapsed, oldest time.Duration) {
	evidence := judge.EvidenceByRoute()
	for _, e := range evidence[:min(len(evidence), loggedRoutes)] {
		_ = d.logger.Log("event", "rollout evidence", "service", r.GetService(), "version", r.GetTargetVersion(), "elapsed", elapsed.Round(time.Millisecond),
			"share_permille", r.GetSharePermille(), "route", e.Route, "evidence", fmt.Sprintf("%.1f", e.Ratio),
			"new", e.LastSecond.New.Requests, "new_failed", e.LastSecond.New.Failed, "new_errors", e.LastSecond.New.ErrorAnswers, "new_time", e.NewMeanTime.Round(time.Millisecond),
			"slow_above", e.SlowAbove.Round(time.Millisecond), "new_slow", fmt.Sprintf("%.3f", e.NewSlow), "old_slow", fmt.Sprintf("%.3f", e.OldSlow),
			"old", e.LastSecond.Old.Requests, "old_failed", e.LastSecond.Old.Failed, "old_errors", e.LastSecond.Old.ErrorAnswers, "oldest_count", oldest.Round(time.Millisecond))
	}
}

// input returns the input of a decision from the counts of the nodes, and the age of the
// oldest counts.
func (d *Decider) input(r *pb.Rollout) (rollout.Input, time.Duration) {
	oldest := time.Duration(0)
	in := rollout.Input{Duration: time.Duration(r.GetDurationMs()) * time.Millisecond, SharePermille: r.GetSharePermille()}
	d.source.Outcomes(func(n *pb.NodeRecord, age time.Duration) {
		if slices.Contains(r.GetWithdrawn(), n.GetVersion()) {
			return // a withdrawn version does not count as the old version
		}
		upstream := fmt.Sprintf("%s %s %d", n.GetNode(), n.GetInstance(), n.GetEpoch())
		for _, o := range n.GetOutcomes() {
			if o.GetRollout() != r.GetSerial() {
				continue
			}
			oldest = max(oldest, age)
			in.UpstreamCounts = append(in.UpstreamCounts, rollout.UpstreamCounts{
				Upstream: upstream, Route: o.GetRoute(), New: n.GetVersion() == r.GetTargetVersion(),
				Counts: rollout.Counts{
					Requests: o.GetAnswered(), Failed: o.GetFailed(), ErrorAnswers: o.GetErrors(), Time: time.Duration(o.GetTimeMs()) * time.Millisecond,
					Times: rollout.HistogramOf(o.GetTimes()),
				},
			})
		}
	})
	d.source.Nodes(func(n *pb.NodeRecord) {
		in.Ready = in.Ready || (n.GetService() == r.GetService() && n.GetVersion() == r.GetTargetVersion() &&
			n.GetState() == pb.UpstreamState_UPSTREAM_STATE_SERVING)
	})
	return in, oldest
}
