package moves

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/core/rollout"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// Operator is the name under which the leader decides, as the history shows it.
const Operator = "rattanfield"

// submitTimeout bounds the proposal of one step.
const submitTimeout = 3 * time.Second

// Decider proposes the steps of all moves while this host leads.
type Decider struct {
	options    Options
	proposer   ports.Proposer
	leadership ports.Leadership
	state      ports.StateReader
	collector  *Collector
	logger     log.Logger
	judges     map[string]*rollout.Judge // by move id
	waiting    map[string]string         // last reason to wait that was logged

	mu    sync.Mutex
	waits map[string]string // what each move waits for, for operators
}

// Waits returns what a move waits for now; empty when it does not wait or this host does not lead.
func (d *Decider) Waits(moveID string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waits[moveID]
}

func (d *Decider) setWait(moveID, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if reason == "" {
		delete(d.waits, moveID)
		return
	}
	d.waits[moveID] = reason
}

// NewDecider returns a Decider; Run decides.
func NewDecider(options Options, proposer ports.Proposer, leadership ports.Leadership, state ports.StateReader, collector *Collector, logger log.Logger) *Decider {
	return &Decider{
		options: options.withDefaults(), proposer: proposer, leadership: leadership, state: state,
		collector: collector, logger: logger,
		judges: make(map[string]*rollout.Judge), waiting: make(map[string]string),
		waits: make(map[string]string),
	}
}

// Run decides once per interval until the context ends.
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

func (d *Decider) decideAll(ctx context.Context) {
	if !d.leadership.IsLeader() {
		// The next leader follows the moves now; old scores would miss its steps.
		clear(d.judges)
		clear(d.waiting)
		d.mu.Lock()
		clear(d.waits)
		d.mu.Unlock()
		return
	}
	state := d.state.State()
	running := make(map[string]bool)
	for _, m := range state.Moves {
		if !rollout.Running(m.GetPhase()) {
			continue
		}
		running[m.GetMoveId()] = true
		d.decide(ctx, state, m)
	}
	for id := range d.judges {
		if !running[id] {
			delete(d.judges, id)
			delete(d.waiting, id)
			d.setWait(id, "")
		}
	}
}

func (d *Decider) decide(ctx context.Context, state *ports.AppliedState, m *pb.Move) {
	j := d.judges[m.GetMoveId()]
	if j == nil {
		j = rollout.NewJudge(riskOf(state.Configuration, m.GetService(), d.options.Risk))
		d.judges[m.GetMoveId()] = j
	}
	evidence := d.collector.evidence(m.GetMoveId())
	if d.collector.reportsOwnDomain() {
		for _, member := range state.Members {
			if _, known := evidence.Domains[member.GetFailureDomain()]; !known {
				evidence.Domains[member.GetFailureDomain()] = rollout.DomainStatus{}
			}
		}
	}
	now := d.options.Now()
	decision := j.Decide(m, evidence, now)
	if !decision.Changed {
		d.setWait(m.GetMoveId(), decision.Reason)
		d.wait(m.GetMoveId(), decision.Reason)
		return
	}
	d.setWait(m.GetMoveId(), "")
	step := decision.StepMove(m)
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	result := d.proposer.Submit(ctx, &pb.Command{
		// A step has one id whoever leads: the first accepted decision wins.
		CommandId: fmt.Sprintf("%s/%d", m.GetMoveId(), step.GetStep()),
		Operator:  Operator, SubmittedUnixMs: now.UnixMilli(),
		Command: &pb.Command_StepMove{StepMove: step},
	})
	_ = d.logger.Log("msg", "step proposed", "move", m.GetMoveId(), "step", step.GetStep(), "phase", step.GetPhase(),
		"reason", step.GetReason(), "outcome", result.GetOutcome())
}

// wait logs the kind of wait when it changes; remaining times and counts would
// make a line per second.
func (d *Decider) wait(moveID, reason string) {
	kind := reason
	for i, r := range reason {
		if r >= '0' && r <= '9' {
			kind = reason[:i]
			break
		}
	}
	if d.waiting[moveID] != kind {
		d.waiting[moveID] = kind
		_ = d.logger.Log("msg", "move waits", "move", moveID, "reason", reason)
	}
}

// riskOf is the preference of a service, or that of the deployment when it has none.
func riskOf(c *pb.Configuration, service string, deployment pb.RiskPreference) pb.RiskPreference {
	for _, s := range c.GetServices() {
		if s.GetName() == service && s.GetRisk() != pb.RiskPreference_RISK_PREFERENCE_UNSPECIFIED {
			return s.GetRisk()
		}
	}
	return deployment
}
