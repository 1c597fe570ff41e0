package state

import (
	"fmt"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func problem(subject, format string, args ...any) *pb.Problem {
	return &pb.Problem{Subject: subject, Message: fmt.Sprintf(format, args...)}
}

func invalid(problems ...*pb.Problem) *pb.CommandResult {
	r := &pb.CommandResult{Outcome: pb.Outcome_OUTCOME_INVALID, Problems: problems}
	if len(problems) > 0 {
		r.Message = problems[0].GetSubject() + ": " + problems[0].GetMessage()
	}
	return r
}

func (m *Machine) accepted() *pb.CommandResult {
	return &pb.CommandResult{Outcome: pb.Outcome_OUTCOME_ACCEPTED, Revision: m.Revision()}
}

// checkExpected returns nil when services and routes are unchanged since the
// expected revision. The steps of a move also create revisions, but they do not
// invalidate what an operator has read, so they cause no conflict.
func (m *Machine) checkExpected(expected uint64) *pb.CommandResult {
	if expected > m.Revision() {
		return invalid(problem("expected_revision", "revision %d does not exist, the current one is %d", expected, m.Revision()))
	}
	if expected >= m.configurationRevision {
		return nil
	}
	r := &pb.CommandResult{
		Outcome: pb.Outcome_OUTCOME_CONFLICT, Revision: m.Revision(),
		Message: fmt.Sprintf("based on revision %d, the current one is %d", expected, m.Revision()),
	}
	for _, d := range m.history {
		if d.GetConfiguration() && d.GetRevision() > expected {
			r.WinnerCommandId, r.WinnerOperator, r.WinnerRevision = d.GetCommandId(), d.GetOperator(), d.GetRevision()
			break
		}
	}
	return r
}
