package balance

import "time"

const (
	// maxEjectedShare is the share of the endpoints of a version that may be ejected at a time. A
	// single one may be ejected even if it exceeds this share, see mayEject.
	maxEjectedShare = 0.3
	// panicShare is the share of ejected endpoints above which the fault is probably elsewhere
	// and ejections are ignored.
	panicShare = 0.5

	consecutiveFailuresToEject = 5
	// A window of windowTime with at least minWindowOutcomes outcomes, of which half failed, ejects as well.
	minWindowOutcomes  = 20
	windowFailureShare = 0.5
	windowTime         = 10 * time.Second

	ejectTime    = 2 * time.Second // doubled for each ejection in a row
	maxEjectTime = 30 * time.Second
	// unreachableTime is the time after which an endpoint that refused connections is tried again;
	// its record has usually changed by then. It is doubled each time, because a connection to a
	// host that does not answer at all costs a call its dial timeout.
	unreachableTime    = time.Second
	maxUnreachableTime = 16 * time.Second
)

// health tracks the outcomes of one endpoint for outlier ejection.
type health struct {
	consecutiveFailures int
	ok, failed          int
	windowStart         time.Time
	ejectedUntil        time.Time
	unreachableUntil    time.Time
	unavailableCount    int
	ejections           int
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// markUnreachable excludes an endpoint that accepts no connection or is leaving.
// That state is certain, so maxEjectedShare does not apply.
func (h *health) markUnreachable(now time.Time) {
	if h.unreachable(now) {
		return // a concurrent call, counted once
	}
	h.unreachableUntil = now.Add(min(unreachableTime<<min(h.unavailableCount, 8), maxUnreachableTime))
	h.unavailableCount++
}

func (h *health) unreachable(now time.Time) bool { return now.Before(h.unreachableUntil) }

// observe counts an outcome and reports whether the endpoint should be ejected.
func (h *health) observe(now time.Time, o Outcome) bool {
	h.unavailableCount = 0 // it accepted a connection
	if o.Rejected {
		return false
	}
	if now.Sub(h.windowStart) >= windowTime {
		h.windowStart, h.ok, h.failed = now, 0, 0
	}
	if !o.Failed {
		h.consecutiveFailures = 0
		h.ok++
		if h.ok >= minWindowOutcomes && h.failed == 0 {
			h.ejections = 0
		}
		return false
	}
	h.consecutiveFailures++
	h.failed++
	total := h.ok + h.failed
	return h.consecutiveFailures >= consecutiveFailuresToEject || (total >= minWindowOutcomes && float64(h.failed) >= windowFailureShare*float64(total))
}

func (h *health) eject(now time.Time) {
	if h.ejected(now) {
		return
	}
	d := min(ejectTime<<min(h.ejections, 4), maxEjectTime)
	h.ejections++
	h.ejectedUntil = now.Add(d)
	h.consecutiveFailures, h.ok, h.failed = 0, 0, 0
	h.windowStart = now
}
