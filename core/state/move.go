package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Ended reports whether a move in phase p has ended.
func Ended(p pb.MovePhase) bool {
	return p == pb.MovePhase_MOVE_PHASE_DONE || p == pb.MovePhase_MOVE_PHASE_ROLLED_BACK ||
		p == pb.MovePhase_MOVE_PHASE_STOPPED
}

func (m *Machine) runningMove(service string) *pb.Move {
	for _, mv := range m.moves {
		if mv.GetService() == service && !Ended(mv.GetPhase()) {
			return mv // a service has at most one running move
		}
	}
	return nil
}

// checkMoveRevision is checkExpected for move commands, where an expected
// revision of 0 stands for the current one.
func (m *Machine) checkMoveRevision(c *pb.Command) *pb.CommandResult {
	if c.GetExpectedRevision() == 0 {
		return nil
	}
	return m.checkExpected(c.GetExpectedRevision())
}

func (m *Machine) startMove(c *pb.Command, s *pb.StartMove) *pb.CommandResult {
	if r := m.checkMoveRevision(c); r != nil {
		return r
	}
	id := s.GetMoveId()
	if id == "" {
		id = fmt.Sprintf("move-%d", m.Revision()+1)
	}
	if p := m.checkStart(id, s); p != nil {
		return invalid(p)
	}
	mv := &pb.Move{
		MoveId: id, Service: s.GetService(), OldVersion: s.GetOldVersion(), NewVersion: s.GetNewVersion(),
		DeadlineUnixMs: s.GetDeadlineUnixMs(), StartedUnixMs: m.clock, MaxPermille: s.GetMaxPermille(),
		Phase: pb.MovePhase_MOVE_PHASE_RUNNING, Reason: "started", Operator: c.GetOperator(),
	}
	m.storeMove(mv)
	m.pruneMoves()
	m.record(c, false, fmt.Sprintf("start move %s of %s from %s to %s", id, mv.GetService(), mv.GetOldVersion(), mv.GetNewVersion()), "")
	return m.moveResult(id)
}

func (m *Machine) checkStart(id string, s *pb.StartMove) *pb.Problem {
	subject := "move/" + id
	svc := m.service(s.GetService())
	switch {
	case len(id) > maxIDLength:
		return problem("move_id", "must have at most %d characters", maxIDLength)
	case m.moves[id] != nil:
		return problem(subject, "the id is used")
	case svc == nil:
		return problem(subject, "service %q does not exist", s.GetService())
	case m.runningMove(s.GetService()) != nil:
		return problem(subject, "move %s of service %q runs", m.runningMove(s.GetService()).GetMoveId(), s.GetService())
	case s.GetNewVersion() == "" || s.GetNewVersion() == s.GetOldVersion():
		return problem(subject, "the new version must be set and differ from the old one")
	case svc.GetActiveVersion() != s.GetOldVersion():
		return problem(subject, "the old version is %q, the service's active version is %q", s.GetOldVersion(), svc.GetActiveVersion())
	case s.GetMaxPermille() > config.MaxPermille:
		return problem(subject, "max_permille is at most %d", config.MaxPermille)
	case s.GetDeadlineUnixMs() <= m.clock:
		return problem(subject, "the deadline has passed")
	}
	return nil
}

func (m *Machine) changeMove(c *pb.Command, s *pb.ChangeMove) *pb.CommandResult {
	if r := m.checkMoveRevision(c); r != nil {
		return r
	}
	mv := m.moves[s.GetMoveId()]
	if mv == nil {
		return invalid(problem("move/"+s.GetMoveId(), "does not exist"))
	}
	next, verb := pb.MovePhase_MOVE_PHASE_UNSPECIFIED, ""
	switch s.GetAction() {
	case pb.MoveAction_MOVE_ACTION_HOLD:
		next, verb = pb.MovePhase_MOVE_PHASE_HELD, "hold"
	case pb.MoveAction_MOVE_ACTION_RESUME:
		next, verb = pb.MovePhase_MOVE_PHASE_RUNNING, "resume"
		if isFullyMoved(mv.GetDomains()) {
			next = pb.MovePhase_MOVE_PHASE_WATCHING
		}
	case pb.MoveAction_MOVE_ACTION_STOP:
		next, verb = pb.MovePhase_MOVE_PHASE_STOPPED, "stop"
	default:
		return invalid(problem("move/"+s.GetMoveId(), "the action is missing"))
	}
	if Ended(mv.GetPhase()) {
		return invalid(problem("move/"+s.GetMoveId(), "has ended: %s", mv.GetReason()))
	}
	if s.GetAction() == pb.MoveAction_MOVE_ACTION_RESUME && mv.GetPhase() != pb.MovePhase_MOVE_PHASE_HELD {
		return invalid(problem("move/"+s.GetMoveId(), "is not held"))
	}
	mv = proto.Clone(mv).(*pb.Move)
	mv.Phase, mv.Reason = next, verb+" by "+c.GetOperator()
	mv.Step++
	if next == pb.MovePhase_MOVE_PHASE_STOPPED {
		mv.Domains = zeroShares(mv.GetDomains())
	}
	m.storeMove(mv)
	m.record(c, false, verb+" move "+mv.GetMoveId(), "")
	return m.moveResult(mv.GetMoveId())
}

