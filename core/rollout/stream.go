package rollout

// stream is one sequence of comparisons: all calls, one route or one failure
// domain. An empty route or domain stands for all of them.
type stream struct {
	route, domain string
	pending       [metricCount]tally
	concurrent    [metricCount][ratioCount]float64
	reference     [metricCount][ratioCount]float64
}

// Each score is a cumulative sum that starts again at zero: evidence of a long
// good time must not hide a fault that begins late.
func raise(score *float64, gain, limit float64) { *score = max(0, *score+min(gain, limit)) }

// collect adds the calls of one interval and moves the scores.
func (s *stream) collect(tallies *[metricCount]tally, limits *limits) {
	for m := range metricCount {
		t := &tallies[m]
		if t.newTrials > 0 && !limits.muteReference[m] {
			for i, r := range ratios {
				raise(&s.reference[m][i], referenceGain(t, m, r), limits.perInterval)
				s.reference[m][i] = min(s.reference[m][i], limits.ceiling)
			}
		}
		if limits.muteConcurrent[m] {
			continue
		}
		p := &s.pending[m]
		p.add(*t)
		if !p.comparable() {
			continue
		}
		for i, r := range ratios {
			raise(&s.concurrent[m][i], concurrentGain(p, m, r), limits.perInterval)
		}
		*p = tally{}
	}
}

// flush drops what is pending; the next calls have another share.
func (s *stream) flush() { s.pending = [metricCount]tally{} }

// limits of one interval.
type limits struct {
	// perInterval bounds what one interval adds to a score, so that one burst
	// (a crashed host loses every call in flight) cannot decide alone.
	perInterval float64
	// ceiling lets a reference score fall again in bounded time.
	ceiling        float64
	muteReference  [metricCount]bool
	muteConcurrent [metricCount]bool
}

func best(scores *[ratioCount]float64) float64 {
	top := scores[0]
	for _, s := range scores[1:] {
		top = max(top, s)
	}
	return top
}
