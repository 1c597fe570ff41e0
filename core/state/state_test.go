package state

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

type fixture struct {
	m     *Machine
	index uint64
	clock int64
}

func newFixture() *fixture { return &fixture{m: New(nil), clock: 1_000_000} }

func (f *fixture) apply(c *pb.Command) *pb.CommandResult {
	f.index++
	if c.SubmittedUnixMs == 0 {
		c.SubmittedUnixMs = f.clock
	}
	payload, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	return f.m.Apply(&pb.Entry{Index: f.index, Term: 1, Kind: pb.EntryKind_ENTRY_KIND_COMMAND, Payload: payload})
}

func putService(name, version string, uses ...string) *pb.Change {
	return &pb.Change{Change: &pb.Change_PutService{PutService: &pb.Service{
		Name: name, ActiveVersion: version, Uses: uses, Limits: &pb.Limits{Slots: 9},
	}}}
}

func putRoute(name, service string) *pb.Change {
	return &pb.Change{Change: &pb.Change_PutRoute{PutRoute: &pb.Route{Name: name, PathPrefix: "/" + name, Service: service}}}
}

func deleteService(name string) *pb.Change {
	return &pb.Change{Change: &pb.Change_DeleteService{DeleteService: name}}
}

func configure(id string, expected uint64, changes ...*pb.Change) *pb.Command {
	return &pb.Command{CommandId: id, Operator: "op-" + id, ExpectedRevision: expected, Command: &pb.Command_SubmitConfiguration{
		SubmitConfiguration: &pb.SubmitConfiguration{Changes: changes},
	}}
}

func startMove(id, move, service string) *pb.Command {
	return &pb.Command{CommandId: id, Operator: "op", Command: &pb.Command_StartMove{StartMove: &pb.StartMove{
		MoveId: move, Service: service, OldVersion: "v1", NewVersion: "v2", DeadlineUnixMs: 9_000_000,
	}}}
}

func changeMove(id, move string, a pb.MoveAction) *pb.Command {
	return &pb.Command{CommandId: id, Operator: "op", Command: &pb.Command_ChangeMove{ChangeMove: &pb.ChangeMove{MoveId: move, Action: a}}}
}

func stepMove(id, move string, step uint64, p pb.MovePhase, permille uint32) *pb.Command {
	return &pb.Command{CommandId: id, Operator: "rollout", Command: &pb.Command_StepMove{StepMove: &pb.StepMove{
		MoveId: move, Step: step, Phase: p, Domains: []*pb.DomainShare{{FailureDomain: "k1", NewPermille: permille}}, Reason: "evidence",
	}}}
}

