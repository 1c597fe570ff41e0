package nodetable

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Upstream tracks the upstream processes on the host of a node. The newest process
// is current, and of its announcements the one with the highest sequence number.
// It is not safe for concurrent use.
type Upstream struct {
	current  *pb.Announcement
	departed map[processKey]bool // processes that have left; they never serve again
	// departedAt maps an instance to the time, in Unix milliseconds, at which the departure
	// of a process of unknown birth time was announced. A process of that instance that
	// was born at or before this time has left.
	departedAt map[string]int64
}

type processKey struct {
	instance string
	born     int64
}

// maxDeparted limits how many departed processes are remembered. All of them are
// forgotten when the limit is reached.
const maxDeparted = 64

// Current returns the current announcement, or nil if there is none.
func (u *Upstream) Current() *pb.Announcement { return u.current }

// Apply applies an announcement and reports whether the current one changed in
// content. Late announcements are ignored. nowUnixMs is the time of day in Unix
// milliseconds.
func (u *Upstream) Apply(a *pb.Announcement, nowUnixMs int64) (changed bool) {
	if a.GetState() == pb.UpstreamState_UPSTREAM_STATE_GONE {
		if a = u.completeDeparture(a); a.GetBornUnixMs() == 0 {
			u.recordUnknownDeparture(a.GetInstance(), nowUnixMs)
		}
	} else if at, ok := u.departedAt[a.GetInstance()]; ok && a.GetBornUnixMs() <= at {
		return false
	}
	key := processKey{a.GetInstance(), a.GetBornUnixMs()}
	if u.departed[key] && a.GetState() != pb.UpstreamState_UPSTREAM_STATE_GONE {
		return false
	}
	if c := u.current; c != nil && !supersedesAnnouncement(a, c) {
		// A process that was replaced announces that it leaves. Remember this, so that its
		// late announcements do not make it current again.
		if isLeaving(a.GetState()) {
			u.recordDeparture(key)
		}
		return false
	}
	before := u.current
	u.current = a
	if isLeaving(a.GetState()) {
		u.recordDeparture(key)
	}
	return before == nil || !sameAnnouncement(before, a)
}

// completeDeparture fills in the fields that the announcement of a departure leaves
// out. It returns the announcement unchanged if it is not about the current process.
func (u *Upstream) completeDeparture(a *pb.Announcement) *pb.Announcement {
	c := u.current
	if c == nil || c.GetInstance() != a.GetInstance() || (a.GetBornUnixMs() != 0 && a.GetBornUnixMs() != c.GetBornUnixMs()) {
		return a
	}
	c = proto.CloneOf(c)
	c.State = a.GetState()
	return c
}

func isLeaving(s pb.UpstreamState) bool {
	return s == pb.UpstreamState_UPSTREAM_STATE_LEAVING || s == pb.UpstreamState_UPSTREAM_STATE_GONE
}

// supersedesAnnouncement reports whether announcement a is newer than the current announcement c.
func supersedesAnnouncement(a, c *pb.Announcement) bool {
	if a.GetInstance() == c.GetInstance() && a.GetBornUnixMs() == c.GetBornUnixMs() {
		if a.GetState() == pb.UpstreamState_UPSTREAM_STATE_GONE {
			return true // the announcement of a departure has no sequence number
		}
		return a.GetSeq() > c.GetSeq() && stateRank(a.GetState()) >= stateRank(c.GetState())
	}
	if a.GetBornUnixMs() == 0 || c.GetBornUnixMs() == 0 {
		// Without birth times, a process counts as the successor if the current one leaves,
		// or if it serves under another instance id.
		return isLeaving(c.GetState()) || a.GetState() == pb.UpstreamState_UPSTREAM_STATE_SERVING && a.GetInstance() != c.GetInstance()
	}
	return a.GetBornUnixMs() > c.GetBornUnixMs()
}

// stateRank orders the states of a process, which never returns to a lower rank.
func stateRank(s pb.UpstreamState) int {
	switch s {
	case pb.UpstreamState_UPSTREAM_STATE_LEAVING:
		return 1
	case pb.UpstreamState_UPSTREAM_STATE_GONE:
		return 2
	default:
		return 0
	}
}

// sameAnnouncement reports whether two announcements have the same content. It
// ignores the sequence number and the failure domain, and of ColdMs it compares only
// whether it is above 0.
func sameAnnouncement(a, b *pb.Announcement) bool {
	return a.GetInstance() == b.GetInstance() && a.GetBornUnixMs() == b.GetBornUnixMs() && a.GetState() == b.GetState() &&
		a.GetService() == b.GetService() && a.GetAddress() == b.GetAddress() && a.GetVersion() == b.GetVersion() &&
		a.GetSlots() == b.GetSlots() && (a.GetColdMs() > 0) == (b.GetColdMs() > 0)
}

// recordUnknownDeparture remembers the departure of a process whose birth time is
// unknown: the announcement did not state it, and this host, which may have just
// started, does not know the process.
func (u *Upstream) recordUnknownDeparture(instance string, nowUnixMs int64) {
	if u.departedAt == nil || len(u.departedAt) >= maxDeparted {
		u.departedAt = make(map[string]int64)
	}
	u.departedAt[instance] = nowUnixMs
}

func (u *Upstream) recordDeparture(k processKey) {
	if u.departed == nil || len(u.departed) >= maxDeparted {
		u.departed = make(map[processKey]bool)
	}
	u.departed[k] = true
}
