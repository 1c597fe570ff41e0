package raft

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// randomEvent applies one random event to the cluster.
func (s *sim) randomEvent() {
	t := s.t
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
	switch a := rapid.IntRange(0, 99).Draw(t, "event"); {
	case a < 22: // time passes; most messages are delivered, in any order
		s.runWithFaults(rapid.IntRange(1, 40).Draw(t, "ticks"))
	case a < 25: // power loss: writes that are not synced are lost
		if h.node != nil && !s.undetected() {
			s.crash(h, 0)
			s.start(h)
		}
		if a == 24 && !s.undetected() { // of all other running hosts too
			s.restart(func(o *simHost) bool { return o != h })
		}
	case a < 30:
		s.isolateLeader(rapid.IntRange(0, 2).Draw(t, "direction"))
	case a < 45:
		if h.node != nil && !h.paused && h.node.role == Leader {
			s.propose(h)
		} else if l := s.leaseHolder(); l != nil {
			s.propose(l)
		}
	case a < 52:
		if h.node != nil && !h.paused {
			s.read(h)
		}
	case a < 57:
		if len(s.net) > 0 { // deliver a message and keep a duplicate in the network
			s.deliver(rapid.IntRange(0, len(s.net)-1).Draw(t, "message"), true)
		}
	case a < 62: // cut one direction of a link, or all links of a host
		if other := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "peer")]; other != h {
			s.cut[[2]string{h.id, other.id}] = true
			return
		}
		for _, o := range s.hosts {
			s.cut[[2]string{h.id, o.id}], s.cut[[2]string{o.id, h.id}] = true, true
		}
	case a < 70:
		clear(s.cut)
	case a < 74:
		if h.node != nil && !s.undetected() {
			s.crash(h, rapid.IntRange(0, 4).Draw(t, "reached"))
		}
	case a < 82:
		if h.node == nil && !s.undetected() {
			s.start(h)
		}
	case a < 85: // the process is paused, possibly for longer than the lease
		h.paused = !h.paused
	case a < 88:
		if h.node != nil {
			s.compact(h, uint64(rapid.IntRange(0, 4).Draw(t, "keep")))
		}
	case a < 90:
		if h.node != nil && !h.paused && h.node.TransferLeadership(s.now) {
			s.process(h)
		}
	case a < 92:
		s.changeMembers(h)
	case a < 95:
		s.loseDisk(h)
	case a < 97:
		s.restoreOlder(h)
	default:
		if h.node != nil {
			h.backups = append(h.backups, h.disk)
		}
	}
}

// isolateLeader cuts one or both directions of the leader's links for longer
// than the lease, while the leaders receive proposals and reads.
func (s *sim) isolateLeader(direction int) {
	l := s.leaseHolder()
	if l == nil {
		return
	}
	for _, o := range s.hosts {
		s.cut[[2]string{l.id, o.id}] = direction != 1
		s.cut[[2]string{o.id, l.id}] = direction != 0
	}
	for range 6 {
		for _, h := range s.hosts {
			if h.node != nil && !h.paused && h.node.role == Leader {
				s.propose(h)
				s.read(h)
			}
		}
		s.runWithFaults(rapid.IntRange(4, 12).Draw(s.t, "ticks"))
	}
	if rapid.Bool().Draw(s.t, "reconnected") {
		clear(s.cut)
	}
}

// restart crashes the selected hosts and starts each again at once.
func (s *sim) restart(which func(*simHost) bool) {
	for _, h := range s.hosts {
		if h.node != nil && which(h) {
			s.crash(h, 0)
			s.start(h)
		}
	}
}

func (s *sim) undetected() bool {
	return slices.ContainsFunc(s.hosts, func(h *simHost) bool { return h.undetected })
}

// runWithFaults advances the time by a number of ticks. Messages are delivered,
// reordered or lost at random, and the disks sync at different speeds.
func (s *sim) runWithFaults(ticks int) {
	r := rapid.Uint64().Draw(s.t, "order")
	random := func(n int) int {
		r = r*6364136223846793005 + 1442695040888963407
		return int(r>>33) % n
	}
	loss := []int{0, 0, 5, 30}[random(4)]
	// A slow disk syncs nothing during these ticks.
	slow := random(2 * len(s.hosts))
	for range ticks {
		for n := len(s.net); n > 0 && len(s.net) > 0; n-- {
			i := 0
			if random(3) == 0 {
				i = random(len(s.net))
			}
			switch {
			case random(100) < loss:
				s.net = slices.Delete(s.net, i, i+1)
			case random(10) > 0:
				s.deliver(i, false)
			}
		}
		for i, h := range s.hosts {
			if i != slow && random(3) > 0 {
				s.sync(h, 1+random(4))
			}
		}
		s.now += simTick
		for _, h := range s.hosts {
			s.tick(h)
		}
	}
}

func (s *sim) changeMembers(h *simHost) {
	l := s.leaseHolder()
	if l == nil || s.damagedHosts() > 0 {
		return
	}
	members := slices.Clone(l.node.members())
	if m := findMember(members, h.id); m == nil {
		members = append(members, &pb.Member{Id: h.id, CatchingUp: true})
	} else if !m.GetVoter() || voterCount(members) > 3 {
		members = slices.DeleteFunc(members, func(m *pb.Member) bool { return m.GetId() == h.id })
	}
	_, _, _ = l.node.ProposeMembers(members)
	s.process(l)
}

// canDamage reports whether the disk of a host may be lost or replaced now. At
// any time only a minority of the voters may lack entries that it acknowledged.
func (s *sim) canDamage(h *simHost) bool {
	l := s.leaseHolder()
	if l == nil || l == h || h.diskDamaged || !l.node.mayChangeMembers() {
		return false
	}
	voters := voterCount(l.node.members())
	return findMember(l.node.members(), h.id) != nil && s.damagedHosts()+1 <= (voters-1)/2
}

func (s *sim) loseDisk(h *simHost) {
	if !s.canDamage(h) || s.undetected() {
		return
	}
	s.crash(h, 0)
	h.disk = simDisk{state: HardState{Incarnation: fmt.Appendf(nil, "%s-%d", h.id, s.lastID+uint64(s.now))}}
	h.diskDamaged, h.started = true, false
	h.backups = nil
	s.start(h)
}

// restoreOlder replaces a disk with an older copy, which has the right
// incarnation but lacks entries that the host acknowledged. Another host must
// know of the acknowledgements, so the others run and are connected while this
// host is down.
func (s *sim) restoreOlder(h *simHost) {
	if len(h.backups) == 0 || !s.canDamage(h) || s.damagedHosts() > 0 {
		return
	}
	old := h.backups[0]
	if string(old.state.Incarnation) != string(h.disk.state.Incarnation) {
		return
	}
	s.crash(h, 0)
	s.heal()
	s.crash(h, 0)
	s.runFaultFree(3 * time.Second)
	if h.disk.state.Incarnation == nil || s.leaseHolder() == nil {
		s.start(h)
		return
	}
	h.disk = old
	h.diskDamaged, h.undetected = true, true
	h.backups = nil
	s.start(h)
}
