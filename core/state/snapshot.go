package state

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Encode returns the state as an encoded pb.Snapshot.
func (m *Machine) Encode() ([]byte, error) {
	s := &pb.Snapshot{
		Index: m.index, Term: m.term, Configuration: m.configuration, Moves: m.sortedMoves(), History: m.history,
		Members: m.members, ConfigurationRevision: m.configurationRevision, ClockUnixMs: m.clock,
		Plan: m.plans.current, AcceptedPlans: m.plans.accepted, Rollouts: m.plans.sortedRollouts(), RolloutSerial: m.plans.rolloutSerial,
		RolloutOrders: m.plans.orders,
		PlanChanges:   m.plans.changes,
		Evacuations:   m.plans.sortedEvacuations(), EvacuationSerial: m.plans.evacuationSerial,
		Departures: m.departures,
	}
	for _, id := range m.resultOrder {
		s.Results = append(s.Results, m.results[id])
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	return b, eris.Wrap(err, "encode the snapshot of the state machine")
}

// Decode returns the state in a snapshot that Encode produced.
func Decode(data []byte) (*Machine, error) {
	s := &pb.Snapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return nil, eris.Wrap(err, "decode the snapshot of the state machine")
	}
	m := New(s.GetMembers())
	m.index, m.term, m.configurationRevision, m.clock = s.GetIndex(), s.GetTerm(), s.GetConfigurationRevision(), s.GetClockUnixMs()
	if s.GetConfiguration() != nil {
		m.configuration = s.GetConfiguration()
	}
	m.history = s.GetHistory()
	m.plans.current, m.plans.accepted, m.plans.rolloutSerial = s.GetPlan(), s.GetAcceptedPlans(), s.GetRolloutSerial()
	m.plans.changes = s.GetPlanChanges()
	m.plans.orders = s.GetRolloutOrders()
	for _, r := range s.GetRollouts() {
		m.plans.rollouts[r.GetService()] = r
	}
	m.departures = s.GetDepartures()
	m.plans.evacuationSerial = s.GetEvacuationSerial()
	for _, e := range s.GetEvacuations() {
		m.plans.evacuations[e.GetFailureDomain()] = e
	}
	for _, mv := range s.GetMoves() {
		m.moves[mv.GetMoveId()] = mv
	}
	for _, r := range s.GetResults() {
		m.results[r.GetCommandId()] = r
		m.resultOrder = append(m.resultOrder, r.GetCommandId())
	}
	return m, nil
}
