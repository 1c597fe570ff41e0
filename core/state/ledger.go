package state

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/ledger"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// withLedgerGroups returns the changes with the previous members, change time
// and revision of each ledger group filled in. Until the claims of the previous
// group have expired, a claim needs a majority of both groups. Only one previous
// group is stored, so a second change within that time is rejected.
func (m *Machine) withLedgerGroups(changes []*pb.Change, atUnixMs int64) ([]*pb.Change, []*pb.Problem) {
	out := slices.Clone(changes)
	var problems []*pb.Problem
	for i, ch := range changes {
		put, ok := ch.GetChange().(*pb.Change_PutService)
		if !ok {
			continue
		}
		service, problem := m.withLedgerGroup(put.PutService, atUnixMs)
		if problem != nil {
			problems = append(problems, problem)
			continue
		}
		out[i] = &pb.Change{Change: &pb.Change_PutService{PutService: service}}
	}
	return out, problems
}

func (m *Machine) withLedgerGroup(s *pb.Service, atUnixMs int64) (*pb.Service, *pb.Problem) {
	next := proto.Clone(s).(*pb.Service)
	next.PreviousLedgerMembers, next.LedgerChangedUnixMs, next.LedgerRevision = nil, 0, 0
	old := m.service(s.GetName())
	switch {
	case slices.Equal(old.GetLedgerMembers(), next.GetLedgerMembers()):
		next.PreviousLedgerMembers = old.GetPreviousLedgerMembers()
		next.LedgerChangedUnixMs = old.GetLedgerChangedUnixMs()
		next.LedgerRevision = old.GetLedgerRevision()
		return next, nil
	case previousGroupMayHoldClaims(old, atUnixMs):
		return nil, problem("service/"+s.GetName(),
			"ledger_members changed less than %s ago; claims of two earlier groups cannot be kept", ledger.GroupWindow)
	}
	next.PreviousLedgerMembers = old.GetLedgerMembers()
	next.LedgerChangedUnixMs = atUnixMs
	next.LedgerRevision = m.Revision() + 1
	return next, nil
}

// previousGroupMayHoldClaims reports whether the previous ledger group of a service may
// still hold claims that have not expired.
func previousGroupMayHoldClaims(s *pb.Service, atUnixMs int64) bool {
	age := time.Duration(atUnixMs-s.GetLedgerChangedUnixMs()) * time.Millisecond
	return len(s.GetPreviousLedgerMembers()) > 0 && age < ledger.GroupWindow
}
