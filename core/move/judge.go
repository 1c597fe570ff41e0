package move

import (
	"math"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Judge decides the steps of one move. It holds the scores of the sequential test, which are
// rebuilt from reports after a change of leader. Everything that shares depend on is in the
// replicated pb.Move. It is not safe for concurrent use.
type Judge struct {
	profile *profile
	cells   map[Cell]*cellState
	order   []*cellState // the cells in the order of their first appearance
	routes  map[string]*routeBaseline
	streams []*stream
	index   map[Cell]int // index in streams, by the route and domain of the stream

	threshold float64   // score from which the new version counts as worse than the old one
	intervals int       // calls of observe so far
	last      time.Time // time of the last interval
	// overloaded is set if demand was high since the last recalibration.
	overloaded bool
	// unconfirmed is the number of consecutive intervals in which the new version was worse than
	// the baseline of the old one, but not confirmed to be by concurrent calls.
	unconfirmed int
	demand      demands
	step        uint64 // step of the move at the last interval
	stepKnown   bool
	// pooledShare is the highest share of any failure domain, in permille. Only failure domains
	// with this share are pooled in the streams over all calls and over routes.
	pooledShare uint32
}

// NewJudge returns a Judge for a move with the given risk preference.
func NewJudge(preference pb.RiskPreference) *Judge {
	j := &Judge{
		profile: profileOf(preference),
		cells:   make(map[Cell]*cellState),
		routes:  make(map[string]*routeBaseline),
		index:   make(map[Cell]int),
	}
	j.stream(Cell{})
	return j
}

// stream returns the index of the stream with the given key, which it creates if needed. The
// stream over all calls, Cell{}, has index 0.
func (j *Judge) stream(key Cell) int {
	if i, ok := j.index[key]; ok {
		return i
	}
	j.index[key] = len(j.streams)
	j.streams = append(j.streams, &stream{route: key.Route, domain: key.Domain})
	return len(j.streams) - 1
}

// cell returns the state of a cell, which it creates if needed.
func (j *Judge) cell(key Cell) *cellState {
	if c := j.cells[key]; c != nil {
		return c
	}
	r := j.routes[key.Route]
	if r == nil {
		r = &routeBaseline{}
		j.routes[key.Route] = r
	}
	c := &cellState{
		Cell: key, route: r,
		inRoute: j.stream(Cell{Route: key.Route}), inDomain: j.stream(Cell{Domain: key.Domain}),
	}
	for i := range c.thresholds {
		c.thresholds[i] = -1
	}
	j.cells[key] = c
	j.order = append(j.order, c)
	return c
}

// observe updates the scores with what was added to the evidence since it was last called.
func (j *Judge) observe(m *pb.Move, e *Evidence, now time.Time) {
	j.beginStep(m, e)
	j.last = now
	shares, pooled := sharesOf(m)
	if pooled != j.pooledShare {
		for _, s := range j.streams {
			s.dropPending()
		}
		j.pooledShare = pooled
	}
	for i := range e.Cells {
		j.addCell(&e.Cells[i], shares)
	}
	j.demand.endInterval(e, now)
	ic := j.intervalContext(m)
	j.findTopDomains()
	j.measureInflation(&ic)
	for _, s := range j.streams {
		s.updateScores(&ic)
	}
	j.overloaded = j.overloaded || j.demand.high()
	if j.intervals%recalibrateEvery == 0 || j.intervals == firstRecalibration {
		j.recalibrate()
	}
	j.intervals++
}

// addCell adds the new calls of a cell to its streams.
func (j *Judge) addCell(counts *CellCounts, shares map[string]uint32) {
	c := j.cell(counts.Cell)
	if counts.sameCalls(&c.latest) {
		return
	}
	var t [metricCount]tally
	c.update(&counts.Pair, &t)
	if !c.known {
		// For a new leader the first counts may cover periods with different shares. They
		// serve as a baseline of the old version, but not as evidence.
		c.known = true
		return
	}
	j.demand.addCalls(c.Domain, t[metricRejections].oldTrials+t[metricRejections].newTrials)
	j.streams[c.inDomain].addCell(&t)
	if shares[c.Domain] != j.pooledShare {
		return // pooling different shares would compare one failure domain with another
	}
	j.streams[0].addCell(&t)
	j.streams[c.inRoute].addCell(&t)
}

// measureInflation sets the factor by which the old version exceeds its usual rates over all
// calls, per metric.
func (j *Judge) measureInflation(ic *intervalContext) {
	all := j.streams[0]
	for m := range metricCount {
		ic.inflation[m] = 1
		if t := &all.sums[m]; t.newTrials > 0 {
			r, rate := all.oldRates[m], t.expected/t.newTrials
			r.add(t, rate)
			ic.inflation[m] = r.inflation(t, rate)
		}
	}
}

// findTopDomains sets, per metric, the calls of the top failure domain in two kinds of streams.
// In the stream over all calls, these are the calls of the failure domain with the most hits
// of the new version over all routes. In the stream of a failure domain, they are all of its
// calls, so that none count as calls outside the top failure domain.
func (j *Judge) findTopDomains() {
	all := j.streams[0]
	all.topDomain = [metricCount]tally{}
	for _, s := range j.streams {
		for m := range metricCount {
			if s.domain != "" && s.sums[m].newHits > all.topDomain[m].newHits {
				all.topDomain[m] = s.sums[m]
			}
			if s.domain != "" {
				s.topDomain[m] = s.sums[m]
			}
		}
	}
}

// recalibrate updates the baselines, thresholds and rates of all cells.
func (j *Judge) recalibrate() {
	for _, r := range j.routes {
		r.sum = baselineCounts{}
	}
	for _, c := range j.order {
		c.updateBaseline(j.overloaded)
		c.route.sum.merge(&c.baseline)
	}
	j.overloaded = false
	for _, c := range j.order {
		c.recalibrate()
	}
}

// beginStep stores the counts at the start of a step.
func (j *Judge) beginStep(m *pb.Move, e *Evidence) {
	if j.stepKnown && m.GetStep() == j.step {
		return
	}
	j.step, j.stepKnown = m.GetStep(), true
	for i := range e.Cells {
		j.cell(e.Cells[i].Cell).atStepStart = e.Cells[i].Pair
	}
}

// intervalContext returns the context of the current interval and updates the threshold. Under
// high demand, rejections and latencies are not compared with the reference, and above
// maxHighDemandShare not with concurrent calls either, because the upstreams of the new
// version may receive more calls than those of the old one ever did.
func (j *Judge) intervalContext(m *pb.Move) intervalContext {
	seconds := float64(m.GetDeadlineUnixMs()-m.GetStartedUnixMs()) / 1000
	comparisons := float64(len(j.streams)) * float64(metricCount) * float64(oddsRatioCount)
	// A score restarts at most once per interval, so each interval is one chance of a false alarm.
	j.threshold = math.Log(comparisons * max(seconds, minEvaluations) / j.profile.alpha)
	ic := intervalContext{
		maxGain:       j.threshold / minAlarmIntervals,
		maxSpreadGain: j.threshold/minSpreadAlarmIntervals - j.threshold/minAlarmIntervals,
		ceiling:       j.threshold * ceilingFactor,
		hasConcurrent: j.pooledShare < fullShare,
	}
	if !j.demand.high() {
		return ic
	}
	// Rejections and all latencies: metricErrors is the only metric before metricRejections.
	for metric := metricRejections; metric < metricCount; metric++ {
		ic.skipReference[metric] = true
		ic.skipConcurrent[metric] = j.pooledShare > maxHighDemandShare
	}
	return ic
}

const (
	// minEvaluations is the least number of intervals for which the threshold is computed.
	minEvaluations = 60
	// firstRecalibration makes thresholds known before the first calls of the new version.
	firstRecalibration = 2
	// minAlarmIntervals is the least number of intervals until an alarm; a crashed host loses
	// calls in one or two of them.
	minAlarmIntervals = 5
	// minSpreadAlarmIntervals is the same for a fault that shows in several failure domains.
	minSpreadAlarmIntervals = 2
	ceilingFactor           = 1.3 // ceiling of a reference score as a multiple of the threshold
	// maxHighDemandShare is the share, in permille, up to which latency and rejections are
	// still compared with concurrent calls under high demand.
	maxHighDemandShare = 600
)

// sharesOf returns the share per failure domain and the highest one, in permille.
func sharesOf(m *pb.Move) (shares map[string]uint32, highest uint32) {
	shares = make(map[string]uint32, len(m.GetDomains()))
	for _, d := range m.GetDomains() {
		shares[d.GetFailureDomain()] = d.GetNewPermille()
		highest = max(highest, d.GetNewPermille())
	}
	return shares, highest
}
