package rollout

import "math"

// stream is one sequence of comparisons: all calls, one route or one failure
// domain. An empty route or domain stands for all of them.
type stream struct {
	route, domain string
	pending       [metricCount]tally
	// pendingTop are the calls among pending of the failure domain with the most events.
	pendingTop [metricCount]tally
	sums, top  [metricCount]tally // of the interval
	concurrent [metricCount][ratioCount]float64
	reference  [metricCount][ratioCount]float64
	old        [metricCount]recentRate
	ages       [metricCount]age // of the concurrent and the reference scores
	// since sums the calls since the reference score was zero; its expected events
	// are not raised by what the old version shows.
	since [metricCount]tally
}

// Each score is a cumulative sum that starts again at zero: evidence of a long
// good time must not hide a fault that begins late.
func raise(score *float64, gain, limit float64) { *score = max(0, *score+min(gain, limit)) }

// collect adds the calls of one interval and moves the scores.
func (s *stream) collect(limits *limits) {
	for m := range metricCount {
		t := &s.sums[m]
		s.fade(m)
		s.since[m].add(t)
		s.inflate(m, limits)
		if t.newTrials > 0 && !limits.muteReference[m] {
			rest := t.without(&s.top[m])
			for i := range ratios {
				gain, limit := referenceGain(t, m, i), limits.perInterval
				if gain > limit && limits.confirmable && rest.newTrials > 0 {
					limit += min(limits.spreadBonus, max(0, referenceGain(&rest, m, i)))
				}
				raise(&s.reference[m][i], gain, limit)
				s.reference[m][i] = min(s.reference[m][i], limits.ceiling)
			}
			s.refute(m, limits)
			if limits.refuted[m] {
				s.dropReference(m)
			}
		}
		if limits.muteConcurrent[m] {
			continue
		}
		p, top := &s.pending[m], &s.pendingTop[m]
		p.add(t)
		top.add(&s.top[m])
		if !p.comparable() {
			continue
		}
		rest := p.without(top)
		for i := range ratios {
			gain, limit := concurrentGain(p, m, i), limits.perInterval
			if gain > limit && rest.comparable() {
				limit += min(limits.spreadBonus, max(0, concurrentGain(&rest, m, i)))
			}
			raise(&s.concurrent[m][i], gain, limit)
		}
		*p, *top = tally{}, tally{}
	}
	s.sums, s.top = [metricCount]tally{}, [metricCount]tally{}
}

// Latencies drift over a day, and many calls make a small drift certain. Where
// there are driftCalls in an interval, slow calls may become this much more frequent.
const (
	driftMargin = 0.3
	staleMargin = 0.6 // at the full share, where the old version's rates get old
	driftCalls  = 20
)

// inflate raises the expected events by what the old version shows now, here or
// over all calls.
func (s *stream) inflate(m metric, limits *limits) {
	t := &s.sums[m]
	if t.newTrials == 0 {
		return
	}
	rate := t.expected / t.newTrials
	s.old[m].add(t, rate)
	f := max(limits.inflation[m], s.old[m].inflation(t, rate))
	if m.isLatency() {
		margin := driftMargin
		if !limits.confirmable {
			margin = staleMargin
		}
		f *= 1 + margin*min(1, t.newTrials/driftCalls)
	}
	t.expected = min(t.expected*f, t.newTrials)
	s.top[m].expected *= f
}

// refuteScore is how surely the old version must have changed like the new one:
// odds of 7 to 1.
const refuteScore = -2

// refute drops a reference score when the old version's calls of the same time
// fit the new version's rate better than the old version's earlier one: then
// something changed for both.
func (s *stream) refute(m metric, limits *limits) {
	t := &s.since[m]
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
		s.dropReference(m)
		// What changed over all calls changed on the rare routes as well, whose few
		// calls of the old version would take minutes to show it.
		limits.refuted[m] = limits.refuted[m] || (s.route == "" && s.domain == "")
	}
}

func (s *stream) dropReference(m metric) {
	s.reference[m] = [ratioCount]float64{}
	s.since[m] = tally{}
}

// take adds the calls of one cell; cells of a route differ by failure domain.
func (s *stream) take(t *[metricCount]tally) {
	for m := range metricCount {
		s.sums[m].add(&t[m])
		if t[m].newHits > s.top[m].newHits {
			s.top[m] = t[m]
		}
	}
}

// flush drops what is pending; the next calls have another share.
func (s *stream) flush() { s.pending, s.pendingTop = [metricCount]tally{}, [metricCount]tally{} }

// limits of one interval.
type limits struct {
	// perInterval bounds what one interval adds to a score, so that one burst
	// (a crashed host loses every call in flight) cannot decide alone.
	perInterval float64
	// spreadBonus is added to perInterval as far as the calls outside the failure
	// domain with the most events show the same: a host is in one of them only.
	spreadBonus float64
	// confirmable is false at the full share: without concurrent calls a burst that
	// concerns both versions, such as the start of a partition, looks like a fault.
	confirmable bool
	// inflation of the old version's rates over all calls.
	inflation [metricCount]float64
	// ceiling lets a reference score fall again in bounded time.
	ceiling        float64
	refuted        [metricCount]bool // over all calls, in this interval
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

// recentRate is the old version's rate over the last few intervals.
type recentRate struct{ hits, trials, expected float64 }

const (
	recentDecay = 0.8 // per interval: about 5 intervals count
	// A prior of normal calls keeps a single event from looking like a change.
	recentPrior = 20
)

// add takes an interval; rate is the old version's rate before it.
func (r *recentRate) add(t *tally, rate float64) {
	r.hits = r.hits*recentDecay + t.oldHits
	r.trials = r.trials*recentDecay + t.oldTrials
	r.expected = r.expected*recentDecay + rate*t.oldTrials
}

// inflation is how many times its earlier rate the old version surely shows now.
// What raises it raises the new version's rate too: a partition, a failing
// dependency, overload. The last interval alone shows a burst at once.
func (r *recentRate) inflation(t *tally, rate float64) float64 {
	if rate <= 0 {
		return 1
	}
	usual := (r.expected + recentPrior*rate) / (r.trials + recentPrior)
	return max(1, sureRate(r.hits, r.trials, rate)/usual, sureRate(t.oldHits, t.oldTrials, rate)/rate)
}

// sureRate is the rate less one standard error.
func sureRate(hits, trials, prior float64) float64 {
	trials, hits = trials+recentPrior, hits+recentPrior*prior
	now := hits / trials
	return now - math.Sqrt(now*(1-now)/trials)
}

// age counts the intervals since the scores of a metric last reached a new peak.
type age struct {
	peak      float64
	intervals int
}

// staleIntervals without a new peak halve the scores of a metric: calls of a rare
// route are too few to lower what a short burst of errors raised.
const staleIntervals = 100

func (s *stream) fade(m metric) {
	a, top := &s.ages[m], max(best(&s.concurrent[m]), best(&s.reference[m]))
	a.intervals++
	if top > a.peak || top == 0 {
		*a = age{peak: top}
	}
	if a.intervals < staleIntervals {
		return
	}
	for i := range ratios {
		s.concurrent[m][i] /= 2
		s.reference[m][i] /= 2
	}
	*a = age{peak: top / 2}
}
