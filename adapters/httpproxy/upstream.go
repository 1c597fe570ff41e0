package httpproxy

import (
	"time"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/core/limit"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// upstream is the state of one upstream process of this host, from its first announcement
// until it crashes or another instance replaces it.
type upstream struct {
	announced   ports.UpstreamAnnouncement
	state       pb.EndpointState
	announcedAt time.Time // last announcement
	pool        *pool
	limiter     *limit.Limiter
	waiting     map[uint64]chan limit.Decision // queued requests by id
	running     map[uint64]*slot               // by request id
	lost        []lostRequest
	crashed     bool
}

// slot is the capacity of an upstream that an admitted request occupies.
type slot struct {
	id          uint64
	upstream    *upstream
	fingerprint uint64
	exclusive   bool // no other request runs at the same time
}

// lostRequest is a request whose connection to the upstream was lost. Whether the upstream
// crashed may become known only later, when another instance announces itself.
type lostRequest struct {
	fingerprint uint64
	at          time.Time
}

const (
	defaultSlots          = 9
	defaultMaxConnections = 110
	// lostWindow is how long before a crash a connection may have been lost to be attributed to it: three announcement intervals.
	lostWindow = maxMissedAnnouncements * announceInterval
)

func newUpstream(a ports.UpstreamAnnouncement, slots, connections int, o GateOptions, queue int, m *body.Memory) *upstream {
	return &upstream{
		announced:   a,
		state:       pb.EndpointState_ENDPOINT_STATE_SERVING,
		announcedAt: time.Now(),
		pool:        newSharedPool(o.LocalIP, connections, m, o.Resources.accountOrNil()),
		limiter:     limit.New(limit.Options{Slots: slots, MaxQueue: queue}),
		waiting:     make(map[uint64]chan limit.Decision),
		running:     make(map[uint64]*slot),
	}
}

// ended reports that the upstream receives no further calls. A new announcement then starts with fresh state.
func (u *upstream) ended() bool {
	return u.crashed || u.state == pb.EndpointState_ENDPOINT_STATE_GONE
}

// deliver sends decisions to the queued requests. The lock of the gate must be held.
func (u *upstream) deliver(events []limit.Event) {
	for _, e := range events {
		if ch := u.waiting[e.ID]; ch != nil {
			delete(u.waiting, e.ID)
			ch <- e.Decision // does not block: buffered for one decision
		}
	}
}

// inFlight returns the fingerprints of the running requests and of those that lost their
// connection within lostWindow.
func (u *upstream) inFlight(now time.Time) []uint64 {
	var out []uint64
	for _, s := range u.running {
		out = append(out, s.fingerprint)
	}
	for _, l := range u.lost {
		if now.Sub(l.at) < lostWindow {
			out = append(out, l.fingerprint)
		}
	}
	return out
}

func (u *upstream) recordLost(now time.Time, fingerprint uint64) {
	kept := u.lost[:0]
	for _, l := range u.lost {
		if now.Sub(l.at) < lostWindow {
			kept = append(kept, l)
		}
	}
	u.lost = append(kept, lostRequest{fingerprint: fingerprint, at: now})
}
