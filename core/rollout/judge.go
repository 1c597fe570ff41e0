// Package rollout decides the steps of a rollout, the change to a new version within
// seconds (message Rollout): the share of the new version, when the rollout is
// complete and when it is reverted. The moves of traffic that last minutes (message
// Move) are decided by package move. Package rollout does no I/O and reads no clock.
//
// The share grows in steps that bound the fraction of all requests that a bad
// version receives, whenever its fault begins and even if the fault shows only
// under full load. A version is bad if, on any route, it fails requests that the
// old one would not fail, which a likelihood ratio test detects, or if its
// response times are much longer.
package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Counts holds the number of requests that ended and their outcomes. Requests that did not
// run or that the caller cancelled are not counted.
type Counts struct {
	Requests     uint64        // requests that ended, with an answer or without one
	Failed       uint64        // of Requests: error answers, timeouts and lost connections
	ErrorAnswers uint64        // of Failed: errors that the upstream itself answered, except gateway timeouts
	Time         time.Duration // sum of the response times
	Times        Histogram     // of the response times
}

func (c Counts) plus(o Counts) Counts {
	return Counts{
		Requests: c.Requests + o.Requests, Failed: c.Failed + o.Failed, ErrorAnswers: c.ErrorAnswers + o.ErrorAnswers, Time: c.Time + o.Time,
		Times: c.Times.plus(o.Times),
	}
}

// addedSince returns what was added since the earlier counts o. If a counter is lower than
// in o, the node has restarted and counts from zero, and all of c is new.
func (c Counts) addedSince(o Counts) Counts {
	if c.Requests < o.Requests || c.Failed < o.Failed || c.ErrorAnswers < o.ErrorAnswers || c.Time < o.Time {
		return c
	}
	return Counts{
		Requests: c.Requests - o.Requests, Failed: c.Failed - o.Failed, ErrorAnswers: c.ErrorAnswers - o.ErrorAnswers, Time: c.Time - o.Time,
		Times: c.Times.minus(o.Times),
	}
}

// Route holds the counts of one route for the new version and for the others, with which it
// is compared.
type Route struct {
	New, Old Counts
}

func (r Route) plus(o Route) Route { return Route{New: r.New.plus(o.New), Old: r.Old.plus(o.Old)} }

// UpstreamCounts holds the counts of one upstream on one route since the rollout began.
type UpstreamCounts struct {
	Upstream string // identifies the upstream and the run of the process that counts
	Route    string
	New      bool // the upstream runs the new version
	Counts   Counts
}

// Input holds what one decision is based on.
type Input struct {
	Elapsed, Duration time.Duration
	SharePermille     uint32           // share of the new version that is in force
	UpstreamCounts    []UpstreamCounts // cumulative since the rollout began
	// Ready reports whether at least one upstream of the new version serves.
	Ready bool
}

// fraction returns the fraction of the duration that has passed.
func (in Input) fraction() float64 { return float64(in.Elapsed) / float64(max(in.Duration, 1)) }

// Decision is the result of one call of Judge.Decide.
type Decision struct {
	Phase         pb.RolloutPhase
	SharePermille uint32 // share of the new version from now on; 0 if it is reverted
	Reason        string // shown to operators
}

// startWindow is the elapsed time up to which a new judge uses all counts so far. A judge
// that starts later has not observed the shares under which they were counted.
const startWindow = time.Second

// Judge decides the steps of one rollout. It is not safe for concurrent use.
type Judge struct {
	started           bool // the first decision was made
	followedFromStart bool // that decision was made within startWindow
	progress          scheduleProgress
	loadSkew          loadSkew
	lastCounts        map[counterKey]Counts // of the last decision
	routes            map[string]*route     // by route name
	slowEvidence      float64               // log likelihood ratio of the slow answers at the last decision
	slowRoute         string                // route with that evidence, or allRoutes
}

type counterKey struct{ upstream, route string }

// route is the state of the judge for one route.
type route struct {
	history  []Route // counts of the last maxHistory intervals, oldest first
	evidence float64 // log likelihood ratio at the last decision
	times    responseTimes
}

// NewJudge returns a judge for one rollout. The bound is the exposure bound: the fraction of
// all requests in the duration that a bad version may receive; 0 stands for DefaultBound.
func NewJudge(bound float64) *Judge {
	return &Judge{progress: scheduleProgress{schedule: newSchedule(bound)}, lastCounts: make(map[counterKey]Counts), routes: make(map[string]*route)}
}

// Decide evaluates the counts and returns the phase and the share that apply from now on. It
// must be called every 200 ms, which is one decision interval.
func (j *Judge) Decide(in Input) Decision {
	d := j.decide(in)
	j.progress.recordDecision(in, d.SharePermille)
	return d
}

