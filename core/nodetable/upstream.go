package nodetable

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Upstream tracks the upstream processes on the host of a node. The newest process
// is current, and of its announcements the one with the highest sequence number.
// It is not safe for concurrent use.
type Upstream struct {
	current       *pb.Announcement
	leftProcesses map[processKey]bool // processes that are leaving or have left; they never serve again
	// leftAt maps an instance to a time in Unix milliseconds. The processes of that instance that were born at
	// or before this time are leaving or have left.
	leftAt map[string]int64
}

type processKey struct {
	instance string
	born     int64
}

// maxLeft limits the size of leftProcesses and of leftAt. A full map is cleared before the next
// process is added.
const maxLeft = 64

// Current returns the current announcement, or nil if there is none.
func (u *Upstream) Current() *pb.Announcement { return u.current }

// Apply applies an announcement and reports whether the current one changed in
// content. Late announcements and those that CheckAnnouncement rejects are ignored.
// nowUnixMs is the time of day in Unix milliseconds.
func (u *Upstream) Apply(a *pb.Announcement, nowUnixMs int64) (changed bool) {
	if CheckAnnouncement(a, nowUnixMs) != nil {
		return false
	}
	if a.GetState() == pb.UpstreamState_UPSTREAM_STATE_GONE {
		if a = u.completeLeave(a); a.GetBornUnixMs() == 0 {
			// The announcement did not state the birth time, and this process, which may have just started, does not know it.
			u.recordLeftAt(a.GetInstance(), nowUnixMs)
		}
	} else if at, ok := u.leftAt[a.GetInstance()]; ok && a.GetBornUnixMs() <= at {
		return false
	}
	key := processKey{a.GetInstance(), a.GetBornUnixMs()}
	if u.leftProcesses[key] && a.GetState() != pb.UpstreamState_UPSTREAM_STATE_GONE {
		return false
	}
	if c := u.current; c != nil && !supersedesAnnouncement(a, c) {
		// A process that was replaced announces that it leaves. Remember this, so that its
		// late announcements do not make it current again.
		if isLeaving(a.GetState()) {
			u.recordLeave(key)
		}
		return false
	}
	before := u.current
	u.current = a
	if isLeaving(a.GetState()) {
		u.recordLeave(key)
	}
	return before == nil || !sameAnnouncement(before, a)
}

// completeLeave fills in the fields that a leave announcement omits. It returns the
// announcement unchanged if it is not about the current process.
func (u *Upstream) completeLeave(a *pb.Announcement) *pb.Announcement {
	c := u.current
	if c == nil || c.GetInstance() != a.GetInstance() || (a.GetBornUnixMs() != 0 && a.GetBornUnixMs() != c.GetBornUnixMs()) {
		return a
	}
	c = proto.CloneOf(c)
	c.State = a.GetState()
	return c
}

// Departure returns what an announcement, which Apply has handled, says about processes that leave, or nil if its process
// serves. The node is not filled in.
func (u *Upstream) Departure(a *pb.Announcement) *pb.Departure {
	if !isLeaving(a.GetState()) {
		return nil
	}
	born := a.GetBornUnixMs()
	if a.GetState() == pb.UpstreamState_UPSTREAM_STATE_GONE {
		born = u.completeLeave(a).GetBornUnixMs()
	}
	if born == 0 {
		born = u.leftAt[a.GetInstance()]
	}
	return &pb.Departure{Instance: a.GetInstance(), BornUntilUnixMs: born}
}

// RecordDeparture records a departure that an earlier process of this node acknowledged.
func (u *Upstream) RecordDeparture(d *pb.Departure) {
	if at, ok := u.leftAt[d.GetInstance()]; !ok || at < d.GetBornUntilUnixMs() {
		u.recordLeftAt(d.GetInstance(), d.GetBornUntilUnixMs())
	}
}

func isLeaving(s pb.UpstreamState) bool {
	return s == pb.UpstreamState_UPSTREAM_STATE_LEAVING || s == pb.UpstreamState_UPSTREAM_STATE_GONE
}

// supersedesAnnouncement reports whether announcement a is newer than the current announcement c.
func supersedesAnnouncement(a, c *pb.Announcement) bool {
	if a.GetInstance() == c.GetInstance() && a.GetBornUnixMs() == c.GetBornUnixMs() {
		if a.GetState() == pb.UpstreamState_UPSTREAM_STATE_GONE {
			return true // a leave announcement has no sequence number
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

// coldAgainMs is the least growth of the remaining slow start that shows that another one has begun. A slow start is
// otherwise shorter in each announcement.
const coldAgainMs = 500

// sameAnnouncement reports whether announcement b, which follows a, has the same content. It
// ignores the sequence number and the failure domain, and of ColdMs it compares only
// whether it is above 0 and whether it has grown, because the upstream is cold again.
func sameAnnouncement(a, b *pb.Announcement) bool {
	return a.GetInstance() == b.GetInstance() && a.GetBornUnixMs() == b.GetBornUnixMs() && a.GetState() == b.GetState() &&
		a.GetService() == b.GetService() && a.GetAddress() == b.GetAddress() && a.GetVersion() == b.GetVersion() &&
		a.GetSlots() == b.GetSlots() && (a.GetColdMs() > 0) == (b.GetColdMs() > 0) && uint64(b.GetColdMs()) < uint64(a.GetColdMs())+coldAgainMs
}

// recordLeftAt records that the processes of an instance that were born at or before a time have left.
func (u *Upstream) recordLeftAt(instance string, unixMs int64) {
	if u.leftAt == nil || len(u.leftAt) >= maxLeft {
		u.leftAt = make(map[string]int64)
	}
	u.leftAt[instance] = unixMs
}

func (u *Upstream) recordLeave(k processKey) {
	if u.leftProcesses == nil || len(u.leftProcesses) >= maxLeft {
		u.leftProcesses = make(map[processKey]bool)
	}
	u.leftProcesses[k] = true
}
