package proxy

import (
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/core/capacity"
	"github.com/rattanfield/rattanfield/core/condition"
	"github.com/rattanfield/rattanfield/core/drain"
	"github.com/rattanfield/rattanfield/core/nested"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// upstream is one process on this host, from its first announcement until another process replaces it.
type upstream struct {
	announcement  *pb.Announcement // the latest one
	queue         *admission.Queue
	deadlines     map[uint64]time.Time   // of the requests that run or wait, by id, except for nested calls
	waiting       map[uint64]chan string // receives the reason of a rejection, or "" if the request starts
	closesAt      time.Time              // no request is sent from this time on; the zero time: no limit
	unreachable   bool                   // it refused a connection; reset by the next announcement
	lastAnnounced time.Time
	condition     condition.Tracker
	capacity      *capacity.Learner
	capacityShown shownCapacity

	running    map[uint64]gateRequest // requests that are being sent or have been sent, by queue id
	parents    nested.Parents         // the same requests by the time limits that the upstream was given
	unanswered unanswered
	ended      bool // the process ended without having left
	// endedBySuspect states that a request which other upstreams had ended under was in progress at its end.
	endedBySuspect bool
	aliveAt        time.Time     // end of the last check that found it alive
	endCheck       chan struct{} // closed when the check in progress ends; nil if there is none, see Gate.refuses
}

func newUpstream(a *pb.Announcement, now time.Time) *upstream {
	return &upstream{announcement: a, lastAnnounced: now, queue: admission.New(int(a.GetSlots())), waiting: make(map[uint64]chan string), deadlines: make(map[uint64]time.Time), running: make(map[uint64]gateRequest), capacity: capacity.New(int(a.GetSlots()), a.GetVersion())}
}

// rejectionReason returns the reason why the upstream accepts no request now, or "".
func (u *upstream) rejectionReason(now time.Time, lostAfter time.Duration) string {
	switch {
	case u == nil:
		return reasonNoUpstream
	case !u.closesAt.IsZero() && drain.Passed(now, u.closesAt):
		return reasonLeaving
	case u.unreachable, now.Sub(u.lastAnnounced) > lostAfter:
		return reasonNoUpstream
	}
	return ""
}

// notify sends the decision to queued requests: a reason, or "" if they start.
func (u *upstream) notify(ids []uint64, reason string) {
	for _, id := range ids {
		if ch := u.waiting[id]; ch != nil {
			delete(u.waiting, id)
			ch <- reason // does not block: the channel has room for one decision
		}
	}
}