func (j *Judge) decide(in Input) Decision {
	if reason := j.revertReason(in, j.update(in)); reason != "" {
		return Decision{Phase: pb.RolloutPhase_ROLLOUT_PHASE_REVERTED, Reason: reason}
	}
	fraction := in.fraction()
	running := func(share uint32, reason string) Decision {
		return Decision{Phase: pb.RolloutPhase_ROLLOUT_PHASE_RUNNING, SharePermille: share, Reason: reason}
	}
	switch worstRoute, evidence := j.worstRoute(); {
	case !in.Ready:
		return running(max(j.progress.canary[0].share, in.SharePermille), "no upstream of the new version serves")
	case worstRoute != "" && fraction >= holdDeadline:
		return Decision{
			Phase:  pb.RolloutPhase_ROLLOUT_PHASE_REVERTED,
			Reason: fmt.Sprintf("route %s: failures or slow answers not explained by the end of the time, evidence %.1f", worstRoute, evidence),
		}
	case worstRoute != "":
		return running(in.SharePermille, fmt.Sprintf("route %s: more failures or slow answers than on the old version, evidence %.1f", worstRoute, evidence))
	case fraction >= completeAt && in.SharePermille == fullShare && j.progress.heldFor(in, j.progress.minFullFraction):
		return Decision{Phase: pb.RolloutPhase_ROLLOUT_PHASE_COMPLETE, SharePermille: fullShare, Reason: "no fault was seen"}
	}
	return running(j.progress.nextShare(in, fraction, j.loadSkew.skew()), fmt.Sprintf("%.0f%% of the time has passed", 100*fraction))
}

// worstRoute returns the route with the strongest evidence against the new version and that
// evidence, or "" if no route has enough to hold the share. While there is one, the share is
// not raised.
func (j *Judge) worstRoute() (name string, evidence float64) {
	for n, r := range j.routes {
		if r.evidence >= holdEvidence && r.evidence > evidence {
			name, evidence = n, r.evidence
		}
	}
	if name == "" && j.slowEvidence >= holdSlowEvidence {
		return j.slowRoute, j.slowEvidence
	}
	return name, evidence
}

// update records the share in force and the counts, and returns what was added to the counts
// of each route since the last decision.
func (j *Judge) update(in Input) map[string]Route {
	j.progress.observeShare(in, !j.started)
	if !j.started {
		j.started, j.followedFromStart = true, in.Elapsed <= startWindow
	}
	increments := j.countsAdded(in.UpstreamCounts)
	if in.fraction() < j.progress.ramp[0].from {
		all := Route{}
		for _, increment := range increments {
			all = all.plus(increment)
		}
		j.loadSkew.add(all, in.SharePermille)
	}
	return increments
}

// revertReason returns why the new version must be reverted, or "".
func (j *Judge) revertReason(in Input, increments map[string]Route) string {
	for name, r := range j.routes {
		increment := increments[name]
		if reason := r.failures(name, increment); reason != "" {
			return reason
		}
	}
	return j.slowness(in.Elapsed)
}

// countsAdded returns what was added to the counts of each route since the last decision.
func (j *Judge) countsAdded(counts []UpstreamCounts) map[string]Route {
	increments := make(map[string]Route)
	for _, a := range counts {
		if j.routes[a.Route] == nil {
			j.routes[a.Route] = &route{}
		}
		key := counterKey{upstream: a.Upstream, route: a.Route}
		before, known := j.lastCounts[key]
		j.lastCounts[key] = a.Counts
		if !known && !j.followedFromStart {
			continue
		}
		increment, added := increments[a.Route], a.Counts.addedSince(before)
		if a.New {
			increment.New = increment.New.plus(added)
		} else {
			increment.Old = increment.Old.plus(added)
		}
		increments[a.Route] = increment
		j.routes[a.Route].times.add(a.Upstream, a.New, added)
	}
	return increments
}

// lastSecond returns the counts of the last decisionsPerSecond intervals.
func (r *route) lastSecond() Route {
	sum := Route{}
	for _, increment := range r.history[max(0, len(r.history)-decisionsPerSecond):] {
		sum = sum.plus(increment)
	}
	return sum
}

// Evidence holds the outcomes that the judge compared on one route at its last decision.
type Evidence struct {
	Route      string
	LastSecond Route // counts of the last second
	// Ratio is the log likelihood ratio. From holdEvidence on, the share is not raised. The
	// version is reverted from revertEvidence on, or from revertEvidenceMany on with
	// manyExcessErrors.
	Ratio float64
	// NewMeanTime is the mean response time of the new version in the last second.
	NewMeanTime time.Duration
	// SlowAbove is the response time above which an answer counts as slow; 0: not known yet. NewSlow
	// and OldSlow are the shares of such answers on the typical upstreams of both versions.
	SlowAbove        time.Duration
	NewSlow, OldSlow float64
}

// EvidenceByRoute returns the evidence of each route, strongest first.
func (j *Judge) EvidenceByRoute() []Evidence {
	out := make([]Evidence, 0, len(j.routes))
	for name, r := range j.routes {
		second := r.lastSecond()
		out = append(out, Evidence{
			Route: name, LastSecond: second, Ratio: r.evidence, NewMeanTime: second.New.meanTime(),
			SlowAbove: r.times.bound, NewSlow: r.times.compared.newRate(), OldSlow: r.times.compared.oldRate(),
		})
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(b.Ratio, a.Ratio), cmp.Compare(b.LastSecond.New.Requests, a.LastSecond.New.Requests), cmp.Compare(a.Route, b.Route))
	})
	return out
}
