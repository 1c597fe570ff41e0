package raft

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a cluster that has no leader for longer than one election
// timeout after all hosts have lost power, even if a minority of them has also
// lost its disk.
func TestLeaderElectedSoonAfterFullRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 4, 5, 6}).Draw(t, "voters")
		s := newSim(t, voters, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.runFaultFree(3 * time.Second)
		s.require(s.leaseHolder() != nil && s.propose(s.leaseHolder()), "no leader before: %s", s.describe())
		s.runFaultFree(time.Second)
		wiped := rapid.IntRange(0, (voters-1)/2).Draw(t, "wiped")
		s.net = nil
		s.restart(func(*simHost) bool { return true })
		for range wiped {
			h := s.hosts[rapid.IntRange(0, voters-1).Draw(t, "host")]
			s.crash(h, 0)
			h.disk = simDisk{state: HardState{Incarnation: append([]byte("new "), h.id...)}}
			h.started = false
			s.start(h)
		}
		s.runFaultFree(simElection)
		s.require(s.leaseHolder() != nil, "no leader after the restart: %s", s.describe())
	})
}

// Guards against an election while an isolated leader still holds its lease,
// which could happen if the majority that confirmed the lease has restarted.
func TestRestartedMajorityWaitsOutTheLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, 3, 0, rapid.Uint64Range(0, 1<<40).Draw(t, "seed"))
		s.runFaultFree(2 * time.Second)
		l := s.leaseHolder()
		s.require(l != nil, "no leader: %s", s.describe())
		for _, o := range s.hosts {
			s.cut[[2]string{l.id, o.id}], s.cut[[2]string{o.id, l.id}] = true, true
		}
		s.restart(func(h *simHost) bool { return h != l })
		for l.node.HoldsLease(s.now) {
			for _, h := range s.hosts {
				s.require(h == l || h.node.role != Leader, "%s leads during the lease of %s", h.id, l.id)
			}
			s.runFaultFree(simTick)
		}
		s.runFaultFree(4 * simElection)
		s.require(s.leaseHolder() != nil && s.leaseHolder() != l, "no leader after the lease: %s", s.describe())
	})
}
