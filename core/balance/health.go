package balance

import "time"

const (
	// maxEjectedShare of the endpoints of a version may be ejected at a time.
	maxEjectedShare = 0.3
	// panicShare of ejected endpoints means that the fault is elsewhere; ejection is then ignored.
	panicShare = 0.5

	ejectAfter = 5 // failures in a row
	// A window with at least minWindow outcomes, of which half failed, ejects as well.
	minWindow      = 20
	windowFailures = 0.5
	windowTime     = 10 * time.Second

	ejectTime    = 2 * time.Second // doubled for each ejection in a row
	maxEjectTime = 30 * time.Second
	// refusedTime is until a closed endpoint is tried again; its record has usually changed by
	// then. It is doubled each time, because a connection to a host that does not answer at
	// all costs a call its dial timeout.
	refusedTime    = time.Second
	maxRefusedTime = 16 * time.Second
)

// health counts the outcomes of one endpoint.
type health struct {
	inRow       int
	ok, failed  int
	windowStart time.Time
	until       time.Time
	closedUntil time.Time
	refusals    int // in a row
	ejections   int
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.until) }

// refused avoids an endpoint that takes no connection or is leaving. That is
// certain, so that the maximum share of ejections does not apply.
func (h *health) refused(now time.Time) {
	if h.unreachable(now) {
		return // a call that was sent before
	}
	h.closedUntil = now.Add(min(refusedTime<<min(h.refusals, 8), maxRefusedTime))
	h.refusals++
}

func (h *health) unreachable(now time.Time) bool { return now.Before(h.closedUntil) }

// observe reports that the endpoint should be ejected.
func (h *health) observe(now time.Time, o Outcome) bool {
	h.refusals = 0 // it accepted a connection
	if o.Rejected {
		return false
	}
	if now.Sub(h.windowStart) >= windowTime {
		h.windowStart, h.ok, h.failed = now, 0, 0
	}
	if !o.Failed {
		h.inRow = 0
		h.ok++
		if h.ok >= minWindow && h.failed == 0 {
			h.ejections = 0
		}
		return false
	}
	h.inRow++
	h.failed++
	total := h.ok + h.failed
	return h.inRow >= ejectAfter || (total >= minWindow && float64(h.failed) >= windowFailures*float64(total))
}

func (h *health) eject(now time.Time) {
	if h.ejected(now) {
		return
	}
	d := min(ejectTime<<min(h.ejections, 4), maxEjectTime)
	h.ejections++
	h.until = now.Add(d)
	h.inRow, h.ok, h.failed = 0, 0, 0
	h.windowStart = now
}
