package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// maxAcceptedPlans bounds the number of accepted plans that are remembered to
// acknowledge a plan that is sent again.
const maxAcceptedPlans = 4096

// plans holds the routing plan, which operators replace as a whole, the
// rollouts and the evacuations. A plan has two numbers: its Number is chosen by the operator and grows
// in uneven steps, its Serial is the number of plans accepted so far.
type plans struct {
	current       *pb.StoredPlan
	accepted      []*pb.AcceptedPlan // oldest first, in ascending order of numbers
	rollouts      map[string]*pb.Rollout
	orders        []*pb.RolloutOrder // accepted in the last orderMemoryMs, oldest first
	rolloutSerial uint64             // serial of the newest rollout, counted over all services
	changes       uint64             // number of accepted changes to the plan, to any rollout or to any evacuation

	evacuations      map[string]*pb.Evacuation // newest order by failure domain
	evacuationSerial uint64                    // serial of the newest order, counted over all failure domains
}

// replacePlan accepts a plan that is based on the current one. A plan that was
// accepted before is acknowledged again, even when newer plans replaced it. A plan
// has no revision, so a conflict names the Number of the current plan in
// WinnerRevision.
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

// Limits of the accepted orders of rollouts that are remembered. Operators send an order again for at most 4 s, and the
// submission times of two leaders differ by up to 5 s.
const (
	orderMemoryMs = 10_000
	maxOrders     = 256
)

// startRollout starts a rollout. When the last rollout of the service has the
// same target version, or when the same order was accepted lately, the command is
// accepted and changes nothing: it was sent again, and newer orders stay in force.
// An order that was received before the newest rollout was known is rejected.
func (m *Machine) startRollout(c *pb.Command, s *pb.StartRollout) *pb.CommandResult {
	if s.GetService() == "" || s.GetTargetVersion() == "" || s.GetDurationMs() == 0 {
		return invalid(problem("rollout", "service, target version and duration must be set"))
	}
	previous := m.plans.rollouts[s.GetService()]
	if previous != nil && previous.GetTargetVersion() == s.GetTargetVersion() {
		return m.accepted()
	}
	if m.acceptedLately(s) {
		return m.accepted()
	}
	if s.BaseSerial != nil && s.GetBaseSerial() != previous.GetSerial() {
		return &pb.CommandResult{
			Outcome: pb.Outcome_OUTCOME_CONFLICT, Revision: m.Revision(),
			Message: fmt.Sprintf("based on rollout %d of %s, the newest one is %d", s.GetBaseSerial(), s.GetService(), previous.GetSerial()),
		}
	}
	m.plans.orders = append(m.plans.orders, &pb.RolloutOrder{
		Service: s.GetService(), TargetVersion: s.GetTargetVersion(), DurationMs: s.GetDurationMs(), AcceptedUnixMs: m.clock,
	})
	m.plans.rolloutSerial++
	m.plans.rollouts[s.GetService()] = &pb.Rollout{
		Service: s.GetService(), TargetVersion: s.GetTargetVersion(), DurationMs: s.GetDurationMs(),
		StartedUnixMs: m.clock, Phase: pb.RolloutPhase_ROLLOUT_PHASE_RUNNING, Reason: "started", Serial: m.plans.rolloutSerial,
		Withdrawn: withdrawnVersions(previous, s.GetTargetVersion()),
	}
	m.plans.changes++
	m.record(c, false, fmt.Sprintf("start rollout of %s to %s", s.GetService(), s.GetTargetVersion()), "")
	return m.accepted()
}

// acceptedLately reports whether the same order was accepted in the last orderMemoryMs.
func (m *Machine) acceptedLately(s *pb.StartRollout) bool {
	p := &m.plans
	p.orders = slices.DeleteFunc(slices.Clone(p.orders), func(o *pb.RolloutOrder) bool { return o.GetAcceptedUnixMs() < m.clock-orderMemoryMs })
	p.orders = p.orders[max(0, len(p.orders)-maxOrders):]
	return slices.ContainsFunc(p.orders, func(o *pb.RolloutOrder) bool {
		return o.GetService() == s.GetService() && o.GetTargetVersion() == s.GetTargetVersion() && o.GetDurationMs() == s.GetDurationMs()
	})
}

// maxWithdrawn bounds the withdrawn versions that are stored per service. Older
// ones can be dropped because their upstreams stop soon.
const maxWithdrawn = 16

// withdrawnVersions returns the withdrawn versions of a service when a rollout to
// the target version starts: the other versions whose rollouts did not complete.
// Their upstreams may still run, so the rollout must know them: they get no
// requests, and what they answer does not count as the old version.
func withdrawnVersions(previous *pb.Rollout, target string) []string {
	out := slices.Clone(previous.GetWithdrawn())
	if previous != nil && previous.GetPhase() != pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE {
		out = append(out, previous.GetTargetVersion())
	}
	out = slices.DeleteFunc(out, func(v string) bool { return v == target })
	return out[max(0, len(out)-maxWithdrawn):]
}

// stepRollout applies a decision of the leader. It rejects one that was not made
// on the current step of a running rollout.
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
