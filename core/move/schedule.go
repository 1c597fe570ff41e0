package move

import (
	"math"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// stage is one share in the schedule of a move.
type stage struct {
	permille uint32
	dwell    float64 // planned time as a fraction of the whole move
	calls    float64 // calls of the new version that are needed before the next stage
}

// profile holds the parameters of a risk preference. The move lasts from its start to its
// deadline.
type profile struct {
	stages   []stage // the first is the canary; its permille is its maximum
	minDwell time.Duration
	// patience is how long a stage waits for its calls, as a multiple of its planned time.
	patience float64
	// margin is the fraction of the move that the schedule leaves free before the deadline.
	margin float64
	// watchUntil is the fraction of the move until which the full share is observed even if
	// it was reached early, because routes with few calls need that time.
	watchUntil float64
	// alpha is the probability of a false alarm over a whole move.
	alpha float64
}

// cautious limits the risk of a move: faulty versions are rolled back early. Compared with
// punctual, its stages up to 500 permille have smaller shares, and all stages below the full
// share need more calls.
var cautious = profile{
	stages: []stage{
		{40, 0.25, 350}, {60, 0.07, 350}, {200, 0.11, 400}, {500, 0.15, 600}, {900, 0.11, 600}, {1000, 0.09, 0},
	},
	minDwell: 8 * time.Second, patience: 1.6, margin: 0.22, watchUntil: 0.92, alpha: 0.02,
}

// punctual ends moves on time: the moves of working versions complete by their deadline. Its
// stages need fewer calls than those of cautious, and its smaller alpha rolls back fewer
// working versions by chance.
var punctual = profile{
	stages: []stage{
		{50, 0.18, 200}, {100, 0.08, 250}, {300, 0.11, 300}, {600, 0.12, 400}, {900, 0.10, 400}, {1000, 0.10, 0},
	},
	minDwell: 5 * time.Second, patience: 1.25, margin: 0.25, watchUntil: 0.85, alpha: 0.01,
}

// breakerProfile is the profile of circuit breakers. There are many breakers and each can end
// a move, so each has a smaller probability of a false alarm.
var breakerProfile = func() profile {
	p := punctual
	p.alpha = 0.0002
	return p
}()

// profileOf returns the profile of a risk preference; an unspecified one is cautious.
func profileOf(p pb.RiskPreference) *profile {
	if p == pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL {
		return &punctual
	}
	return &cautious
}

const (
	fullShare = 1000
	minCanary = 1 // least share of the first stage, permille
	// idleStartFraction is the fraction of the move after which it begins without any calls.
	idleStartFraction = 0.1
	// verifyShare is the reduced share, in permille, at which an unconfirmed difference is
	// verified: both versions receive enough calls, and the old one most of them.
	verifyShare = 300
)

// canary returns the share, in permille, that yields the calls of the first stage in its
// planned time, so that the absolute number of calls at risk does not grow with the rate of
// calls. rate is in calls per second, and total is the duration of the move.
func (p *profile) canary(rate float64, total time.Duration) uint32 {
	s := p.stages[0]
	if rate <= 0 {
		return s.permille
	}
	// Planned for 0.8 of the time, because arrivals vary and the stage needs all its calls.
	share := s.calls / (rate * total.Seconds() * s.dwell * 0.8)
	return uint32(min(max(math.Ceil(share*fullShare), minCanary), float64(s.permille)))
}

// stageOf returns the index of the highest stage that a share has reached, or -1 for share 0.
func (p *profile) stageOf(permille uint32) int {
	if permille == 0 {
		return -1
	}
	stageIndex := 0
	for i, s := range p.stages[1:] {
		if permille >= s.permille {
			stageIndex = i + 1
		}
	}
	return stageIndex
}

// dwell returns the planned time in a stage that began at the given time. It is shortened
// when the rest of the move is too short for the planned times of this and the later stages,
// but not below minDwell.
func (p *profile) dwell(stageIndex int, m *pb.Move, began time.Time) time.Duration {
	start, deadline := time.UnixMilli(m.GetStartedUnixMs()), time.UnixMilli(m.GetDeadlineUnixMs())
	total := deadline.Sub(start)
	ahead := 0.0
	for _, s := range p.stages[stageIndex:] {
		ahead += s.dwell
	}
	left := deadline.Sub(began).Seconds() - p.margin*total.Seconds()
	scale := 1.0
	if planned := ahead * total.Seconds(); planned > left {
		scale = max(0, left/planned)
	}
	planned := time.Duration(p.stages[stageIndex].dwell * scale * float64(total))
	if stageIndex == len(p.stages)-1 {
		planned = max(planned, start.Add(time.Duration(p.watchUntil*float64(total))).Sub(began))
	}
	return max(p.minDwell, planned)
}
