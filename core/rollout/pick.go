package rollout

import pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"

// Running reports a phase in which both versions can get calls.
func Running(p pb.MovePhase) bool {
	return p == pb.MovePhase_MOVE_PHASE_RUNNING || p == pb.MovePhase_MOVE_PHASE_HELD || p == pb.MovePhase_MOVE_PHASE_WATCHING
}

// NewPermille is the share of the new version in a failure domain. A failure
// domain without a share of its own gets none.
func NewPermille(s *pb.ServiceShares, domain string) uint32 {
	if !Running(s.GetPhase()) {
		return 0
	}
	for _, d := range s.GetDomains() {
		if d.GetFailureDomain() == domain {
			return d.GetNewPermille()
		}
	}
	return 0
}

// Pick returns the version of a call; u is uniform in [0,1) and limit is the
// largest share that the local circuit breaker allows.
func Pick(active string, s *pb.ServiceShares, domain string, limit uint32, u float64) string {
	switch {
	case s.GetMoveId() == "":
		return active
	case Running(s.GetPhase()):
		if u*fullShare < float64(min(limit, NewPermille(s, domain))) {
			return s.GetNewVersion()
		}
		return s.GetOldVersion()
	case s.GetPhase() == pb.MovePhase_MOVE_PHASE_DONE && active == s.GetOldVersion():
		return s.GetNewVersion()
	default:
		return active
	}
}
