package state

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func planCommand(id string, base, number, digest uint64) *pb.Command {
	return &pb.Command{CommandId: id, Command: &pb.Command_ReplacePlan{ReplacePlan: &pb.ReplacePlan{
		BaseNumber: base, Number: number, Digest: digest, Payload: fmt.Appendf(nil, "%d/%d", number, digest),
	}}}
}

func rolloutCommand(id, service, version string) *pb.Command {
	return &pb.Command{CommandId: id, SubmittedUnixMs: 1, Command: &pb.Command_StartRollout{StartRollout: &pb.StartRollout{
		Service: service, TargetVersion: version, DurationMs: 1000,
	}}}
}

// Guards against accepting two plans with the same base, rejecting an accepted
// plan that is sent again, and plan numbers that decrease.
func TestPlansFormOneChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(nil)
		type replacement struct{ base, number, digest uint64 }
		var sent []replacement
		acknowledged := make(map[replacement]bool)
		winners := make(map[uint64]replacement)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			var s replacement
			if len(sent) > 0 && rapid.Bool().Draw(t, "resend") {
				s = rapid.SampledFrom(sent).Draw(t, "earlier")
			} else {
				s = replacement{
					base: rapid.Uint64Range(0, 8).Draw(t, "base"), number: rapid.Uint64Range(0, 12).Draw(t, "number"),
					digest: rapid.Uint64Range(1, 3).Draw(t, "digest"),
				}
				sent = append(sent, s)
			}
			before := m.plans.current
			r := m.applyCommand(planCommand(fmt.Sprint(i), s.base, s.number, s.digest))
			ok := r.GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED
			if acknowledged[s] && !ok {
				t.Fatalf("%+v was acknowledged, then %v", s, r)
			}
			if ok && m.plans.current != before {
				if w, found := winners[s.base]; found {
					t.Fatalf("%+v and %+v were both accepted", w, s)
				}
				winners[s.base] = s
				if s.base != before.GetNumber() || s.number <= before.GetNumber() || m.plans.current.GetSerial() != before.GetSerial()+1 {
					t.Fatalf("%+v was accepted on plan %d", s, before.GetNumber())
				}
			}
			if !ok && m.plans.current != before {
				t.Fatalf("%+v was rejected but is in force", s)
			}
			acknowledged[s] = acknowledged[s] || ok
		}
	})
}

