package move

import "math"

// stream is one sequence of comparisons: over all calls, one route or one failure
// domain. An empty route or domain stands for all of them. The scores are log likelihood
// ratios per metric and odds ratio.
type stream struct {
	route, domain string
	// pending holds the calls since the last comparison with concurrent calls.
	pending [metricCount]tally
	// pendingTopDomain sums topDomain over the intervals in pending, which can be of different
	// failure domains.
	pendingTopDomain [metricCount]tally
	// sums holds all calls of the interval, and topDomain those in the failure domain with the
	// most hits of the new version in this interval.
	sums, topDomain [metricCount]tally
	concurrent      [metricCount][oddsRatioCount]float64 // scores against concurrent calls of the old version
	reference       [metricCount][oddsRatioCount]float64 // scores against the old version's earlier rate
	oldRates        [metricCount]recentRate
	ages            [metricCount]scoreAge // of the concurrent and the reference scores
	// sinceZero sums the calls since the reference scores of a metric were last zero. Its
	// expected hits are not raised by the inflation of the old version's rates.
	sinceZero [metricCount]tally
}

// addGain adds to a score, a cumulative sum that never falls below zero: the evidence of a
// long period without faults must not hide a fault that begins late.
func addGain(score *float64, gain, limit float64) { *score = max(0, *score+min(gain, limit)) }

// updateScores adds the calls of one interval, which are in sums and topDomain, to the scores
// and clears both.
func (s *stream) updateScores(intervalContext *intervalContext) {
	for m := range metricCount {
		t := &s.sums[m]
		s.decayScores(m)
		s.sinceZero[m].add(t)
		s.inflateExpected(m, intervalContext)
		if t.newTrials > 0 && !intervalContext.skipReference[m] {
			rest := t.without(&s.topDomain[m])
			for i := range oddsRatios {
				gain, limit := referenceGain(t, m, i), intervalContext.maxGain
				if gain > limit && intervalContext.hasConcurrent && rest.newTrials > 0 {
					limit += min(intervalContext.maxSpreadGain, max(0, referenceGain(&rest, m, i)))
				}
				addGain(&s.reference[m][i], gain, limit)
				s.reference[m][i] = min(s.reference[m][i], intervalContext.ceiling)
			}
			s.refute(m, intervalContext)
			if intervalContext.refuted[m] {
				s.resetReference(m)
			}
		}
		if intervalContext.skipConcurrent[m] {
			continue
		}
		p, topDomain := &s.pending[m], &s.pendingTopDomain[m]
		p.add(t)
		topDomain.add(&s.topDomain[m])
		if !p.comparable() {
			continue
		}
		rest := p.without(topDomain)
		for i := range oddsRatios {
			gain, limit := concurrentGain(p, m, i), intervalContext.maxGain
			if gain > limit && rest.comparable() {
				limit += min(intervalContext.maxSpreadGain, max(0, concurrentGain(&rest, m, i)))
			}
			addGain(&s.concurrent[m][i], gain, limit)
		}
		*p, *topDomain = tally{}, tally{}
	}
	s.sums, s.topDomain = [metricCount]tally{}, [metricCount]tally{}
}

// Latencies drift over a day, and with many calls even a small drift is significant. From
// driftCalls calls in an interval, the expected number of slow calls is raised by the full
// driftMargin, below that by a proportional part.
const (
	driftMargin          = 0.3
	fullShareDriftMargin = 0.6 // at the full share, where the old version's rates are out of date
	driftCalls           = 20
)

// inflateExpected raises the expected hits by the current inflation of the old version's
// rates, in this stream or over all calls, whichever is larger.
func (s *stream) inflateExpected(m metric, intervalContext *intervalContext) {
	t := &s.sums[m]
	if t.newTrials == 0 {
		return
	}
	rate := t.expected / t.newTrials
	s.oldRates[m].add(t, rate)
	f := max(intervalContext.inflation[m], s.oldRates[m].inflation(t, rate))
	if m.isLatency() {
		margin := driftMargin
		if !intervalContext.hasConcurrent {
			margin = fullShareDriftMargin
		}
		f *= 1 + margin*min(1, t.newTrials/driftCalls)
	}
	t.expected = min(t.expected*f, t.newTrials)
	s.topDomain[m].expected *= f
}

// refuteScore is the log likelihood ratio at which the old version has changed like the new
// one: odds of 7 to 1.
const refuteScore = -2

// refute resets the reference scores of a metric when the concurrent calls of the old version
// fit the rate of the new version better than the old version's earlier rate: then something
// has changed for both. If that shows over all calls, it sets refuted.
func (s *stream) refute(m metric, intervalContext *intervalContext) {
	t := &s.sinceZero[m]
	if best(&s.reference[m]) == 0 {
		*t = tally{}
		return
	}
	before, now := t.expected/t.newTrials, t.newHits/t.newTrials
	if now <= before || now >= 1 || before <= 0 {
		return
	}
	score := t.oldHits*math.Log(before/now) + (t.oldTrials-t.oldHits)*math.Log((1-before)/(1-now))
	if score <= refuteScore {
		s.resetReference(m)
		// A change over all calls affects routes with few calls as well, where the old
		// version would take minutes to show it.
		intervalContext.refuted[m] = intervalContext.refuted[m] || (s.route == "" && s.domain == "")
	}
}

