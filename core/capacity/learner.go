package capacity

import (
	"math"
	"time"
)

// Reason is the reason of a change of the limit.
type Reason string

// Reasons of changes.
const (
	Announced   Reason = "announced"   // nothing is learned, or the announcement changed
	Knee        Reason = "knee"        // a lower limit completes as many requests
	Grew        Reason = "grew"        // a higher limit completes more requests
	Faster      Reason = "faster"      // the upstream is much faster than when the limit was learned
	NotReached  Reason = "not-reached" // the limit was not reached for unusedTime
	SlowStart   Reason = "slow-start"  // what is learned in a slow start does not hold afterwards
	Undecidable Reason = "undecidable" // a trial found too little evidence to keep a limit
)

// Reasons lists all reasons.
var Reasons = []Reason{Announced, Knee, Grew, Faster, NotReached, SlowStart, Undecidable}

const (
	// floorShare is the share of the announced slots below which the limit never falls.
	floorShare = 1.0 / 3
	// lowShare is the share of the announced slots up to which the concurrency is low.
	lowShare = 0.5
	// suspectStretch is the log of the ratio of the service times at full and at low concurrency above which there is a
	// suspicion, plus suspectErrors standard errors. A knee at four fifths of the slots is not worth a trial.
	suspectStretch = 0.22
	suspectErrors  = 2
	minLow         = 30  // least samples at low concurrency
	minFull        = 30  // least samples at full concurrency
	maxSamples     = 400 // samples that the means at low and at full concurrency remember
	// initialVariance is the variance of log service times before it is measured: that of a log-normal with a sigma of
	// 0.8 whose slowest 3 percent take 7 times as long.
	initialVariance = 0.75
	varianceWeight  = 0.005
	levelSamples    = 50  // samples that the level remembers
	kindSamples     = 500 // samples of a kind that its usual time remembers
	minKindSamples  = 30  // before that the usual time of a kind is too uncertain to compare with
	maxKinds        = 64  // further kinds of requests share the usual time of kind ""
	// fasterBy is the fall of the log service time, since the limit was learned, at which the limit is dropped. It is
	// more than four standard errors of the difference of two levels with initialVariance.
	fasterBy = 0.55
	// unusedTime is the time after which a limit that is not reached is dropped.
	unusedTime = time.Minute
	// settleTime is the time between a change of the limit and the next trial, and minRecheck and maxRecheck are those
	// between trials without a change, which double each time.
	settleTime = 2 * time.Second
	minRecheck = 20 * time.Second
	maxRecheck = 160 * time.Second
	// fullRecently is the greatest age of the last start at full concurrency at which a trial starts.
	fullRecently = 500 * time.Millisecond
)

// A slope is 0 if the service time does not depend on the concurrency, and 1 if the throughput does not.
const (
	// kneeSlope is the slope from which a limit is lowered, if it is also kneeErrors standard errors above 0: at most 15
	// percent of the added concurrency becomes throughput.
	kneeSlope  = 0.85
	kneeErrors = 4
	// maxKneeError is the greatest standard error with which a limit is lowered, and furtherError that with which a
	// lowered limit is lowered again. There, service times at low concurrency do not support the suspicion.
	maxKneeError = 0.4
	furtherError = kneeSlope / kneeErrors
	// keepSlope ends a trial for a lower limit early if the slope is below it by a standard error.
	keepSlope = 0.6
	// raiseSlope is the slope below which a limit is raised, once its standard error is below raiseError.
	raiseSlope = 0.75
	raiseError = 0.25
	// keepErrors is the number of standard errors above 0 that keep a limit at the end of a trial for a higher one.
	keepErrors = 2
)

// showsKnee reports whether a slope with this standard error shows a knee.
func showsKnee(value, e float64) bool {
	return value > kneeSlope && value > kneeErrors*e && e < maxKneeError
}

// mean is a moving average that weighs its first samples equally.
type mean struct{ n, value float64 }

// add adds a sample to a mean that remembers about the given number.
func (m *mean) add(x, most float64) {
	m.n = min(m.n+1, most)
	m.value += (x - m.value) / m.n
}

// started is what is kept of a request that runs.
type started struct {
	at          time.Time
	area        float64 // Learner.area at the start
	concurrency int
	full        bool
}