// Guards against a snapshot that loses the plan, the accepted plans or the rollouts.
func TestSnapshotKeepsPlans(t *testing.T) {
	is := is.New(t)
	m := New(nil)
	is.Equal(m.applyCommand(planCommand("1", 0, 4, 1)).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	is.Equal(m.applyCommand(planCommand("2", 4, 9, 1)).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	is.Equal(m.applyCommand(rolloutCommand("3", "a", "v2")).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	data, err := m.Encode()
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.True(proto.Equal(got.plans.current, m.plans.current))
	is.True(proto.Equal(got.plans.rollouts["a"], m.plans.rollouts["a"]))
	is.Equal(got.applyCommand(planCommand("4", 0, 4, 1)).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED) // sent again
	is.Equal(got.plans.current.GetNumber(), uint64(9))
}

// Guards against applying a decision that was made on an older step or on an ended rollout.
func TestRolloutStepsInOrder(t *testing.T) {
	is := is.New(t)
	m := New(nil)
	m.applyCommand(rolloutCommand("1", "a", "v2"))
	step := func(id string, step uint64, phase pb.RolloutPhase) pb.Outcome {
		return m.applyCommand(&pb.Command{CommandId: id, Command: &pb.Command_StepRollout{StepRollout: &pb.StepRollout{
			Service: "a", Serial: 1, Step: step, Phase: phase, SharePermille: 100,
		}}}).GetOutcome()
	}
	is.Equal(step("2", 2, pb.RolloutPhase_ROLLOUT_PHASE_RUNNING), pb.Outcome_OUTCOME_INVALID)
	is.Equal(step("3", 1, pb.RolloutPhase_ROLLOUT_PHASE_RUNNING), pb.Outcome_OUTCOME_ACCEPTED)
	is.Equal(step("4", 2, pb.RolloutPhase_ROLLOUT_PHASE_REVERTED), pb.Outcome_OUTCOME_ACCEPTED)
	is.Equal(step("5", 3, pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE), pb.Outcome_OUTCOME_INVALID)
	is.Equal(m.applyCommand(rolloutCommand("6", "a", "v2")).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED) // sent again
	is.Equal(m.plans.rollouts["a"].GetPhase(), pb.RolloutPhase_ROLLOUT_PHASE_REVERTED)
	is.Equal(m.applyCommand(rolloutCommand("7", "a", "v3")).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	is.Equal(m.plans.rollouts["a"].GetSerial(), uint64(2))
}

// Guards against treating a version as the old one of a rollout although it was
// reverted or replaced before its own rollout completed.
func TestUnfinishedVersionsStayWithdrawn(t *testing.T) {
	is := is.New(t)
	m := New(nil)
	started := 0
	start := func(version string) *pb.Rollout {
		started++
		c := rolloutCommand(strconv.Itoa(started), "a", version)
		c.SubmittedUnixMs = int64(started) * 2 * orderMemoryMs // a new order, not one that is sent again
		is.Equal(m.applyCommand(c).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
		return m.plans.rollouts["a"]
	}
	end := func(phase pb.RolloutPhase) {
		r := m.plans.rollouts["a"]
		is.Equal(m.applyCommand(&pb.Command{CommandId: "end " + r.GetTargetVersion(), Command: &pb.Command_StepRollout{StepRollout: &pb.StepRollout{
			Service: "a", Serial: r.GetSerial(), Step: r.GetStep() + 1, Phase: phase,
		}}}).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	}
	is.Equal(len(start("v2").GetWithdrawn()), 0)
	end(pb.RolloutPhase_ROLLOUT_PHASE_REVERTED)
	is.Equal(start("v3").GetWithdrawn(), []string{"v2"})
	is.Equal(start("v4").GetWithdrawn(), []string{"v2", "v3"}) // v3 was still running
	end(pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE)
	is.Equal(start("v5").GetWithdrawn(), []string{"v2", "v3"}) // v4 completed its rollout
	end(pb.RolloutPhase_ROLLOUT_PHASE_REVERTED)
	is.Equal(start("v3").GetWithdrawn(), []string{"v2", "v5"}) // v3 is rolled out again
}

// Guards against a rollout that is undone by an earlier order that is sent again after its acknowledgement was lost.
func TestRepeatedOrderDoesNotUndoLaterRollout(t *testing.T) {
	is := is.New(t)
	m := New(nil)
	order := func(version string, at int64) (pb.Outcome, string) {
		c := rolloutCommand(fmt.Sprint(version, at), "a", version)
		c.SubmittedUnixMs = at
		outcome := m.applyCommand(c).GetOutcome()
		return outcome, m.plans.rollouts["a"].GetTargetVersion()
	}
	const start = 1_000_000
	for _, o := range []struct {
		version string
		at      int64
		target  string
	}{
		{"v2", start, "v2"},
		{"v3", start + 2800, "v3"},
		{"v2", start + 4000, "v3"},                       // sent again
		{"v2", start + orderMemoryMs, "v3"},              // sent again; the clock of another leader is ahead
		{"v2", start + 2800 + 2*orderMemoryMs, "v2"},     // a new order
		{"v3", start + 2800 + 2*orderMemoryMs + 1, "v3"}, // a new order
	} {
		outcome, target := order(o.version, o.at)
		is.Equal(outcome, pb.Outcome_OUTCOME_ACCEPTED)
		is.Equal(target, o.target)
	}
	data, err := m.Encode()
	is.NoErr(err)
	m, err = Decode(data)
	is.NoErr(err)
	_, target := order("v2", start+2800+2*orderMemoryMs+2)
	is.Equal(target, "v3") // a snapshot keeps the accepted orders
}

// Guards against an order that a host received before a later one was accepted, and that it submits after it.
func TestOrderOnAnOlderRolloutIsRejected(t *testing.T) {
	is := is.New(t)
	m := New(nil)
	order := func(version string, base uint64) pb.Outcome {
		c := rolloutCommand(fmt.Sprint(version, base), "a", version)
		c.GetStartRollout().BaseSerial = &base
		return m.applyCommand(c).GetOutcome()
	}
	is.Equal(order("v2", 0), pb.Outcome_OUTCOME_ACCEPTED)
	is.Equal(order("v3", 1), pb.Outcome_OUTCOME_ACCEPTED)
	is.Equal(order("v4", 1), pb.Outcome_OUTCOME_CONFLICT)
	is.Equal(order("v4", 0), pb.Outcome_OUTCOME_CONFLICT)
	is.Equal(m.plans.rollouts["a"].GetTargetVersion(), "v3")
	is.Equal(order("v3", 1), pb.Outcome_OUTCOME_ACCEPTED) // sent again
	is.Equal(order("v4", 2), pb.Outcome_OUTCOME_ACCEPTED)
}