func (s *stream) resetReference(m metric) {
	s.reference[m] = [oddsRatioCount]float64{}
	s.sinceZero[m] = tally{}
}

// addCell adds the calls of one cell to the interval. topDomain becomes the cell with the most
// hits of the new version. The cells of a route differ by failure domain, so for the stream
// of a route this is its top failure domain; findTopDomains replaces it for other streams.
func (s *stream) addCell(t *[metricCount]tally) {
	for m := range metricCount {
		s.sums[m].add(&t[m])
		if t[m].newHits > s.topDomain[m].newHits {
			s.topDomain[m] = t[m]
		}
	}
}

// dropPending discards pending calls, since the next calls have another share.
func (s *stream) dropPending() {
	s.pending, s.pendingTopDomain = [metricCount]tally{}, [metricCount]tally{}
}

// intervalContext holds what the updates of all streams in one interval have in common: bounds
// of the scores, the state of the move, and refuted, which the stream over all calls sets for
// the others. That stream must therefore be updated first.
type intervalContext struct {
	// maxGain bounds what one interval adds to a score, so that a single burst of errors,
	// such as the calls in flight on a crashed host, does not decide alone.
	maxGain float64
	// maxSpreadGain bounds what is added to maxGain if the calls outside the failure domain
	// with the most hits show the same, because the fault of a host affects one failure domain
	// only.
	maxSpreadGain float64
	// hasConcurrent is false at the full share: without concurrent calls a burst that would
	// affect both versions, such as the start of a partition, looks like a fault.
	hasConcurrent bool
	// inflation is the current rate of the old version over all calls as a multiple of its
	// usual rate, at least 1.
	inflation [metricCount]float64
	// ceiling bounds a reference score, so that it can fall again in bounded time.
	ceiling        float64
	refuted        [metricCount]bool // set by the stream over all calls, which is updated first
	skipReference  [metricCount]bool // do not update the reference scores
	skipConcurrent [metricCount]bool // do not update the concurrent scores
}

// best returns the highest score over the odds ratios.
func best(scores *[oddsRatioCount]float64) float64 {
	top := scores[0]
	for _, s := range scores[1:] {
		top = max(top, s)
	}
	return top
}

// recentRate tracks the old version's rate over the last few intervals. expected is the number
// of hits at its earlier rate.
type recentRate struct{ hits, trials, expected float64 }

const (
	recentDecay = 0.8 // per interval: about 5 intervals count
	// recentPriorTrials is the weight of a prior at the usual rate, which keeps a single hit
	// from looking like a change.
	recentPriorTrials = 20
)

// add adds an interval; rate is the old version's earlier rate.
func (r *recentRate) add(t *tally, rate float64) {
	r.hits = r.hits*recentDecay + t.oldHits
	r.trials = r.trials*recentDecay + t.oldTrials
	r.expected = r.expected*recentDecay + rate*t.oldTrials
}

// inflation returns a lower bound of the old version's current rate as a multiple of its
// earlier rate, at least 1. Whatever raises it raises the new version's rate too: a
// partition, a failing dependency or overload. The last interval is also considered on its
// own, so that a burst shows at once.
func (r *recentRate) inflation(t *tally, rate float64) float64 {
	if rate <= 0 {
		return 1
	}
	usual := (r.expected + recentPriorTrials*rate) / (r.trials + recentPriorTrials)
	return max(1, rateLowerBound(r.hits, r.trials, rate)/usual, rateLowerBound(t.oldHits, t.oldTrials, rate)/rate)
}

// rateLowerBound returns the rate minus one standard error.
func rateLowerBound(hits, trials, prior float64) float64 {
	trials, hits = trials+recentPriorTrials, hits+recentPriorTrials*prior
	now := hits / trials
	return now - math.Sqrt(now*(1-now)/trials)
}

// scoreAge counts the intervals since the scores of a metric last reached a new peak.
type scoreAge struct {
	peak      float64
	intervals int
}

// staleIntervals is the number of intervals without a new peak after which the scores of a
// metric are halved: a route with few calls would not lower a score that a short burst of
// errors raised.
const staleIntervals = 100

// decayScores halves the scores of a metric after staleIntervals without a new peak.
func (s *stream) decayScores(m metric) {
	a, top := &s.ages[m], max(best(&s.concurrent[m]), best(&s.reference[m]))
	a.intervals++
	if top > a.peak || top == 0 {
		*a = scoreAge{peak: top}
	}
	if a.intervals < staleIntervals {
		return
	}
	for i := range oddsRatios {
		s.concurrent[m][i] /= 2
		s.reference[m][i] /= 2
	}
	*a = scoreAge{peak: top / 2}
}
