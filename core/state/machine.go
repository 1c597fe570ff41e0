package state

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// Limits on the state that a host keeps and that each snapshot contains.
const (
	MaxResults        = 8192                // results of commands
	ResultRetentionMs = 24 * 60 * 60 * 1000 // age at which the result of a command is dropped
	MaxHistory        = 4096                // decisions in the history
	MaxMoves          = 256                 // moves, running ones included; only ended moves are dropped
	maxIDLength       = 128
	maxEvidenceRows   = 64 // per move
)

// Machine is the replicated state. It is not safe for concurrent use.
type Machine struct {
	index, term           uint64
	configuration         *pb.Configuration
	configurationRevision uint64 // revision of the last change to services or routes
	clock                 int64  // highest submission time applied, Unix milliseconds
	moves                 map[string]*pb.Move
	results               map[string]*pb.CommandResult
	resultOrder           []string // command ids, oldest first
	history               []*pb.Decision
	members               []*pb.Member
	plans                 plans
	departures            []*pb.Departure // of upstreams, oldest first; replaced as a whole, because views share it
}

// New returns the state before the first log entry: an empty configuration at InitialRevision.
func New(members []*pb.Member) *Machine {
	return &Machine{
		configuration: &pb.Configuration{Revision: InitialRevision},
		moves:         make(map[string]*pb.Move),
		results:       make(map[string]*pb.CommandResult),
		members:       members,
		plans:         plans{rollouts: make(map[string]*pb.Rollout), evacuations: make(map[string]*pb.Evacuation)},
	}
}

// InitialRevision is the revision of the empty configuration. It is not 0,
// because 0 stands for no revision and the first change must name the revision
// that it is based on.
const InitialRevision = 1

// Index returns the index of the last applied log entry.
func (m *Machine) Index() uint64 { return m.index }

// Revision returns the revision of the current configuration.
func (m *Machine) Revision() uint64 { return m.configuration.GetRevision() }

// Result returns the stored result of a command, or nil when there is none.
func (m *Machine) Result(commandID string) *pb.CommandResult { return m.results[commandID] }

// Apply applies a committed log entry and returns the result of its command, or
// nil when the entry is not a command.
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

// applyCommand runs a command and stores its result. For a command id that
// already has a result it returns that result and runs nothing.
func (m *Machine) applyCommand(c *pb.Command) *pb.CommandResult {
	m.clock = max(m.clock, c.GetSubmittedUnixMs())
	m.expireResults()
	if x, ok := c.GetCommand().(*pb.Command_RecordDeparture); ok {
		return m.recordDeparture(x.RecordDeparture)
	}
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
	m.resultOrder = append(m.resultOrder, c.GetCommandId())
	m.expireResults()
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
	case *pb.Command_ChangeEvacuation:
		return m.changeEvacuation(c, x.ChangeEvacuation)
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

// expireResults drops the oldest results beyond MaxResults and those older than
// ResultRetentionMs.
func (m *Machine) expireResults() {
	drop := max(0, len(m.resultOrder)-MaxResults)
	for drop < len(m.resultOrder) && m.results[m.resultOrder[drop]].GetDecidedUnixMs() < m.clock-ResultRetentionMs {
		drop++
	}
	for _, id := range m.resultOrder[:drop] {
		delete(m.results, id)
	}
	m.resultOrder = slices.Delete(m.resultOrder, 0, drop)
}

// record appends a decision to the history and drops the oldest ones beyond
// MaxHistory. configuration marks a change of services or routes, which an expected
// revision can conflict with.
func (m *Machine) record(c *pb.Command, configuration bool, summary, reason string) {
	m.history = append(m.history, &pb.Decision{
		Revision: m.Revision(), AtUnixMs: m.clock, Operator: c.GetOperator(), CommandId: c.GetCommandId(),
		Summary: summary, Reason: reason, Configuration: configuration,
	})
	if extra := len(m.history) - MaxHistory; extra > 0 {
		m.history = slices.Clone(m.history[extra:])
	}
}

// View returns the current state for readers. Later commands do not modify it.
func (m *Machine) View() *ports.AppliedState {
	return &ports.AppliedState{
		Index: m.index, Configuration: m.configuration, Moves: m.sortedMoves(),
		Members: m.members, History: m.history[:len(m.history):len(m.history)],
		Plan: m.plans.current, Rollouts: m.plans.sortedRollouts(), Evacuations: m.plans.sortedEvacuations(), PlanChanges: m.plans.changes,
		Departures: m.departures,
	}
}

func (m *Machine) sortedMoves() []*pb.Move {
	return slices.SortedFunc(maps.Values(m.moves), func(a, b *pb.Move) int {
		return cmp.Compare(a.GetMoveId(), b.GetMoveId())
	})
}
