package coldstart

import "time"

const (
	// initialShare is the share of the fair interval at which an entry first asks a cold upstream. It is below 1 because
	// some entries have no requests for it.
	initialShare = 0.5
	// rejectedFactor lengthens the interval after a rejection, and roomFactor shortens it after an accepted request by at
	// most that share, in proportion to what the upstream could have taken beyond it.
	rejectedFactor = 1.5
	roomFactor     = 0.6
	// maxIntervalFactor bounds the interval as a multiple of the fair one, so that an entry notices room in time.
	maxIntervalFactor = 2
	// reportValidity is how long the state that a gate reported with an answer goes before that of its record, which
	// arrives later.
	reportValidity = 2 * time.Second
	// maxGates bounds the memory for gates that no longer exist.
	maxGates = 4096
)

// Pacer spreads the requests of one entry to cold upstreams over time. Each upstream takes few of them, and all entries
// learn at the same time that it is there. It is not safe for concurrent use.
type Pacer struct{ gates map[string]*pace }

type pace struct {
	interval, fair time.Duration
	next           time.Time // the next request may be sent from then on
	reportedAt     time.Time
	coldUntil      time.Time // as reported at reportedAt
}

// NewPacer returns a pacer that knows no gate.
func NewPacer() *Pacer { return &Pacer{gates: make(map[string]*pace)} }

// Report records the remaining slow start that a gate reported with an answer.
func (p *Pacer) Report(now time.Time, gate string, left time.Duration) {
	g := p.gate(gate)
	g.reportedAt, g.coldUntil = now, now.Add(left)
}

// gate returns what is known of a gate. Beyond maxGates, everything known is discarded.
func (p *Pacer) gate(address string) *pace {
	g := p.gates[address]
	if g == nil {
		if len(p.gates) >= maxGates {
			clear(p.gates)
		}
		g = &pace{}
		p.gates[address] = g
	}
	return g
}

// Reported returns whether the upstream of a gate is cold, if the gate has reported it recently.
func (p *Pacer) Reported(now time.Time, gate string) (cold, known bool) {
	g := p.gates[gate]
	if g == nil || g.reportedAt.IsZero() {
		return false, false
	}
	cold = now.Before(g.coldUntil)
	return cold, cold || now.Sub(g.reportedAt) < reportValidity
}

// Due reports whether a request may be sent to a cold upstream now. Of the rate of the bound, each of the entries has the
// same share at first; u is a uniform number in [0,1) that sets when the first request is due.
func (p *Pacer) Due(now time.Time, gate string, b Bound, entries int, u float64) bool {
	g := p.gate(gate)
	if g.interval == 0 {
		g.fair = time.Duration(float64(max(1, entries)) / b.Rate() * float64(time.Second))
		g.interval = time.Duration(initialShare * float64(g.fair))
		g.next = now.Add(time.Duration(u * float64(g.interval)))
	}
	return !now.Before(g.next)
}

// Sent records a request to a cold upstream; u is a uniform number in [0,1).
func (p *Pacer) Sent(now time.Time, gate string, u float64) {
	if g := p.gates[gate]; g != nil {
		g.next = now.Add(time.Duration((0.5 + u) * float64(g.interval)))
	}
}

// Answered records whether a cold upstream took a request, and the share of its limit that it could still take.
func (p *Pacer) Answered(gate string, taken bool, room float64, b Bound) {
	g := p.gates[gate]
	if g == nil || g.interval == 0 {
		return
	}
	factor := rejectedFactor
	if taken {
		factor = 1 - roomFactor*min(max(room, 0), 1)
	}
	shortest := time.Duration(float64(time.Second) / b.Rate())
	g.interval = min(max(time.Duration(factor*float64(g.interval)), shortest), max(shortest, maxIntervalFactor*g.fair))
}

// Forget drops the pace of a gate whose upstream is warm.
func (p *Pacer) Forget(gate string) {
	if g := p.gates[gate]; g != nil {
		g.interval = 0
	}
}
