package admission

import (
	"time"

	"github.com/rattanfield/rattanfield/core/fairness"
)

// plannedUse is the share of the slots' time that fair shares divide. With all of it, random peaks would add to the
// queue, and requests within their shares would be rejected for a wait that others caused.
const plannedUse = 0.95

// shares counts the expected work of requests by organisation, in seconds.
type shares struct {
	named fairness.Shares
	other fairness.Shares // requests without an organisation, under one name
}

func (s *shares) add(now time.Time, r Request, service time.Duration) {
	if r.Organisation == "" || r.Nested {
		s.other.Add(now, "", service.Seconds())
		return
	}
	s.named.Add(now, r.Organisation, service.Seconds())
}

// isAbove reports whether the organisation of a request demands more than its fair share of the time that requests without
// an organisation leave.
func (s *shares) isAbove(now time.Time, r Request, slots int) bool {
	if r.Organisation == "" || r.Nested {
		return false
	}
	return s.named.Excess(r.Organisation, s.capacity(now, slots)) > 0
}

// exceeds reports whether a request belongs to the part of its organisation's demand that is above its fair share.
func (s *shares) exceeds(now time.Time, r Request, slots int) bool {
	if r.Organisation == "" || r.Nested {
		return false
	}
	return r.RejectionSample < s.named.Excess(r.Organisation, s.capacity(now, slots))
}

func (s *shares) capacity(now time.Time, slots int) float64 {
	return plannedUse*float64(slots)*fairness.WindowSeconds - s.other.Total(now)
}

// lastAbove returns the index of the last queued request whose organisation is above its fair share, or -1 if there is none
// or that of the new request r is above its own.
func (s *shares) lastAbove(now time.Time, waiting []Request, r Request, slots int) int {
	if r.Organisation == "" || r.Nested || s.isAbove(now, r, slots) {
		return -1
	}
	level := s.named.Level(s.capacity(now, slots))
	for i := len(waiting) - 1; i >= 0; i-- {
		w := waiting[i]
		if w.Organisation != "" && !w.Nested && s.named.Demand(w.Organisation) > level {
			return i
		}
	}
	return -1
}