// Learner learns the concurrency limit of one upstream. It is not safe for concurrent use.
type Learner struct {
	slots   int
	version string
	limit   int
	reason  Reason

	running map[uint64]started
	area    float64 // integral of the log concurrency over seconds, up to areaAt
	areaAt  time.Time

	kinds    map[string]*mean // log of the usual service time, without the level
	level    float64          // log of the present service time relative to the usual one
	variance float64
	seconds  mean // of the service time

	low, full    mean // log of the service time relative to the usual one, by concurrency
	evidence     slope
	learnedLevel float64 // level at the learned limit; NaN: not known yet
	sinceLearned int     // samples since the limit was last decided on
	lastFull     time.Time
	nextTrial    time.Time
	recheck      time.Duration
	trial        *trial
	trials       map[string]uint64 // ended trials by result
}

// New returns a learner for an upstream that announces these slots, at least 1, and this version.
func New(slots int, version string) *Learner {
	l := &Learner{slots: max(1, slots), version: version, running: make(map[uint64]started), trials: make(map[string]uint64)}
	l.forget(Announced)
	return l
}

// discardRunning makes the requests that run no samples.
func (l *Learner) discardRunning() {
	for id := range l.running {
		l.running[id] = started{}
	}
}

// forget drops all that was learned.
func (l *Learner) forget(r Reason) {
	l.discardRunning()
	*l = Learner{
		slots: l.slots, version: l.version, limit: l.slots, reason: r, running: l.running, area: l.area, areaAt: l.areaAt, trials: l.trials,
		kinds: make(map[string]*mean), variance: initialVariance, learnedLevel: math.NaN(), recheck: minRecheck,
	}
}

// Announce applies an announcement of the upstream. Another number of slots or another version drops all that was learned.
func (l *Learner) Announce(slots int, version string) {
	if slots = max(1, slots); slots != l.slots || version != l.version {
		l.slots, l.version = slots, version
		l.forget(Announced)
	}
}

// SlowStart drops what was learned, because the upstream is in its slow start.
func (l *Learner) SlowStart() {
	if len(l.kinds) > 0 || l.limit != l.slots {
		l.forget(SlowStart)
	}
}

// Limit returns the learned limit and the reason of its last change.
func (l *Learner) Limit() (int, Reason) { return l.limit, l.reason }

// Trials returns the number of ended trials by result.
func (l *Learner) Trials() map[string]uint64 { return l.trials }

// InForce returns the limit that holds now: that of the window of a trial, or the learned limit.
func (l *Learner) InForce() int {
	if l.trial != nil {
		return l.trial.inForce()
	}
	return l.limit
}

// lower returns the limit that is compared with the present one.
func (l *Learner) lower() int {
	floor := max(1, int(math.Ceil(floorShare*float64(l.slots))))
	return max(floor, int(math.Round(trialRatio*float64(l.limit))))
}

// compared returns the concurrencies between which samples count as evidence.
func (l *Learner) compared() (lo, hi int) {
	if l.trial != nil {
		return l.trial.lo, l.trial.hi
	}
	return l.lower(), l.limit
}

// integrate brings area up to date before the concurrency changes.
func (l *Learner) integrate(now time.Time) {
	if n := len(l.running); n > 0 && now.After(l.areaAt) {
		l.area += math.Log(float64(n)) * now.Sub(l.areaAt).Seconds()
	}
	l.areaAt = now
}

// Started records that a request starts.
func (l *Learner) Started(now time.Time, id uint64) {
	l.integrate(now)
	c := len(l.running) + 1
	full := c >= l.InForce()
	if full {
		l.lastFull = now
	}
	l.running[id] = started{at: now, area: l.area, concurrency: c, full: full}
}

// Ended records that a request has ended after a time in service, which excludes the wait. Only good completions are
// samples: the time of an error or a refusal says nothing about the work.
func (l *Learner) Ended(now time.Time, id uint64, kind string, service time.Duration, good bool) {
	l.integrate(now)
	s, ok := l.running[id]
	delete(l.running, id)
	if l.trial != nil {
		l.trial.count(good)
	}
	if !ok || s.at.IsZero() || !good || service <= 0 || !now.After(s.at) {
		return
	}
	y, usable := l.normalize(kind, service)
	if !usable {
		return
	}
	x := (l.area - s.area) / now.Sub(s.at).Seconds()
	if lo, hi := l.compared(); x >= math.Log(float64(lo)-0.5) && x <= math.Log(float64(hi)+0.5) {
		l.evidence.add(now, x, y, averageTimes*l.serviceTime())
	}
	switch {
	case l.trial != nil: // the concurrency changes too often to tell full from low
	case float64(s.concurrency) <= lowShare*float64(l.slots):
		l.low.add(y, maxSamples)
	case s.full:
		l.full.add(y, maxSamples)
	}
}

