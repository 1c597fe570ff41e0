package roster

import (
	"google.golang.org/protobuf/proto"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Upstream is what a node knows of the upstream processes on its host. The
// newest process counts; within it, the announcement with the highest sequence
// number does. It is not safe for concurrent use.
type Upstream struct {
	current *pb.Announcement
	left    map[leftKey]bool // processes that have left; none of them serves again
	// leftAt has departures of processes that were not known: by instance, the time of day in
	// Unix milliseconds. A process under that id that was born before has left.
	leftAt map[string]int64
}

type leftKey struct {
	instance string
	born     int64
}

// maxLeft bounds the memory of processes that have left.
const maxLeft = 64

// Current returns the announcement in force, or nil.
func (u *Upstream) Current() *pb.Announcement { return u.current }

// Take applies an announcement and reports whether it changed anything. An
// announcement that is late is taken for what it is: it changes nothing. The
// time of day is in Unix milliseconds.
func (u *Upstream) Take(a *pb.Announcement, nowUnixMs int64) (changed bool) {
	if a.GetState() == pb.UpstreamState_UPSTREAM_STATE_GONE {
		if a = u.complete(a); a.GetBornUnixMs() == 0 {
			u.noteUnknown(a.GetInstance(), nowUnixMs)
		}
	} else if at, ok := u.leftAt[a.GetInstance()]; ok && a.GetBornUnixMs() <= at {
		return false
	}
	key := leftKey{a.GetInstance(), a.GetBornUnixMs()}
	if u.left[key] && a.GetState() != pb.UpstreamState_UPSTREAM_STATE_GONE {
		return false
	}
	if c := u.current; c != nil && !follows(a, c) {
		// A process that has been replaced leaves: its late announcements must not bring it back.
		if leaving(a.GetState()) {
			u.noteLeft(key)
		}
		return false
	}
	before := u.current
	u.current = a
	if leaving(a.GetState()) {
		u.noteLeft(key)
	}
	return before == nil || !same(before, a)
}

// complete fills in what an upstream does not repeat when it says that it is gone.
func (u *Upstream) complete(a *pb.Announcement) *pb.Announcement {
	c := u.current
	if c == nil || c.GetInstance() != a.GetInstance() || (a.GetBornUnixMs() != 0 && a.GetBornUnixMs() != c.GetBornUnixMs()) {
		return a
	}
	c = proto.CloneOf(c)
	c.State = a.GetState()
	return c
}

func leaving(s pb.UpstreamState) bool {
	return s == pb.UpstreamState_UPSTREAM_STATE_LEAVING || s == pb.UpstreamState_UPSTREAM_STATE_GONE
}

// follows reports that an announcement is newer than the current one.
func follows(a, c *pb.Announcement) bool {
	if a.GetInstance() == c.GetInstance() && a.GetBornUnixMs() == c.GetBornUnixMs() {
		if a.GetState() == pb.UpstreamState_UPSTREAM_STATE_GONE {
			return true // carries no sequence number
		}
		return a.GetSeq() > c.GetSeq() && rank(a.GetState()) >= rank(c.GetState())
	}
	if a.GetBornUnixMs() == 0 || c.GetBornUnixMs() == 0 {
		// Without a time of birth only the end of the current process proves a successor.
		return leaving(c.GetState()) || a.GetState() == pb.UpstreamState_UPSTREAM_STATE_SERVING && a.GetInstance() != c.GetInstance()
	}
	return a.GetBornUnixMs() > c.GetBornUnixMs()
}

// rank orders the states of one process; it never goes back.
func rank(s pb.UpstreamState) int {
	switch s {
	case pb.UpstreamState_UPSTREAM_STATE_LEAVING:
		return 1
	case pb.UpstreamState_UPSTREAM_STATE_GONE:
		return 2
	default:
		return 0
	}
}

func same(a, b *pb.Announcement) bool {
	return a.GetInstance() == b.GetInstance() && a.GetBornUnixMs() == b.GetBornUnixMs() && a.GetState() == b.GetState() &&
		a.GetService() == b.GetService() && a.GetAddress() == b.GetAddress() && a.GetVersion() == b.GetVersion() &&
		a.GetSlots() == b.GetSlots() && (a.GetColdMs() > 0) == (b.GetColdMs() > 0)
}

// noteUnknown remembers the departure of a process that did not say when it was
// born and that this host, perhaps because it has just started, does not know.
func (u *Upstream) noteUnknown(instance string, nowUnixMs int64) {
	if u.leftAt == nil || len(u.leftAt) >= maxLeft {
		u.leftAt = make(map[string]int64)
	}
	u.leftAt[instance] = nowUnixMs
}

func (u *Upstream) noteLeft(k leftKey) {
	if u.left == nil || len(u.left) >= maxLeft {
		u.left = make(map[leftKey]bool)
	}
	u.left[k] = true
}
