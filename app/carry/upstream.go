package carry

import (
	"time"

	"github.com/rattanfield/rattanfield/core/admission"
	"github.com/rattanfield/rattanfield/core/condition"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// upstream is one process on this host, from its first announcement until another takes its place.
type upstream struct {
	announced *pb.Announcement
	queue     *admission.Queue
	waiting   map[uint64]chan string // reason; "" starts the request
	cutAt     time.Time              // no request is sent from then on; zero: none
	lost      bool                   // it takes no connections; the next announcement tells otherwise
	renewed   time.Time              // last announcement
	condition condition.Tracker
}

func newUpstream(a *pb.Announcement, now time.Time) *upstream {
	return &upstream{announced: a, renewed: now, queue: admission.New(int(a.GetSlots())), waiting: make(map[uint64]chan string)}
}

// refusal returns why the upstream takes no request now, or "".
func (u *upstream) refusal(now time.Time, lostAfter time.Duration) string {
	switch {
	case u == nil:
		return reasonNoUpstream
	case !u.cutAt.IsZero() && !now.Before(u.cutAt):
		return reasonLeaving
	case u.lost, now.Sub(u.renewed) > lostAfter:
		return reasonNoUpstream
	}
	return ""
}

// deliver tells requests that waited what became of them.
func (u *upstream) deliver(ids []uint64, reason string) {
	for _, id := range ids {
		if ch := u.waiting[id]; ch != nil {
			delete(u.waiting, id)
			ch <- reason // buffered for one decision
		}
	}
}