func (l *Learner) serviceTime() time.Duration {
	return time.Duration(l.seconds.value * float64(time.Second))
}

// normalize returns the log of the service time relative to the usual one of the kind, if that is known well enough.
func (l *Learner) normalize(kind string, service time.Duration) (float64, bool) {
	k := l.kinds[kind]
	if k == nil && len(l.kinds) >= maxKinds {
		kind = ""
		k = l.kinds[kind]
	}
	if k == nil {
		k = &mean{}
		l.kinds[kind] = k
	}
	t := math.Log(service.Seconds())
	k.add(t-l.level, kindSamples)
	if k.n <= minKindSamples {
		return 0, false
	}
	y := t - k.value
	l.variance += varianceWeight * (min((y-l.level)*(y-l.level), maxDeviation*maxDeviation) - l.variance)
	l.level += (y - l.level) / levelSamples
	l.seconds.add(service.Seconds(), levelSamples)
	l.sinceLearned++
	return y, true
}

// Tick lets time pass. It must be called several times a second.
func (l *Learner) Tick(now time.Time) {
	value, e := l.evidence.estimate(l.variance)
	switch {
	case l.trial != nil:
		if r := l.trial.tick(now, value, e); r != undecided {
			l.endTrial(now, r)
		}
	case l.limit < l.slots && now.Sub(l.lastFull) > unusedTime:
		l.forget(NotReached)
	case l.limit < l.slots && l.isFaster():
		l.forget(Faster)
	case l.lower() < l.limit && showsKnee(value, e) && (l.limit < l.slots && e < furtherError || l.limit == l.slots && l.suspects()):
		l.setLimit(now, l.lower(), Knee)
	case now.Before(l.nextTrial), now.Sub(l.lastFull) > fullRecently:
	case l.limit < l.slots:
		hi := min(l.slots, max(l.limit+1, int(math.Round(float64(l.limit)/trialRatio))))
		l.trial, l.evidence = newTrial(now, l.limit, hi, false, l.serviceTime()), slope{}
	case l.lower() < l.limit && l.suspects():
		l.trial = newTrial(now, l.lower(), l.limit, true, l.serviceTime())
	}
}

// isFaster reports whether the service time at the learned limit has fallen much. The first samples after a decision set
// what it is compared with.
func (l *Learner) isFaster() bool {
	if math.IsNaN(l.learnedLevel) {
		if l.sinceLearned > 2*levelSamples {
			l.learnedLevel = l.level
		}
		return false
	}
	return l.level < l.learnedLevel-fasterBy
}

// suspects reports whether requests take longer at full than at low concurrency.
func (l *Learner) suspects() bool {
	if l.low.n < minLow || l.full.n < minFull {
		return false
	}
	e := math.Sqrt(l.variance * (1/l.low.n + 1/l.full.n))
	return l.full.value-l.low.value > suspectStretch+suspectErrors*e
}

// setLimit changes the limit. The evidence, and the requests that run, are about the old one.
func (l *Learner) setLimit(now time.Time, limit int, r Reason) {
	l.discardRunning()
	l.limit, l.reason = limit, r
	l.recheck, l.nextTrial = minRecheck, now.Add(settleTime)
	if r == Knee {
		l.nextTrial = now.Add(minRecheck)
	}
	l.settle()
}

// settle ends a suspicion; another one needs new samples.
func (l *Learner) settle() {
	l.low, l.full, l.evidence, l.learnedLevel, l.sinceLearned = mean{}, mean{}, slope{}, math.NaN(), 0
}

// endTrial applies the result of a trial.
func (l *Learner) endTrial(now time.Time, r result) {
	t := l.trial
	l.trial = nil
	l.trials[string(r)]++
	switch {
	case r == noGrowth && t.down:
		l.setLimit(now, t.lo, Knee)
	case r == growth && !t.down:
		l.setLimit(now, t.raised(), Grew)
	case r == inconclusive && !t.down:
		l.setLimit(now, t.raised(), Undecidable)
	default:
		l.settle()
		l.nextTrial = now.Add(l.recheck)
		l.recheck = min(maxRecheck, 2*l.recheck)
	}
}
