package rollout

import (
	"math"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// rung is one share of the ladder that a move climbs.
type rung struct {
	permille uint32
	dwell    float64 // planned time as a fraction of the whole move
	calls    float64 // calls of the new version to see before the next rung
}

// profile is a risk preference in numbers.
type profile struct {
	rungs    []rung // the first is the canary; its permille is its maximum
	minDwell time.Duration
	// patience is how many planned dwells a rung waits for its calls.
	patience float64
	// margin before the deadline that the plan leaves, as a fraction.
	margin float64
	// watchUntil is the fraction of the move until which the full share is watched,
	// when it was reached earlier: rare routes need that time.
	watchUntil float64
	// alpha is the probability of a false alarm over a whole move.
	alpha float64
}

var cautious = profile{
	rungs: []rung{
		{40, 0.25, 350}, {60, 0.07, 350}, {200, 0.11, 400}, {500, 0.15, 600}, {900, 0.11, 600}, {1000, 0.09, 0},
	},
	minDwell: 8 * time.Second, patience: 1.6, margin: 0.22, watchUntil: 0.92, alpha: 0.02,
}

var punctual = profile{
	rungs: []rung{
		{50, 0.18, 200}, {100, 0.08, 250}, {300, 0.11, 300}, {600, 0.12, 400}, {900, 0.10, 400}, {1000, 0.10, 0},
	},
	minDwell: 5 * time.Second, patience: 1.25, margin: 0.25, watchUntil: 0.85, alpha: 0.01,
}

// breakers decide for one node or failure domain. There are many of them and one
// of them can end a move, so each has a smaller probability of a false alarm.
var breakers = func() profile {
	p := punctual
	p.alpha = 0.0002
	return p
}()

func profileOf(p pb.RiskPreference) *profile {
	if p == pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL {
		return &punctual
	}
	return &cautious
}

const (
	fullShare = 1000
	minCanary = 1 // permille
	// A service without calls begins its move after this part of the time.
	quietStart = 0.1
	// verifyShare is where a suspicion without concurrent calls is examined:
	// enough calls for both versions, and most of them on the old one.
	verifyShare = 300
)

// canary is the share that yields the calls of the first rung in its time, so
// that the absolute number of calls at risk does not grow with the service.
func (p *profile) canary(rate float64, total time.Duration) uint32 {
	r := p.rungs[0]
	if rate <= 0 {
		return r.permille
	}
	// 0.8 of the time: arrivals vary, and the rung is left only with all its calls.
	share := r.calls / (rate * total.Seconds() * r.dwell * 0.8)
	return uint32(min(max(math.Ceil(share*fullShare), minCanary), float64(r.permille)))
}

// rungOf is the highest rung that a share has reached; -1 for no share.
func (p *profile) rungOf(permille uint32) int {
	if permille == 0 {
		return -1
	}
	at := 0
	for i, r := range p.rungs[1:] {
		if permille >= r.permille {
			at = i + 1
		}
	}
	return at
}

// dwell is the planned time on a rung. It shrinks when what is left of the move
// is less than the plan of the rungs ahead.
func (p *profile) dwell(at int, m *pb.Move, began time.Time) time.Duration {
	start, deadline := time.UnixMilli(m.GetStartedUnixMs()), time.UnixMilli(m.GetDeadlineUnixMs())
	total := deadline.Sub(start)
	ahead := 0.0
	for _, r := range p.rungs[at:] {
		ahead += r.dwell
	}
	left := deadline.Sub(began).Seconds() - p.margin*total.Seconds()
	scale := 1.0
	if planned := ahead * total.Seconds(); planned > left {
		scale = max(0, left/planned)
	}
	planned := time.Duration(p.rungs[at].dwell * scale * float64(total))
	if at == len(p.rungs)-1 {
		planned = max(planned, start.Add(time.Duration(p.watchUntil*float64(total))).Sub(began))
	}
	return max(p.minDwell, planned)
}
