package controlserver

import (
	"time"

	"github.com/rattanfield/rattanfield/app/quotas"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	// quotasWait is the least time between two responses that only bring totals. A node does not get them faster than it reports.
	quotasWait = 200 * time.Millisecond
	// demandsWait is the same between control hosts. It is shorter because each total is as old as the demands of the other hosts.
	demandsWait = 50 * time.Millisecond
)

// storeDemands stores the demands that a node sent.
func (s *Server) storeDemands(m *pb.MeshServiceSyncRequest) {
	self := m.GetSelf()
	if m.GetTotalsVersion() == 0 || self.GetNode() == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quotas.Put(s.now(), self.GetNode(), self.GetEpoch(), self.GetSeq(), self.GetStopping(), quotas.FromMessages(m.GetDemands()), m.GetTotalsVersion() == demandsWhole) {
		s.wakeQuotasLocked()
	}
}

// Values of totals_version below those of the aggregator's versions.
const (
	demandsWhole = 1 // the node sends all that it has
	noTotals     = 2 // this host does not know all nodes
	firstTotals  = 3 // version 0 of the aggregator
)

// addTotalsLocked adds the totals that a node lacks to a response. Without a quorum this host may be cut off from others, whose
// nodes change what they hold; its nodes keep their capacities then.
func (s *Server) addTotalsLocked(m *pb.MeshServiceSyncRequest, out *pb.MeshServiceSyncResponse, signals *pollSignals) {
	if m.GetTotalsVersion() == 0 {
		return
	}
	signals.quotasChanged = s.quotasChanged
	out.TotalsVersion = noTotals
	if !s.quotas.Complete() || !out.GetConfirmed() {
		return
	}
	since := uint64(0)
	if m.GetTableEpoch() == s.epoch && m.GetTotalsVersion() > firstTotals {
		since = m.GetTotalsVersion() - firstTotals
	}
	out.TotalsVersion = firstTotals + s.quotas.Version()
	out.Totals = quotas.ToMessages(s.quotas.Others(m.GetSelf().GetNode(), since))
}

// urgentTotals returns a channel that receives when a poll has waited long enough with urgent totals, or nil if it has none.
func urgentTotals(r *pb.MeshServiceSyncResponse) <-chan time.Time {
	return afterIfUrgent(r.GetTotals(), quotasWait)
}

func urgentDemands(r *pb.MeshServiceExchangeResponse) <-chan time.Time {
	return afterIfUrgent(r.GetDemands(), demandsWait)
}

func afterIfUrgent(list []*pb.OrganisationDemand, wait time.Duration) <-chan time.Time {
	for _, d := range list {
		if d.GetUrgent() || d.GetLimited() {
			return time.After(wait)
		}
	}
	return nil
}

// addDemandsLocked adds the sums of the nodes of this host to an exchange.
func (s *Server) addDemandsLocked(m *pb.MeshServiceExchangeRequest, out *pb.MeshServiceExchangeResponse) {
	since := m.GetDemandsVersion()
	if m.GetTableEpoch() != s.epoch {
		since = 0
	}
	out.Demands, out.DemandsVersion = quotas.ToMessages(s.quotas.Own(since)), s.quotas.OwnVersion()
}

// mergeDemands merges the sums of another control host.
func (s *Server) mergeDemands(peer string, have *pb.MeshServiceExchangeRequest, r *pb.MeshServiceExchangeResponse) {
	whole := have.GetTableEpoch() != r.GetTableEpoch() || have.GetDemandsVersion() == 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quotas.Merge(s.now(), peer, r.GetTableEpoch(), quotas.FromMessages(r.GetDemands()), whole) {
		s.wakeQuotasLocked()
	}
}

// moveDemandsLocked drops the demands of a node that has reported to another control host after this one.
func (s *Server) moveDemandsLocked(r *pb.NodeRecord, now time.Duration) {
	if r.GetSilent() {
		return
	}
	if s.quotas.Moved(now, r.GetNode(), r.GetEpoch(), r.GetSeq()) {
		s.wakeQuotasLocked()
	}
}

// sweepQuotasLocked forgets what silent nodes and removed control hosts held.
func (s *Server) sweepQuotasLocked() {
	nodes := s.table.Receivers()
	members := make(map[string]int)
	for _, m := range s.state.State().Members {
		if m.GetId() != s.id {
			members[m.GetAddress()] = nodes[m.GetAddress()]
		}
	}
	if s.quotas.Sweep(s.now(), members) {
		s.wakeQuotasLocked()
	}
}

// wakeQuotasLocked wakes the polls that wait for a change of an urgent total.
func (s *Server) wakeQuotasLocked() {
	close(s.quotasChanged)
	s.quotasChanged = make(chan struct{})
}
