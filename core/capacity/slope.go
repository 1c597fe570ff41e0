package capacity

import (
	"math"
	"time"
)

const (
	// evidenceHalfLife is the half-life of the evidence in a slope.
	evidenceHalfLife = 30 * time.Second
	// averageTimes is the time, in service times, over which the averages of a slope are taken. A change of speed counts as
	// an effect of the concurrency only for about that time.
	averageTimes   = 4
	minAverageTime = 500 * time.Millisecond
	// maxDeviation bounds what one sample counts: the slowest 3 percent say little about the rest.
	maxDeviation = 2.0
	// firstSamples only form the averages: deviations from the average of a few samples share its error.
	firstSamples = 20
)

// slope estimates the growth of y with x from the deviations from their moving averages.
type slope struct {
	n        int // samples, up to firstSamples
	at       time.Time
	x, y     float64
	sxx, sxy float64
}

// add adds a sample. The averages are taken over about the given time.
func (s *slope) add(now time.Time, x, y float64, over time.Duration) {
	if s.n < firstSamples {
		s.n++
		s.at = now
		s.x += (x - s.x) / float64(s.n)
		s.y += (y - s.y) / float64(s.n)
		return
	}
	since := max(0, now.Sub(s.at).Seconds())
	s.at = now
	decay := math.Exp2(-since / evidenceHalfLife.Seconds())
	dx, dy := x-s.x, max(-maxDeviation, min(maxDeviation, y-s.y))
	s.sxx, s.sxy = s.sxx*decay+dx*dx, s.sxy*decay+dx*dy
	w := 1 - math.Exp(-since/max(over, minAverageTime).Seconds())
	s.x += w * dx
	s.y += w * dy
}

// estimate returns the slope and its standard error; the error is infinite without evidence.
func (s *slope) estimate(variance float64) (value, e float64) {
	if s.sxx == 0 {
		return 0, math.Inf(1)
	}
	return s.sxy / s.sxx, math.Sqrt(variance / s.sxx)
}
