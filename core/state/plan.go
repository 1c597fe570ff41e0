package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// maxAcceptedPlans bounds how many accepted plans are recognised when they are sent again.
const maxAcceptedPlans = 4096

// plans is the routing plan that operators replace as a whole, with the rollouts that go with it.
type plans struct {
	current  *pb.StoredPlan
	accepted []*pb.AcceptedPlan // oldest first, ascending numbers
	rollouts map[string]*pb.Rollout
	serial   uint64 // of the newest rollout
	changes  uint64 // accepted changes of the plan or a rollout
}

// replacePlan accepts a plan that builds on the current one. A plan that was
// accepted before is acknowledged again, whatever was accepted since.
func (m *Machine) replacePlan(c *pb.Command, r *pb.ReplacePlan) *pb.CommandResult {
	p := &m.plans
	for _, a := range slices.Backward(p.accepted) {
		if a.GetNumber() == r.GetNumber() && a.GetDigest() == r.GetDigest() {
			return m.accepted()
		}
	}
	if r.GetBaseNumber() != p.current.GetNumber() {
		return &pb.CommandResult{
			Outcome: pb.Outcome_OUTCOME_CONFLICT, Revision: m.Revision(), WinnerRevision: p.current.GetNumber(),
			Message: fmt.Sprintf("based on plan %d, the current one is %d", r.GetBaseNumber(), p.current.GetNumber()),
		}
	}
	if r.GetNumber() <= p.current.GetNumber() {
		return invalid(problem("plan", "number %d is not above the current one, %d", r.GetNumber(), p.current.GetNumber()))
	}
	p.current = &pb.StoredPlan{
		Number: r.GetNumber(), Serial: p.current.GetSerial() + 1, Payload: r.GetPayload(), Digest: r.GetDigest(),
	}
	p.accepted = append(p.accepted, &pb.AcceptedPlan{Number: r.GetNumber(), Digest: r.GetDigest()})
	p.accepted = slices.Clone(p.accepted[max(0, len(p.accepted)-maxAcceptedPlans):])
	p.changes++
	m.record(c, false, fmt.Sprintf("replace plan %d by %d", r.GetBaseNumber(), r.GetNumber()), "")
	return m.accepted()
}

// startRollout begins a rollout, or confirms the one that was ordered with the same words.
func (m *Machine) startRollout(c *pb.Command, s *pb.StartRollout) *pb.CommandResult {
	if s.GetService() == "" || s.GetTargetVersion() == "" || s.GetDurationMs() == 0 {
		return invalid(problem("rollout", "service, target version and duration must be set"))
	}
	before := m.plans.rollouts[s.GetService()]
	if before != nil && before.GetTargetVersion() == s.GetTargetVersion() {
		return m.accepted()
	}
	m.plans.serial++
	m.plans.rollouts[s.GetService()] = &pb.Rollout{
		Service: s.GetService(), TargetVersion: s.GetTargetVersion(), DurationMs: s.GetDurationMs(),
		StartedUnixMs: m.clock, Phase: pb.RolloutPhase_ROLLOUT_PHASE_RUNNING, Reason: "started", Serial: m.plans.serial,
		Withdrawn: withdrawn(before, s.GetTargetVersion()),
	}
	m.plans.changes++
	m.record(c, false, fmt.Sprintf("start rollout of %s to %s", s.GetService(), s.GetTargetVersion()), "")
	return m.accepted()
}

// maxWithdrawn bounds the versions of a service that are remembered; their upstreams end soon.
const maxWithdrawn = 16

// withdrawn versions of a service when the rollout of another one begins: those that
// no rollout has completed. The upstreams of the last one may still serve.
func withdrawn(before *pb.Rollout, next string) []string {
	out := slices.Clone(before.GetWithdrawn())
	if before != nil && before.GetPhase() != pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE {
		out = append(out, before.GetTargetVersion())
	}
	out = slices.DeleteFunc(out, func(v string) bool { return v == next })
	return out[max(0, len(out)-maxWithdrawn):]
}

// stepRollout applies a decision of the leader on top of the step that it was made on.
func (m *Machine) stepRollout(c *pb.Command, s *pb.StepRollout) *pb.CommandResult {
	r := m.plans.rollouts[s.GetService()]
	switch {
	case r == nil || r.GetSerial() != s.GetSerial():
		return invalid(problem("rollout/"+s.GetService(), "rollout %d does not exist", s.GetSerial()))
	case r.GetPhase() != pb.RolloutPhase_ROLLOUT_PHASE_RUNNING:
		return invalid(problem("rollout/"+s.GetService(), "has ended: %s", r.GetReason()))
	case s.GetStep() != r.GetStep()+1:
		return invalid(problem("rollout/"+s.GetService(), "step %d is not the next one after %d", s.GetStep(), r.GetStep()))
	}
	next := proto.CloneOf(r)
	next.Step, next.Phase, next.SharePermille, next.Reason = s.GetStep(), s.GetPhase(), s.GetSharePermille(), s.GetReason()
	m.plans.rollouts[s.GetService()] = next
	m.plans.changes++
	m.record(c, false, fmt.Sprintf("step %d of the rollout of %s: %d permille", s.GetStep(), s.GetService(), s.GetSharePermille()), s.GetReason())
	return m.accepted()
}

func (p *plans) sortedRollouts() []*pb.Rollout {
	return slices.SortedFunc(maps.Values(p.rollouts), func(a, b *pb.Rollout) int {
		return cmp.Compare(a.GetService(), b.GetService())
	})
}
