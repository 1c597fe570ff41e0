package moves

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/core/move"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// Operator is the operator name that the history shows for decisions of the leader.
const Operator = "rattanfield"

// submitTimeout bounds the proposal of one step.
const submitTimeout = 3 * time.Second

// Decider proposes the steps of all moves while this host leads. The Decider of package rollouts
// does the same for rollouts.
type Decider struct {
	options     Options
	proposer    ports.Proposer
	leadership  ports.Leadership
	state       ports.StateReader
	collector   *Collector
	logger      log.Logger
	judges      map[string]*move.Judge // by move id
	loggedWaits map[string]string      // last kind of wait that was logged, by move id

	mu          sync.Mutex
	waitReasons map[string]string // by move id: what it waits for, shown to operators
}

// WaitReason returns what a move waits for, or "" if it does not wait or this host does not lead.
func (d *Decider) WaitReason(moveID string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waitReasons[moveID]
}

func (d *Decider) setWaitReason(moveID, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reason == "" {
		delete(d.waitReasons, moveID)
		return
	}
	d.waitReasons[moveID] = reason
}

// NewDecider returns a Decider; Run must be started for it to decide.
func NewDecider(options Options, proposer ports.Proposer, leadership ports.Leadership, state ports.StateReader, collector *Collector, logger log.Logger) *Decider {
	return &Decider{
		options: options.withDefaults(), proposer: proposer, leadership: leadership, state: state,
		collector: collector, logger: logger,
		judges: make(map[string]*move.Judge), loggedWaits: make(map[string]string),
		waitReasons: make(map[string]string),
	}
}

// Run decides on all moves once per interval until the context ends.
func (d *Decider) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.decideAll(ctx)
		}
	}
}

// decideAll decides on all running moves, and forgets moves that have ended. It does nothing but
// forget all moves while this host does not lead.
func (d *Decider) decideAll(ctx context.Context) {
	if !d.leadership.IsLeader() {
		// Another host decides now. If this one leads again, its scores would miss those steps.
		clear(d.judges)
		clear(d.loggedWaits)
		d.mu.Lock()
		clear(d.waitReasons)
		d.mu.Unlock()
		return
	}
	state := d.state.State()
	running := make(map[string]bool)
	for _, m := range state.Moves {
		if !move.Running(m.GetPhase()) {
			continue
		}
		running[m.GetMoveId()] = true
		d.decide(ctx, state, m)
	}
	for id := range d.judges {
		if !running[id] {
			delete(d.judges, id)
			delete(d.loggedWaits, id)
			d.setWaitReason(id, "")
		}
	}
}

// decide decides on one move and proposes the step, if there is one.
func (d *Decider) decide(ctx context.Context, state *ports.AppliedState, m *pb.Move) {
	j := d.judges[m.GetMoveId()]
	if j == nil {
		j = move.NewJudge(riskOf(state.Configuration, m.GetService(), d.options.Risk))
		d.judges[m.GetMoveId()] = j
	}
	evidence := d.collector.evidence(m.GetMoveId())
	if d.collector.reportsOwnDomain() {
		// The failure domains of all control hosts are expected to report, so their shares are
		// not raised before they do.
		for _, member := range state.Members {
			if _, known := evidence.Domains[member.GetFailureDomain()]; !known {
				evidence.Domains[member.GetFailureDomain()] = move.DomainStatus{}
			}
		}
	}
	now := d.options.Now()
	decision := j.Decide(m, evidence, now)
	if !decision.Changed {
		d.setWaitReason(m.GetMoveId(), decision.Reason)
		d.logWait(m.GetMoveId(), decision.Reason)
		return
	}
	d.setWaitReason(m.GetMoveId(), "")
	step := decision.StepMove(m)
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	result := d.proposer.Submit(ctx, &pb.Command{
		// The id of a step does not depend on the leader, so only the first decision is accepted.
		CommandId: fmt.Sprintf("%s/%d", m.GetMoveId(), step.GetStep()),
		Operator:  Operator, SubmittedUnixMs: now.UnixMilli(),
		Command: &pb.Command_StepMove{StepMove: step},
	})
	_ = d.logger.Log("msg", "step proposed", "move", m.GetMoveId(), "step", step.GetStep(), "phase", step.GetPhase(),
		"reason", step.GetReason(), "outcome", result.GetOutcome())
}

// logWait logs the reason for a wait when its kind changes, which is the text before the first
// number: logging each change of remaining times and counts would write a line per second.
func (d *Decider) logWait(moveID, reason string) {
	kind := reason
	for i, r := range reason {
		if r >= '0' && r <= '9' {
			kind = reason[:i]
			break
		}
	}
	if d.loggedWaits[moveID] != kind {
		d.loggedWaits[moveID] = kind
		_ = d.logger.Log("msg", "move waits", "move", moveID, "reason", reason)
	}
}

// riskOf returns the risk preference of a service, or that of the deployment if it has none.
func riskOf(c *pb.Configuration, service string, deployment pb.RiskPreference) pb.RiskPreference {
	for _, s := range c.GetServices() {
		if s.GetName() == service && s.GetRisk() != pb.RiskPreference_RISK_PREFERENCE_UNSPECIFIED {
			return s.GetRisk()
		}
	}
	return deployment
}
