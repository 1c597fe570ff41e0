package controlclient

import (
	"time"

	"github.com/rattanfield/rattanfield/core/condition"
	"github.com/rattanfield/rattanfield/core/nodetable"
	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// View is the state of the mesh as known to a node at one time. It is immutable.
type View struct {
	Plan *plan.Table // nil until the first plan is received
	// ChangeCount counts the accepted changes of the plan, of rollouts and of evacuations.
	ChangeCount uint64
	Rollouts    map[string]*pb.Rollout
	Evacuated   map[string]bool        // failure domains whose upstreams get no requests
	Endpoints   map[string][]*Endpoint // by service
	// Nodes is the number of nodes that are not silent.
	Nodes int
	// ConfirmedAt is the time of the last response from a control host with a quorum.
	ConfirmedAt time.Time
}

// Endpoint is an upstream that other nodes reach through the gate of its node.
type Endpoint struct {
	Gate     string // address (IP:port) of the node's gate
	Instance string
	Version  string
	Slots    int
	Link     ports.Link
	// FailureDomain and Region are those of the upstream's host.
	FailureDomain, Region string
	Leaving               bool
	// StoppingSince is the time at which this node learned that the endpoint is leaving because its node
	// stops; the zero time if it does not.
	StoppingSince time.Time
	Silent        bool // the node has stopped reporting to the control hosts
	// Condition is the condition of the upstream as reported by its node.
	Condition condition.Condition
	WarmAt    time.Time // end of the slow start
	LearnedAt time.Time // time at which this node learned of the endpoint

	slowStart slowStart // that WarmAt was computed from
}

// Age returns the time since the view was last confirmed. It is the largest duration
// if the view was never confirmed.
func (v *View) Age(now time.Time) time.Duration {
	if v.ConfirmedAt.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(v.ConfirmedAt)
}

// records is the copy of the node table from which the views are built.
type records struct {
	domain string
	region string
	byNode map[string]*pb.NodeRecord
	absent map[string]time.Time // nodes missing in the table of the current control host, and since when
	known  map[string]*Endpoint // by node and instance; keeps LearnedAt and WarmAt
}

// absentGrace is how long a node that the control host does not know remains usable. A
// control host that has just started receives the table within that time.
const absentGrace = 5 * time.Second

// apply updates the copy with changed records. whole says that they are the whole
// table of the control host.
func (r *records) apply(whole bool, changed []*pb.NodeRecord, now time.Time) {
	if whole {
		r.absent = make(map[string]time.Time)
		for node := range r.byNode {
			r.absent[node] = now
		}
	}
	for _, n := range changed {
		if !nodetable.ValidRecord(n) {
			continue
		}
		delete(r.absent, n.GetNode())
		if old := r.byNode[n.GetNode()]; old != nil && nodetable.Supersedes(old, n) {
			continue
		}
		r.byNode[n.GetNode()] = n
		r.learn(n, now)
	}
	for node, since := range r.absent {
		if now.Sub(since) > absentGrace {
			delete(r.absent, node)
			delete(r.byNode, node)
		}
	}
	if len(r.known) > maxKnown {
		clear(r.known)
	}
}

// slowStart identifies a statement about the slow start of an upstream. Records repeat it until the next statement.
type slowStart struct {
	epoch  int64
	coldMs uint32
}

// learn keeps the times at which an upstream and the stop of its node became known, and the end of its slow start. A later
// record can bring the end forward, so that one with a wrong number has no lasting effect. One with another statement sets
// it, because the upstream may be cold again.
func (r *records) learn(n *pb.NodeRecord, now time.Time) {
	if n.GetInstance() == "" {
		return
	}
	key := n.GetNode() + " " + n.GetInstance()
	warmAt := now.Add(time.Duration(min(n.GetColdMs(), nodetable.MaxColdMs)) * time.Millisecond)
	stated := slowStart{n.GetEpoch(), n.GetColdMs()}
	if known := r.known[key]; known == nil {
		r.known[key] = &Endpoint{LearnedAt: now, WarmAt: warmAt, slowStart: stated}
	} else if warmAt.Before(known.WarmAt) || stated != known.slowStart {
		known.WarmAt, known.slowStart = warmAt, stated
	}
	switch known := r.known[key]; {
	case !n.GetStopping():
		known.StoppingSince = time.Time{}
	case known.StoppingSince.IsZero():
		known.StoppingSince = now
	}
}

// maxKnown limits the entries of known, which include upstreams that are gone.
const maxKnown = 8192

// endpoints returns the endpoints by service and the number of nodes that are not
// silent.
func (r *records) endpoints(now time.Time) (map[string][]*Endpoint, int) {
	out, nodes := make(map[string][]*Endpoint), 0
	for _, n := range r.byNode {
		if !n.GetSilent() {
			nodes++
		}
		if !nodetable.NamesUpstream(n) {
			continue
		}
		e := &Endpoint{
			Gate: n.GetNode(), Instance: n.GetInstance(), Version: n.GetVersion(), Slots: int(n.GetSlots()),
			Link: r.link(n), FailureDomain: n.GetFailureDomain(), Region: n.GetRegion(), Leaving: n.GetState() == pb.UpstreamState_UPSTREAM_STATE_LEAVING, Silent: n.GetSilent(), LearnedAt: now,
		}
		e.Condition = condition.Condition{Slow: time.Duration(n.GetSlowMs()) * time.Millisecond, Failing: min(n.GetFailingPercent(), 100)}
		if l := r.known[n.GetNode()+" "+n.GetInstance()]; l != nil {
			e.LearnedAt, e.WarmAt, e.StoppingSince = l.LearnedAt, l.WarmAt, l.StoppingSince
		}
		out[n.GetService()] = append(out[n.GetService()], e)
	}
	return out, nodes
}

func (r *records) link(n *pb.NodeRecord) ports.Link {
	switch {
	case n.GetFailureDomain() == r.domain:
		return ports.LinkDomain
	case n.GetRegion() == r.region:
		return ports.LinkRegion
	default:
		return ports.LinkRemote
	}
}
