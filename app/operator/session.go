package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/core/query"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Exit statuses of the command line.
const (
	ExitOK = iota
	// ExitFailed means that no control host answered a query, that a command certainly did not
	// reach one, that a file to check could not be read, or that the output could not be written.
	ExitFailed
	ExitInvalid // the statement, the file or the settings are invalid, or a checked file has errors; nothing was sent
	// ExitRejected means that the command was not accepted: a conflict, an invalid command or no
	// majority of the control hosts. It also stands for a command id or move that is not known,
	// and for a watched move that ended without being completed.
	ExitRejected
	// ExitUnknown means that the command may have been accepted, or that a command id is not
	// known to a host that may lack newer changes.
	ExitUnknown
	ExitWarnings // a checked file has warnings and no errors
)

// Session runs the statements of one operator.
type Session struct {
	Client   *Client // nil: no control host is given, which only check permits
	Out      io.Writer
	JSON     bool
	Operator string
	MemoryMB int // memory of a host for check, in MB of 1,000,000 bytes; 0: not known
	// NextID returns a new command id.
	NextID func() string
	// Now returns the current time.
	Now func() time.Time
}

func (s *Session) printer() printer { return printer{out: s.Out, json: s.JSON} }

// Run parses and executes one statement and returns the exit status. The text of
// the error is meant for the operator.
func (s *Session) Run(ctx context.Context, text string) (int, error) {
	statement, err := query.Parse(text, s.Now())
	if err != nil {
		return ExitInvalid, err
	}
	switch {
	case statement.Check != nil:
		return s.check(ctx, statement.Check)
	case s.Client == nil:
		return ExitInvalid, ErrNoHosts
	case statement.Show != nil:
		return s.show(ctx, *statement.Show)
	case statement.Watch != nil:
		return s.watch(ctx, statement.Watch)
	case statement.Command != "":
		return s.lookup(ctx, statement.Command)
	default:
		return s.submit(ctx, statement, strings.TrimSpace(text))
	}
}

// exitStatus returns the exit status for an error, and the error.
func exitStatus(err error) (int, error) {
	if err != nil {
		return ExitFailed, err
	}
	return ExitOK, nil
}

func (s *Session) show(ctx context.Context, show query.Show) (int, error) {
	ask := s.Client.Query
	if show.View == query.ViewMembers || show.View == query.ViewMoves {
		ask = s.Client.QueryLeader
	}
	response, err := ask(ctx, &pb.QueryRequest{Subjects: subjects[show.View]})
	if err != nil {
		return ExitFailed, err
	}
	return exitStatus(s.printer().rows(show, rows(show, response, s.Now()), response.GetFreshness()))
}

// lookup prints the stored result of the command with the given id.
func (s *Session) lookup(ctx context.Context, id string) (int, error) {
	response, err := s.Client.Lookup(ctx, id)
	if err != nil {
		return ExitFailed, err
	}
	if !s.JSON {
		s.printer().freshness(response.GetFreshness())
	}
	if !response.GetFound() {
		if response.GetFreshness().GetConfirmed() {
			return ExitRejected, eris.Errorf("command %s is not known: it was not accepted in the last 24 hours", id)
		}
		return ExitUnknown, eris.Errorf("command %s is not known here, but newer changes may exist; ask again", id)
	}
	return s.report(response.GetResult())
}

// report prints the result of a command and returns the exit status for it.
func (s *Session) report(r *pb.CommandResult) (int, error) {
	if err := s.printer().result(r); err != nil {
		return ExitFailed, err
	}
	switch r.GetOutcome() {
	case pb.Outcome_OUTCOME_ACCEPTED:
		return ExitOK, nil
	case pb.Outcome_OUTCOME_CONFLICT, pb.Outcome_OUTCOME_INVALID, pb.Outcome_OUTCOME_UNAVAILABLE:
		return ExitRejected, nil
	default:
		return ExitUnknown, nil
	}
}

// submit sends the command of a statement and prints its result. text is the statement, without blanks around it.
func (s *Session) submit(ctx context.Context, statement *query.Statement, text string) (int, error) {
	command, err := s.buildCommand(statement)
	if err != nil {
		return ExitInvalid, err
	}
	result, err := s.Client.Submit(ctx, command)
	switch {
	case errors.Is(err, ErrOutcomeUnknown):
		return ExitUnknown, fmt.Errorf("%w; ask later with: command %s", err, command.GetCommandId())
	case err != nil:
		return ExitFailed, fmt.Errorf("nothing was sent: %w", err)
	}
	code, err := s.report(result)
	if statement.Evacuation != nil && len(result.GetProblems()) > 0 {
		s.printNote(query.Point(text, statement.Evacuation.Offset)) // problems of an evacuation are about its failure domain
	}
	return code, err
}

// buildCommand returns the command that a statement submits, with a new command id.
func (s *Session) buildCommand(statement *query.Statement) (*pb.Command, error) {
	c := &pb.Command{CommandId: s.NextID(), Operator: s.Operator, SubmittedUnixMs: s.Now().UnixMilli()}
	switch {
	case statement.Apply != nil:
		changes, err := ReadChanges(statement.Apply.File)
		if err != nil {
			return nil, err
		}
		c.ExpectedRevision = statement.Apply.Expected
		c.Command = &pb.Command_SubmitConfiguration{SubmitConfiguration: &pb.SubmitConfiguration{Changes: changes}}
	case statement.Start != nil:
		m := statement.Start
		c.Command = &pb.Command_StartMove{StartMove: &pb.StartMove{
			// With the command id, the move id is unique and known before the response arrives.
			MoveId: m.Service + "-" + c.GetCommandId(), Service: m.Service,
			OldVersion: m.OldVersion, NewVersion: m.NewVersion, DeadlineUnixMs: m.Deadline.UnixMilli(),
		}}
	case statement.Evacuation != nil:
		c.Command = &pb.Command_ChangeEvacuation{ChangeEvacuation: &pb.ChangeEvacuation{
			FailureDomain: statement.Evacuation.Domain, Active: statement.Evacuation.Active, // the control host adds the rest
		}}
	case statement.Change != nil:
		c.Command = &pb.Command_ChangeMove{ChangeMove: &pb.ChangeMove{MoveId: statement.Change.MoveID, Action: statement.Change.Action}}
	default:
		return nil, eris.New("the statement is no command")
	}
	return c, nil
}
