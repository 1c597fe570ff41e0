package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/core/coldstart"
)

const (
	// evacuationNewsTime is how long the news of an evacuation may take to a node in touch. Until then, an entry believes a
	// gate that knows a newer state.
	evacuationNewsTime = 2 * time.Second
	// coldNewsTime is how long the news of a slow start takes to a node at most, after an evacuation has ended. Until
	// then, upstreams of which nothing is known count as cold.
	coldNewsTime = 2 * time.Second
	// evacuatedGateTime is how long a gate that rejects requests for an evacuation of which this node does not know, or no
	// longer knows, is not asked again.
	evacuatedGateTime = 250 * time.Millisecond
	maxAvoidedGates   = 4096
)

// domains is what an entry knows of failure domains beside its view, from the answers of gates. The mutex of the entry guards
// it.
type domains struct {
	changeCount uint64               // of the view that was last followed
	evacuated   map[string]bool      // in that view
	endedAt     map[string]time.Time // ends of evacuations
	// reported are evacuations that gates reported before the view of this node had them.
	reported map[string]reportedEvacuation
	avoided  map[string]time.Time // gates that are not asked until the given time
}

type reportedEvacuation struct {
	changeCount uint64 // of the state in which it was active
	until       time.Time
}

func newDomains() domains {
	return domains{
		evacuated: make(map[string]bool), endedAt: make(map[string]time.Time),
		reported: make(map[string]reportedEvacuation), avoided: make(map[string]time.Time),
	}
}

// follow notes the evacuations that ended since the view before.
func (d *domains) follow(v *controlclient.View, now time.Time) {
	if v.ChangeCount == d.changeCount {
		return
	}
	d.changeCount = v.ChangeCount
	for name := range d.evacuated {
		if !v.Evacuated[name] {
			delete(d.evacuated, name)
			d.endedAt[name] = now
		}
	}
	for name := range v.Evacuated {
		d.evacuated[name] = true
		delete(d.endedAt, name)
	}
	for gate, until := range d.avoided {
		if !now.Before(until) {
			delete(d.avoided, gate)
		}
	}
}

// isEvacuated reports whether an endpoint gets no requests because its failure domain is evacuated.
func (d *domains) isEvacuated(v *controlclient.View, p *controlclient.Endpoint, now time.Time) bool {
	if v.Evacuated[p.FailureDomain] || now.Before(d.avoided[p.Gate]) {
		return true
	}
	r, ok := d.reported[p.FailureDomain]
	return ok && v.ChangeCount < r.changeCount && now.Before(r.until)
}

// report applies the rejection of a gate in an evacuated failure domain, which knows the state changeCount.
func (d *domains) report(v *controlclient.View, domain, gate string, changeCount uint64, now time.Time) {
	if domain != "" && changeCount > v.ChangeCount {
		d.reported[domain] = reportedEvacuation{changeCount, now.Add(evacuationNewsTime)}
		return
	}
	if len(d.avoided) >= maxAvoidedGates {
		clear(d.avoided)
	}
	d.avoided[gate] = now.Add(evacuatedGateTime)
}

// followView notes the changes of evacuations in the view.
func (e *Entry) followView() {
	v, now := e.mesh.View(), time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.domains.follow(v, now)
}

func (e *Entry) coldPolicy(v *controlclient.View, service string) coldPolicy {
	return coldPolicyOf(v, service, e.options.ColdExcess, e.options.ColdSlack)
}

// coldState returns whether the upstream of an endpoint is cold and, if so, whether a request to it is due. Without a bound
// in the plan, a request always is. The caller must hold e.mu.
func (e *Entry) coldState(v *controlclient.View, p *controlclient.Endpoint, bound coldstart.Bound, now time.Time) (cold, due bool) {
	cold = now.Before(p.WarmAt)
	if !bound.Applies() {
		return cold, true
	}
	if reported, known := e.pacer.Reported(now, p.Gate); known {
		cold = reported
	} else if ended, ok := e.domains.endedAt[p.FailureDomain]; ok && now.Sub(ended) < coldNewsTime {
		cold = true
	}
	if !cold {
		e.pacer.Forget(p.Gate)
		return false, true
	}
	return true, e.pacer.Due(now, p.Gate, bound, v.Nodes, e.random.Float64())
}

// exclusion returns the reason why none of the endpoints of a service is a candidate. The caller must hold e.mu.
func (f *forwarding) exclusion(now time.Time) string {
	reason := reasonNoEndpoint
	rank := 0 // of the reason: the further an endpoint came, the more it says
	bound := f.entry.coldPolicy(f.view, f.service).bound
	for _, p := range f.view.Endpoints[f.service] {
		if !f.versions.allow(p.Version) || f.isTried(p.Gate) {
			continue
		}
		cold, due := f.entry.coldState(f.view, p, bound, now)
		switch {
		case !f.info.allowsRegion(p.Region):
			if rank < 1 {
				reason, rank = reasonNoRegion, 1
			}
		case f.entry.domains.isEvacuated(f.view, p, now):
			if rank < 2 {
				reason, rank = reasonEvacuated, 2
			}
		case cold && !due:
			if rank < 3 {
				reason, rank = reasonCold, 3
			}
		default:
			return reasonNoEndpoint // it is leaving, avoided or unreachable
		}
	}
	return reason
}

// countSentCold spreads the next requests to a cold upstream. The caller must hold e.mu.
func (e *Entry) countSentCold(gate string, now time.Time) {
	e.pacer.Sent(now, gate, e.random.Float64())
}

// learnFromGate applies what the answer of a gate tells of evacuations and of the slow start of its upstream. The caller must
// hold e.mu.
func (f *forwarding) learnFromGate(gate string, a attempt, now time.Time) {
	e, h := f.entry, &f.x.Response.Header
	if a.ran == ranNo && a.reason == reasonEvacuated {
		changeCount, _ := strconv.ParseUint(string(h.Peek(hopState)), 10, 64)
		domain := ""
		for _, p := range f.view.Endpoints[f.service] {
			if p.Gate == gate {
				domain = p.FailureDomain
			}
		}
		e.domains.report(f.view, domain, gate, changeCount, now)
	}
	left, room, ok := parseCold(h.Peek(hopCold))
	if !ok {
		return
	}
	e.pacer.Report(now, gate, left)
	if bound := e.coldPolicy(f.view, f.service).bound; bound.Applies() && (a.ran != ranNo || a.reason == reasonCold) {
		e.pacer.Answered(gate, a.reason != reasonCold, room, bound)
	}
}

// parseCold parses the value of hopCold.
func parseCold(v []byte) (left time.Duration, room float64, ok bool) {
	ms, share, found := strings.Cut(string(v), ",")
	left, ok = parseMs([]byte(ms))
	n, err := strconv.Atoi(share)
	return left, float64(n) / 1000, found && ok && err == nil
}

// isFreeReroute reports whether a gate did not run a request for a reason that costs no capacity and says nothing of the
// load: it has no plan or upstream, its failure domain is evacuated or its upstream is cold.
func isFreeReroute(a attempt) bool {
	if a.ran != ranNo {
		return false
	}
	return a.reason == reasonEvacuated || a.reason == reasonCold || a.reason == reasonNoPlan || (a.reason == reasonNoUpstream && a.latency < quickRejection)
}
