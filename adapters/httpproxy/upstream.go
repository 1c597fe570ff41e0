package httpproxy

import (
	"time"

	"github.com/rattanfield/rattanfield/core/limit"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// upstream is one process that announced itself on this host, from its first
// announcement until it crashes or another instance takes its place.
type upstream struct {
	announced ports.Upstream
	state     pb.EndpointState
	renewed   time.Time
	pool      *pool
	limiter   *limit.Limiter
	waiting   map[uint64]chan limit.Decision
	running   map[uint64]*slot
	lost      []lostRequest
	crashed   bool
}

// slot is an admitted request.
type slot struct {
	id          uint64
	upstream    *upstream
	fingerprint uint64
	alone       bool
}

// lostRequest lost its connection to the upstream; whether the upstream
// crashed may show only later, by a changed instance.
type lostRequest struct {
	fingerprint uint64
	at          time.Time
}

const (
	defaultSlots          = 9
	defaultMaxConnections = 110
	// lostWindow is how far back a lost connection belongs to a crash: three renewals.
	lostWindow = missedRenewals * renewalInterval
)

func newUpstream(a ports.Upstream, slots, connections int, o GateOptions, queue int) *upstream {
	return &upstream{
		announced: a,
		state:     pb.EndpointState_ENDPOINT_STATE_SERVING,
		renewed:   time.Now(),
		pool:      newPool(o.LocalIP, connections),
		limiter:   limit.New(limit.Options{Slots: slots, MaxQueue: queue}),
		waiting:   make(map[uint64]chan limit.Decision),
		running:   make(map[uint64]*slot),
	}
}

// ended reports that the upstream gets no calls again; a new announcement starts with empty counts.
func (u *upstream) ended() bool {
	return u.crashed || u.state == pb.EndpointState_ENDPOINT_STATE_GONE
}

// deliver passes decisions to the requests that wait for them.
func (u *upstream) deliver(events []limit.Event) {
	for _, e := range events {
		if ch := u.waiting[e.ID]; ch != nil {
			delete(u.waiting, e.ID)
			ch <- e.Decision // buffered for one decision
		}
	}
}

// inFlight returns the fingerprints of requests that run now or lost their connection just before.
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

func (u *upstream) noteLost(now time.Time, fingerprint uint64) {
	kept := u.lost[:0]
	for _, l := range u.lost {
		if now.Sub(l.at) < lostWindow {
			kept = append(kept, l)
		}
	}
	u.lost = append(kept, lostRequest{fingerprint: fingerprint, at: now})
}