func (m *Machine) stepMove(c *pb.Command, s *pb.StepMove) *pb.CommandResult {
	mv := m.moves[s.GetMoveId()]
	if mv == nil {
		return invalid(problem("move/"+s.GetMoveId(), "does not exist"))
	}
	if p := checkStep(mv, s); p != nil {
		return invalid(p)
	}
	mv = proto.Clone(mv).(*pb.Move)
	mv.Step, mv.Phase, mv.Domains, mv.Reason = s.GetStep(), s.GetPhase(), s.GetDomains(), s.GetReason()
	mv.Evidence = s.GetEvidence()[:min(len(s.GetEvidence()), maxEvidenceRows)]
	if s.GetPhase() == pb.MovePhase_MOVE_PHASE_ROLLED_BACK || s.GetPhase() == pb.MovePhase_MOVE_PHASE_STOPPED {
		mv.Domains = zeroShares(mv.GetDomains())
	}
	m.storeMove(mv)
	m.record(c, false, fmt.Sprintf("step %d of move %s: %s", mv.GetStep(), mv.GetMoveId(), phaseName(mv.GetPhase())), mv.GetReason())
	return m.moveResult(mv.GetMoveId())
}

func checkStep(mv *pb.Move, s *pb.StepMove) *pb.Problem {
	subject := "move/" + mv.GetMoveId()
	switch {
	case Ended(mv.GetPhase()):
		return problem(subject, "has ended: %s", mv.GetReason())
	case s.GetStep() != mv.GetStep()+1:
		return problem(subject, "step %d is not the next one after %d", s.GetStep(), mv.GetStep())
	case s.GetPhase() == pb.MovePhase_MOVE_PHASE_UNSPECIFIED:
		return problem(subject, "the phase of the step is missing")
	}
	for _, d := range s.GetDomains() {
		if d.GetNewPermille() > config.MaxPermille {
			return problem(subject, "share of %s is %d, at most %d is allowed", d.GetFailureDomain(), d.GetNewPermille(), config.MaxPermille)
		}
	}
	return nil
}

// storeMove stores a move and writes its shares to the configuration at a new
// revision. When the move is done, its new version becomes the active version.
func (m *Machine) storeMove(mv *pb.Move) {
	mv.ChangedUnixMs = m.clock
	m.moves[mv.GetMoveId()] = mv
	next := config.ApplyShares(m.configuration, &pb.ServiceShares{
		Service: mv.GetService(), MoveId: mv.GetMoveId(), OldVersion: mv.GetOldVersion(), NewVersion: mv.GetNewVersion(),
		Domains: mv.GetDomains(), Phase: mv.GetPhase(),
	}, m.Revision()+1)
	if svc := m.service(mv.GetService()); mv.GetPhase() == pb.MovePhase_MOVE_PHASE_DONE && svc != nil {
		svc = proto.Clone(svc).(*pb.Service)
		svc.ActiveVersion = mv.GetNewVersion()
		put := &pb.Change{Change: &pb.Change_PutService{PutService: svc}}
		next = config.Apply(next, []*pb.Change{put}, next.GetRevision())
	}
	m.configuration = next
}

// pruneMoves drops the moves that ended earliest while more than MaxMoves are stored.
func (m *Machine) pruneMoves() {
	for len(m.moves) > MaxMoves {
		var oldest *pb.Move
		for _, mv := range m.sortedMoves() {
			if Ended(mv.GetPhase()) && (oldest == nil || mv.GetChangedUnixMs() < oldest.GetChangedUnixMs()) {
				oldest = mv
			}
		}
		if oldest == nil {
			return
		}
		delete(m.moves, oldest.GetMoveId())
	}
}

func (m *Machine) moveResult(id string) *pb.CommandResult {
	r := m.accepted()
	r.MoveId = id
	return r
}

// zeroShares returns the failure domains with a new version share of 0.
func zeroShares(domains []*pb.DomainShare) []*pb.DomainShare {
	out := make([]*pb.DomainShare, 0, len(domains))
	for _, d := range domains {
		out = append(out, &pb.DomainShare{FailureDomain: d.GetFailureDomain()})
	}
	return out
}

// isFullyMoved reports whether all calls in every failure domain go to the new version.
func isFullyMoved(domains []*pb.DomainShare) bool {
	for _, d := range domains {
		if d.GetNewPermille() < config.MaxPermille {
			return false
		}
	}
	return len(domains) > 0
}

func phaseName(p pb.MovePhase) string {
	switch p {
	case pb.MovePhase_MOVE_PHASE_RUNNING:
		return "running"
	case pb.MovePhase_MOVE_PHASE_HELD:
		return "held"
	case pb.MovePhase_MOVE_PHASE_WATCHING:
		return "watching"
	case pb.MovePhase_MOVE_PHASE_DONE:
		return "done"
	case pb.MovePhase_MOVE_PHASE_ROLLED_BACK:
		return "rolled back"
	default:
		return "stopped"
	}
}