// Guards against accepting two changes with the same expected revision, and
// against a conflict that does not name the accepted command.
func TestSameExpectedRevisionAcceptsOneChange(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	is.Equal(f.apply(configure("a", 1, putService("bookings", "v1"))).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	r := f.apply(configure("b", 1, putService("tills", "v1")))
	is.Equal(r.GetOutcome(), pb.Outcome_OUTCOME_CONFLICT)
	is.Equal([]any{r.GetWinnerCommandId(), r.GetWinnerOperator(), r.GetWinnerRevision()}, []any{"a", "op-a", uint64(2)})
	is.Equal(len(f.m.View().Configuration.GetServices()), 1)
	is.Equal(f.apply(configure("c", 3, putService("tills", "v1"))).GetOutcome(), pb.Outcome_OUTCOME_INVALID)
}

// Guards against rejected commands that change the state, and against rejections
// that do not name the invalid object.
func TestRejectedCommandsChangeNothing(t *testing.T) {
	setup := []*pb.Command{
		configure("s", 1, putService("bookings", "v1"), putService("tills", "v1", "bookings"), putService("idle", "v1"), putRoute("fares", "tills")),
		startMove("m", "m1", "idle"),
	}
	cases := []struct {
		name    string
		command *pb.Command
		subject string
	}{
		{"delete of a service that a service uses", configure("x", 2, deleteService("bookings")), "service/tills"},
		{"delete of a service that a route uses", configure("x", 2, deleteService("tills")), "route/fares"},
		{"delete of a service that a move uses", configure("x", 2, deleteService("idle")), "service/idle"},
		{"delete of an unknown service", configure("x", 2, deleteService("none")), "service/none"},
		{"dangling reference", configure("x", 2, putRoute("r", "none")), "route/r"},
		{"no change", configure("x", 2), "changes"},
		{"active version during a move", configure("x", 2, putService("idle", "v9")), "service/idle"},
		{"second move of the service", startMove("x", "m2", "idle"), "move/m2"},
		{"used move id", startMove("x", "m1", "tills"), "move/m1"},
		{"move of an unknown service", startMove("x", "m2", "none"), "move/m2"},
		{"step that is not the next one", stepMove("x", "m1", 2, pb.MovePhase_MOVE_PHASE_RUNNING, 10), "move/m1"},
		{"step that was applied before", stepMove("x", "m1", 0, pb.MovePhase_MOVE_PHASE_RUNNING, 10), "move/m1"},
		{"share above 1000 permille", stepMove("x", "m1", 1, pb.MovePhase_MOVE_PHASE_RUNNING, 1001), "move/m1"},
		{"resume of a move that is not held", changeMove("x", "m1", pb.MoveAction_MOVE_ACTION_RESUME), "move/m1"},
		{"change of an unknown move", changeMove("x", "m7", pb.MoveAction_MOVE_ACTION_HOLD), "move/m7"},
		{"no command id", &pb.Command{}, "command_id"},
		{"no content", &pb.Command{CommandId: "x"}, "command"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			for _, s := range setup {
				is.Equal(f.apply(proto.CloneOf(s)).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
			}
			before := f.m.View()
			r := f.apply(c.command)
			is.Equal(r.GetOutcome(), pb.Outcome_OUTCOME_INVALID)
			is.Equal(r.GetProblems()[0].GetSubject(), c.subject)
			is.True(proto.Equal(before.Configuration, f.m.View().Configuration))
			is.Equal(len(before.History), len(f.m.View().History))
			is.True(proto.Equal(before.Moves[0], f.m.View().Moves[0]))
		})
	}
}

// Guards against a move whose shares, phase or active version do not match its
// steps, and against a conflict of an operator's change with the step of a move.
func TestMoveFromStartToEnd(t *testing.T) {
	cases := []struct {
		name   string
		last   *pb.Command
		phase  pb.MovePhase
		active string
		share  uint32
	}{
		{"done", stepMove("e", "m1", 3, pb.MovePhase_MOVE_PHASE_DONE, 1000), pb.MovePhase_MOVE_PHASE_DONE, "v2", 1000},
		{"rolled back", stepMove("e", "m1", 3, pb.MovePhase_MOVE_PHASE_ROLLED_BACK, 500), pb.MovePhase_MOVE_PHASE_ROLLED_BACK, "v1", 0},
		{"stopped", changeMove("e", "m1", pb.MoveAction_MOVE_ACTION_STOP), pb.MovePhase_MOVE_PHASE_STOPPED, "v1", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.apply(configure("s", 1, putService("bookings", "v1")))
			r := f.apply(startMove("m", "m1", "bookings"))
			is.Equal([]any{r.GetMoveId(), r.GetRevision()}, []any{"m1", uint64(3)})
			f.apply(stepMove("1", "m1", 1, pb.MovePhase_MOVE_PHASE_RUNNING, 500))
			is.Equal(f.m.View().Configuration.GetShares()[0].GetDomains()[0].GetNewPermille(), uint32(500))
			is.Equal(f.apply(configure("c", 2, putService("tills", "v1"))).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
			f.apply(changeMove("h", "m1", pb.MoveAction_MOVE_ACTION_HOLD))
			is.Equal(f.m.View().Moves[0].GetStep(), uint64(2))
			is.Equal(f.apply(c.last).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
			v := f.m.View()
			is.Equal(v.Configuration.GetServices()[0].GetActiveVersion(), c.active)
			is.Equal(v.Configuration.GetShares()[0].GetPhase(), c.phase)
			is.Equal(v.Configuration.GetShares()[0].GetDomains()[0].GetNewPermille(), c.share)
			is.Equal(v.Configuration.GetRevision(), uint64(7))
			is.Equal(f.apply(stepMove("late", "m1", 4, pb.MovePhase_MOVE_PHASE_RUNNING, 900)).GetOutcome(), pb.Outcome_OUTCOME_INVALID)
			is.Equal(len(config.Validate(v.Configuration)), 0)
		})
	}
}

// Guards against results that accumulate without bound or expire early.
func TestResultsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.apply(configure("first", 1, putService("bookings", "v1")))
	for i := range MaxResults - 1 {
		f.apply(changeMove(fmt.Sprint("c", i), "none", pb.MoveAction_MOVE_ACTION_HOLD))
	}
	is.True(f.m.Result("first") != nil)
	f.apply(changeMove("one more", "none", pb.MoveAction_MOVE_ACTION_HOLD))
	is.True(f.m.Result("first") == nil)
	is.True(f.m.Result("c0") != nil)
	f.clock += ResultRetentionMs
	f.apply(changeMove("after a day", "none", pb.MoveAction_MOVE_ACTION_HOLD))
	is.True(f.m.Result("c9") != nil)
	f.clock++
	f.apply(changeMove("later", "none", pb.MoveAction_MOVE_ACTION_HOLD))
	is.True(f.m.Result("c9") == nil)
	is.True(f.m.Result("after a day") != nil)
}

// drawCommand draws commands that often have the same id, revision, service or move.
func drawCommand(t *rapid.T, f *fixture) *pb.Command {
	id := fmt.Sprint("c", rapid.IntRange(0, 60).Draw(t, "id"))
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
	move := rapid.SampledFrom([]string{"m1", "m2", "m3"}).Draw(t, "move")
	expected := f.m.Revision() - uint64(rapid.IntRange(0, int(min(2, f.m.Revision()))).Draw(t, "behind"))
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0:
		return configure(id, expected, putRoute("r"+name, name))
	case 1:
		return configure(id, expected, deleteService(name))
	case 2:
		return startMove(id, move, name)
	case 3:
		return changeMove(id, move, pb.MoveAction(rapid.IntRange(1, 3).Draw(t, "action")))
	case 4:
		return stepMove(id, move, uint64(rapid.IntRange(0, 4).Draw(t, "step")), pb.MovePhase(rapid.IntRange(1, 6).Draw(t, "phase")), 100)
	default:
		return configure(id, expected, putService(name, rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")))
	}
}

// Guards against a resent command that runs again or gets another result, also
// after a restart from a snapshot; a state that depends on anything but the log
// entries; accepting an invalid configuration; accepting two changes with the
// same expected revision; a revision that does not grow by one per accepted command.
func TestAnyCommandSequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		replica := newFixture()
		first := make(map[string]*pb.CommandResult)
		winners := make(map[uint64]string)
		for range rapid.IntRange(1, 80).Draw(t, "commands") {
			c := drawCommand(t, f)
			before := f.m.Revision()
			replica.apply(proto.CloneOf(c))
			r := f.apply(c)
			if known := first[c.GetCommandId()]; known != nil {
				if !proto.Equal(known, r) || f.m.Revision() != before {
					t.Fatalf("resent %s: %v, first %v", c.GetCommandId(), r, known)
				}
				continue
			}
			first[c.GetCommandId()] = proto.CloneOf(r)
			accepted := r.GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED
			if grown := f.m.Revision() - before; accepted != (grown == 1) || grown > 1 {
				t.Fatalf("%v changed the revision from %d to %d", r, before, f.m.Revision())
			}
			if accepted && c.GetSubmitConfiguration() != nil {
				if other, ok := winners[c.GetExpectedRevision()]; ok {
					t.Fatalf("%s and %s were both accepted with revision %d", other, c.GetCommandId(), c.GetExpectedRevision())
				}
				winners[c.GetExpectedRevision()] = c.GetCommandId()
			}
			if r.GetOutcome() == pb.Outcome_OUTCOME_CONFLICT && r.GetWinnerRevision() <= c.GetExpectedRevision() {
				t.Fatalf("the conflict does not name the accepted command: %v", r)
			}
			if p := config.Validate(f.m.View().Configuration); len(p) > 0 {
				t.Fatalf("accepted an invalid configuration: %v", p)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				data, err := f.m.Encode()
				if err != nil {
					t.Fatal(err)
				}
				if f.m, err = Decode(data); err != nil {
					t.Fatal(err)
				}
			}
		}
		a, _ := f.m.Encode()
		b, _ := replica.m.Encode()
		if !slices.Equal(a, b) {
			t.Fatal("two hosts with the same log entries have different states")
		}
	})
}
