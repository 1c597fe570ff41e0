package state

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// Bounds of what a host keeps and every snapshot carries.
const (
	MaxResults        = 8192
	ResultRetentionMs = 24 * 60 * 60 * 1000
	MaxHistory        = 4096
	MaxEndedMoves     = 256
	maxIDLength       = 128
	maxEvidenceRow    = 64
)

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	index, term   uint64
	configuration *pb.Configuration
	configRev     uint64 // revision of the last change of services or routes
	clock         int64  // highest submission time applied, Unix milliseconds
	moves         map[string]*pb.Move
	results       map[string]*pb.CommandResult
	order         []string // command ids, oldest first
	history       []*pb.Decision
	members       []*pb.Member
	plans         plans
}

// New returns the state before the first entry: an empty configuration at InitialRevision.
func New(members []*pb.Member) *Machine {
	return &Machine{
		configuration: &pb.Configuration{Revision: InitialRevision},
		moves:         make(map[string]*pb.Move),
		results:       make(map[string]*pb.CommandResult),
		members:       members,
		plans:         plans{rollouts: make(map[string]*pb.Rollout)},
	}
}

// InitialRevision is that of the empty configuration, so that the first change
// has a revision to build on; 0 means that there is none.
const InitialRevision = 1

// Index is the index of the last applied entry.
func (m *Machine) Index() uint64 { return m.index }

// Revision of the configuration.
func (m *Machine) Revision() uint64 { return m.configuration.GetRevision() }

// Result returns the kept result of a command, or nil.
func (m *Machine) Result(commandID string) *pb.CommandResult { return m.results[commandID] }

// Apply applies a committed entry. The result is nil for entries that are not commands.
func (m *Machine) Apply(e *pb.Entry) *pb.CommandResult {
	m.index, m.term = e.GetIndex(), e.GetTerm()
	switch e.GetKind() {
	case pb.EntryKind_ENTRY_KIND_MEMBERS:
		set := &pb.MemberSet{}
		if err := proto.Unmarshal(e.GetPayload(), set); err == nil {
			m.members = set.GetMembers()
		}
	case pb.EntryKind_ENTRY_KIND_COMMAND:
		c := &pb.Command{}
		if err := proto.Unmarshal(e.GetPayload(), c); err != nil {
			return &pb.CommandResult{Outcome: pb.Outcome_OUTCOME_INVALID, Message: "the command cannot be decoded"}
		}
		return m.applyCommand(c)
	}
	return nil
}

// applyCommand returns the first result of a command id, and runs a command that has none.
func (m *Machine) applyCommand(c *pb.Command) *pb.CommandResult {
	m.clock = max(m.clock, c.GetSubmittedUnixMs())
	m.expire()
	if r := m.results[c.GetCommandId()]; r != nil {
		return r
	}
	r := m.run(c)
	r.CommandId = c.GetCommandId()
	r.DecidedUnixMs = m.clock
	if r.GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED {
		r.AcceptedUnixMs = m.clock
	}
	m.results[c.GetCommandId()] = r
	m.order = append(m.order, c.GetCommandId())
	m.expire()
	return r
}

func (m *Machine) run(c *pb.Command) *pb.CommandResult {
	if p := checkCommand(c); p != nil {
		return invalid(p)
	}
	switch x := c.GetCommand().(type) {
	case *pb.Command_SubmitConfiguration:
		return m.submitConfiguration(c, x.SubmitConfiguration)
	case *pb.Command_StartMove:
		return m.startMove(c, x.StartMove)
	case *pb.Command_ChangeMove:
		return m.changeMove(c, x.ChangeMove)
	case *pb.Command_StepMove:
		return m.stepMove(c, x.StepMove)
	case *pb.Command_ReplacePlan:
		return m.replacePlan(c, x.ReplacePlan)
	case *pb.Command_StartRollout:
		return m.startRollout(c, x.StartRollout)
	case *pb.Command_StepRollout:
		return m.stepRollout(c, x.StepRollout)
	default:
		return invalid(problem("command", "the command has no content"))
	}
}

func checkCommand(c *pb.Command) *pb.Problem {
	if c.GetCommandId() == "" || len(c.GetCommandId()) > maxIDLength {
		return problem("command_id", "must have 1 to %d characters", maxIDLength)
	}
	if len(c.GetOperator()) > maxIDLength {
		return problem("operator", "must have at most %d characters", maxIDLength)
	}
	return nil
}

// expire drops results that are too old or too many.
func (m *Machine) expire() {
	drop := max(0, len(m.order)-MaxResults)
	for drop < len(m.order) && m.results[m.order[drop]].GetDecidedUnixMs() < m.clock-ResultRetentionMs {
		drop++
	}
	for _, id := range m.order[:drop] {
		delete(m.results, id)
	}
	m.order = slices.Delete(m.order, 0, drop)
}

func (m *Machine) record(c *pb.Command, configuration bool, summary, reason string) {
	m.history = append(m.history, &pb.Decision{
		Revision: m.Revision(), AtUnixMs: m.clock, Operator: c.GetOperator(), CommandId: c.GetCommandId(),
		Summary: summary, Reason: reason, Configuration: configuration,
	})
	if extra := len(m.history) - MaxHistory; extra > 0 {
		m.history = slices.Clone(m.history[extra:])
	}
}

// View returns an immutable copy of the state for readers.
func (m *Machine) View() *ports.AppliedState {
	return &ports.AppliedState{
		Index: m.index, Configuration: m.configuration, Moves: m.sortedMoves(),
		Members: m.members, History: m.history[:len(m.history):len(m.history)],
		Plan: m.plans.current, Rollouts: m.plans.sortedRollouts(), PlanChanges: m.plans.changes,
	}
}

func (m *Machine) sortedMoves() []*pb.Move {
	return slices.SortedFunc(maps.Values(m.moves), func(a, b *pb.Move) int {
		return cmp.Compare(a.GetMoveId(), b.GetMoveId())
	})
}
