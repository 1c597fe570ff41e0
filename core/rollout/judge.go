package rollout

import (
	"math"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Judge follows one move. It holds the scores of the test; they are rebuilt from
// reports after a change of leader, while everything that shares depend on is in
// the replicated pb.Move.
type Judge struct {
	profile *profile
	cells   map[Cell]*cellState
	order   []*cellState
	routes  map[string]*routeBase
	streams []*stream
	index   map[Cell]int // stream by route and domain

	threshold float64
	intervals int
	last      time.Time
	// overloaded reports that demand was high since the last rebase.
	overloaded bool
	// unconfirmed counts the intervals in a row with that judgement.
	unconfirmed int
	demand      demands
	step        uint64
	stepKnown   bool
	// pooledShare is the share of the failure domains that are pooled.
	pooledShare uint32
}

// NewJudge returns a Judge for a move with this preference.
func NewJudge(preference pb.RiskPreference) *Judge {
	j := &Judge{
		profile: profileOf(preference),
		cells:   make(map[Cell]*cellState),
		routes:  make(map[string]*routeBase),
		index:   make(map[Cell]int),
	}
	j.stream(Cell{})
	return j
}

func (j *Judge) stream(key Cell) int {
	if i, ok := j.index[key]; ok {
		return i
	}
	j.index[key] = len(j.streams)
	j.streams = append(j.streams, &stream{route: key.Route, domain: key.Domain})
	return len(j.streams) - 1
}

func (j *Judge) cell(key Cell) *cellState {
	if c := j.cells[key]; c != nil {
		return c
	}
	r := j.routes[key.Route]
	if r == nil {
		r = &routeBase{}
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

// observe adds the evidence since the last call to the scores.
func (j *Judge) observe(m *pb.Move, e *Evidence, now time.Time) {
	j.beginStep(m, e)
	j.last = now
	shares, pooled := sharesOf(m)
	if pooled != j.pooledShare {
		for _, s := range j.streams {
			s.flush()
		}
		j.pooledShare = pooled
	}
	for i := range e.Cells {
		j.take(&e.Cells[i], shares)
	}
	j.demand.settle(e, now)
	lim := j.limits(m)
	j.spread()
	j.inflate(&lim)
	for _, s := range j.streams {
		s.collect(&lim)
	}
	j.overloaded = j.overloaded || j.demand.high()
	if j.intervals%rebaseEvery == 0 || j.intervals == firstRebase {
		j.rebase()
	}
	j.intervals++
}

// take adds the new calls of a cell to its streams.
func (j *Judge) take(counts *CellCounts, shares map[string]uint32) {
	c := j.cell(counts.Cell)
	if counts.same(&c.seen) {
		return
	}
	var t [metricCount]tally
	c.advance(&counts.Pair, &t)
	if !c.known {
		// The first counts can hold the past of several shares, for a new leader: a
		// base for the old version, but no evidence.
		c.known = true
		return
	}
	j.demand.offer(c.Domain, t[metricRejections].oldTrials+t[metricRejections].newTrials)
	j.streams[c.inDomain].take(&t)
	if shares[c.Domain] != j.pooledShare {
		return // another share: pooling would compare different failure domains
	}
	j.streams[0].take(&t)
	j.streams[c.inRoute].take(&t)
}

// inflate finds how far the old version is from its usual rates over all calls.
func (j *Judge) inflate(lim *limits) {
	all := j.streams[0]
	for m := range metricCount {
		lim.inflation[m] = 1
		if t := &all.sums[m]; t.newTrials > 0 {
			r, rate := all.old[m], t.expected/t.newTrials
			r.add(t, rate)
			lim.inflation[m] = r.inflation(t, rate)
		}
	}
}

// spread finds the failure domain with the most events over all routes.
func (j *Judge) spread() {
	all := j.streams[0]
	all.top = [metricCount]tally{}
	for _, s := range j.streams {
		for m := range metricCount {
			if s.domain != "" && s.sums[m].newHits > all.top[m].newHits {
				all.top[m] = s.sums[m]
			}
			if s.domain != "" {
				s.top[m] = s.sums[m]
			}
		}
	}
}

func (j *Judge) rebase() {
	for _, r := range j.routes {
		r.sum = histogramBase{}
	}
	for _, c := range j.order {
		c.takeOld(j.overloaded)
		c.route.sum.merge(&c.base)
	}
	j.overloaded = false
	for _, c := range j.order {
		c.rebase()
	}
}

// beginStep remembers the counts at the start of a step.
func (j *Judge) beginStep(m *pb.Move, e *Evidence) {
	if j.stepKnown && m.GetStep() == j.step {
		return
	}
	j.step, j.stepKnown = m.GetStep(), true
	for i := range e.Cells {
		j.cell(e.Cells[i].Cell).atStep = e.Cells[i].Pair
	}
}

// limits of the current interval. Latency and rejections say nothing about a
// version whose upstreams get more calls than the old ones ever had.
func (j *Judge) limits(m *pb.Move) limits {
	seconds := float64(m.GetDeadlineUnixMs()-m.GetStartedUnixMs()) / 1000
	comparisons := float64(len(j.streams)) * float64(metricCount) * float64(ratioCount)
	// Each score starts again at every interval at most: one chance of a false alarm each.
	j.threshold = math.Log(comparisons * max(seconds, minLooks) / j.profile.alpha)
	l := limits{
		perInterval: j.threshold / intervalsToAlarm,
		spreadBonus: j.threshold/spreadIntervals - j.threshold/intervalsToAlarm,
		ceiling:     j.threshold * ceilingFactor,
		confirmable: j.pooledShare < fullShare,
	}
	if !j.demand.high() {
		return l
	}
	for metric := metricRejections; metric < metricCount; metric++ {
		l.muteReference[metric] = true
		l.muteConcurrent[metric] = j.pooledShare > evenShare
	}
	return l
}

const (
	minLooks = 60
	// firstRebase makes thresholds known before the first calls of the new version.
	firstRebase = 2
	// intervalsToAlarm intervals are needed at least: a crashed host loses calls in
	// one or two of them.
	intervalsToAlarm = 5
	// spreadIntervals are enough for a fault that several failure domains see.
	spreadIntervals = 2
	ceilingFactor   = 1.3
	evenShare       = 600
)

// sharesOf returns the share per failure domain and the highest one.
func sharesOf(m *pb.Move) (shares map[string]uint32, highest uint32) {
	shares = make(map[string]uint32, len(m.GetDomains()))
	for _, d := range m.GetDomains() {
		shares[d.GetFailureDomain()] = d.GetNewPermille()
		highest = max(highest, d.GetNewPermille())
	}
	return shares, highest
}
