package move

import pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"

// Running reports whether both versions can receive calls in a phase.
func Running(p pb.MovePhase) bool {
	return p == pb.MovePhase_MOVE_PHASE_RUNNING || p == pb.MovePhase_MOVE_PHASE_HELD || p == pb.MovePhase_MOVE_PHASE_WATCHING
}

// NewPermille returns the share of the new version in a failure domain, in permille. It is 0
// for a failure domain that is not listed, and in a phase in which Running is false.
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

// Pick returns the version that receives a call in a failure domain. active is the active
// version of the service, u a random number, uniform in [0,1), and limit the largest share
// that the local circuit breaker allows, in permille. After a move is done, the configuration
// may list the old version as active for a while; the call goes to the new one all the same.
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
