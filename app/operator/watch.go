package operator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/move"
	"github.com/rattanfield/rattanfield/core/query"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// watchWait is how long a control host delays the response to a query while nothing changes.
	watchWait = 2 * time.Second
	// watchPause is the delay before the next query after an error, or after a response
	// without a change that came sooner than this.
	watchPause = time.Second
)

// watch prints the changes of a view, or of one move until that ends.
func (s *Session) watch(ctx context.Context, w *query.Watch) (int, error) {
	if w.MoveID != "" || w.Show.View == query.ViewMoves {
		return s.watchMoves(ctx, w)
	}
	var last string
	return s.follow(ctx, subjects[w.Show.View], func(response *pb.QueryResponse) (bool, int, error) {
		found := rows(w.Show, response, s.Now())
		if now := fmt.Sprint(cellsOfRows(found)); now == last {
			return false, ExitOK, nil
		} else {
			last = now
		}
		code, err := exitStatus(s.printer().rows(w.Show, found, response.GetFreshness()))
		return err != nil, code, err
	})
}

func cellsOfRows(rows []row) []map[string]string {
	out := make([]map[string]string, len(rows))
	for i, r := range rows {
		out[i] = r.cells
	}
	return out
}

// follow repeats a query until handle reports done or the context ends. After a
// failed query it prints one note and continues, so that a watch survives a
// change of the leader.
func (s *Session) follow(ctx context.Context, subjects []pb.Subject, handle func(*pb.QueryResponse) (done bool, code int, err error)) (int, error) {
	request := &pb.QueryRequest{Subjects: subjects, WaitMs: uint32(watchWait.Milliseconds())}
	interrupted, unconfirmed := false, false
	for ctx.Err() == nil {
		asked := time.Now()
		response, err := s.Client.Query(ctx, request)
		if err != nil {
			if ctx.Err() == nil && !interrupted {
				s.printNote("no control host answers; still trying")
			}
			interrupted = true
			lifecycle.Pause(ctx, watchPause)
			continue
		}
		interrupted = false
		if f := response.GetFreshness(); f.GetConfirmed() == unconfirmed {
			unconfirmed = !f.GetConfirmed()
			if !s.JSON {
				s.printer().freshness(f)
			}
		}
		if done, code, err := handle(response); done {
			return code, err
		}
		if request.HaveRevision == response.GetFreshness().GetRevision() && time.Since(asked) < watchPause {
			lifecycle.Pause(ctx, watchPause)
		}
		request.HaveRevision = response.GetFreshness().GetRevision()
	}
	return ExitOK, nil
}

// printNote prints a remark, except in JSON output.
func (s *Session) printNote(text string) {
	if !s.JSON {
		_, _ = fmt.Fprintln(s.Out, text)
	}
}

// watchMoves prints each step of the moves once. For `watch move` it returns when
// the move ends; the exit status is ExitRejected when the move was not completed.
func (s *Session) watchMoves(ctx context.Context, w *query.Watch) (int, error) {
	steps := make(map[string]string)
	first := true
	return s.follow(ctx, []pb.Subject{pb.Subject_SUBJECT_MOVES}, func(response *pb.QueryResponse) (bool, int, error) {
		moves := slices.Clone(response.GetMoves())
		if w.MoveID != "" {
			moves = slices.DeleteFunc(moves, func(m *pb.Move) bool { return m.GetMoveId() != w.MoveID })
			if len(moves) == 0 && response.GetFreshness().GetConfirmed() {
				return true, ExitRejected, eris.Errorf("move %s is not known", w.MoveID)
			}
		}
		for _, r := range moveRows(moves) {
			m := r.message.(*pb.Move)
			state := fmt.Sprint(m.GetStep(), m.GetPhase())
			// Moves that had ended before the watch started are not printed.
			endedBefore := first && w.MoveID == "" && move.Ended(m.GetPhase())
			if steps[m.GetMoveId()] == state || !w.Show.Matches(r.cells) {
				continue
			}
			steps[m.GetMoveId()] = state
			if !endedBefore {
				if err := s.printMove(m); err != nil {
					return true, ExitFailed, err
				}
			}
			if w.MoveID != "" && move.Ended(m.GetPhase()) {
				if m.GetPhase() == pb.MovePhase_MOVE_PHASE_DONE {
					return true, ExitOK, nil
				}
				return true, ExitRejected, nil
			}
		}
		first = false
		return false, ExitOK, nil
	})
}

func (s *Session) printMove(m *pb.Move) error {
	if s.JSON {
		b, err := marshal(m)
		if err != nil {
			return err
		}
		return s.printer().object(map[string]any{"move": b}, nil)
	}
	_, err := fmt.Fprintf(s.Out, "%s  %s: %s\n", time.UnixMilli(m.GetChangedUnixMs()).Local().Format(time.TimeOnly), m.GetMoveId(), describeMove(m))
	return err
}

// describeMove describes the state of a move for the operator.
func describeMove(m *pb.Move) string {
	versions := fmt.Sprintf("%s from %s to %s", m.GetService(), m.GetOldVersion(), m.GetNewVersion())
	switch m.GetPhase() {
	case pb.MovePhase_MOVE_PHASE_DONE:
		return fmt.Sprintf("DONE: %s. All calls go to %s.", versions, m.GetNewVersion())
	case pb.MovePhase_MOVE_PHASE_ROLLED_BACK:
		return fmt.Sprintf("ROLLED BACK: %s. All calls go to %s again. Reason: %s", versions, m.GetOldVersion(), m.GetReason())
	case pb.MovePhase_MOVE_PHASE_STOPPED:
		return fmt.Sprintf("STOPPED by an operator: %s. All calls go to %s again.", versions, m.GetOldVersion())
	case pb.MovePhase_MOVE_PHASE_HELD:
		return fmt.Sprintf("HELD at %.1f%%: %s. %s", sharePercent(m), versions, m.GetReason())
	default:
		return fmt.Sprintf("%.1f%% of %s. %s", sharePercent(m), versions, m.GetReason())
	}
}
