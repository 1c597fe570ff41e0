package attach

import (
	"time"

	"github.com/rattanfield/rattanfield/core/condition"
	"github.com/rattanfield/rattanfield/core/plan"
	"github.com/rattanfield/rattanfield/core/roster"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// View is what a node knows of the mesh at one moment. It is immutable.
type View struct {
	Plan *plan.Table // nil until a control host gave one
	// State is how many changes of the plan and of rollouts had been accepted.
	State     uint64
	Rollouts  map[string]*pb.Rollout
	Endpoints map[string][]*Endpoint // by service
	// Nodes is the number of nodes that are heard.
	Nodes int
	// Received is when the view was last confirmed by a control host with a quorum.
	Received time.Time
}

// Endpoint is an upstream that other nodes can reach through its node.
type Endpoint struct {
	Gate     string // address (IP:port) of the node's gate
	Instance string
	Version  string
	Slots    int
	Link     ports.Link
	Leaving  bool
	Silent   bool // control hosts do not hear from the node
	// Condition of the upstream as its node told it.
	Condition condition.Condition
	WarmAt    time.Time // end of the slow start
	First     time.Time // when this node learned of it
}

// Age of the view; views of before the first confirmation count as infinitely old.
func (v *View) Age(now time.Time) time.Duration {
	if v.Received.IsZero() {
		return 1<<63 - 1
	}
	return now.Sub(v.Received)
}

// records is the copy of the table that the views are built from.
type records struct {
	domain  string
	region  string
	byNode  map[string]*pb.NodeRecord
	absent  map[string]time.Time // nodes that the table of the present control host lacks, and since when
	learned map[string]*Endpoint // by node and instance; keeps First and WarmAt
}

// absentKeep is how long a node stays usable that a control host does not know:
// a control host that has just started learns the table within that time.
const absentKeep = 5 * time.Second

func (r *records) apply(whole bool, changed []*pb.NodeRecord, now time.Time) {
	if whole {
		r.absent = make(map[string]time.Time)
		for node := range r.byNode {
			r.absent[node] = now
		}
	}
	for _, n := range changed {
		delete(r.absent, n.GetNode())
		if old := r.byNode[n.GetNode()]; old != nil && roster.Newer(old, n) {
			continue
		}
		r.byNode[n.GetNode()] = n
		key := n.GetNode() + " " + n.GetInstance()
		if r.learned[key] == nil && n.GetInstance() != "" {
			r.learned[key] = &Endpoint{First: now, WarmAt: now.Add(time.Duration(n.GetColdMs()) * time.Millisecond)}
		}
	}
	for node, since := range r.absent {
		if now.Sub(since) > absentKeep {
			delete(r.absent, node)
			delete(r.byNode, node)
		}
	}
	if len(r.learned) > maxLearned {
		clear(r.learned)
	}
}

// maxLearned bounds what is remembered of upstreams that are gone.
const maxLearned = 8192

func (r *records) endpoints(now time.Time) (map[string][]*Endpoint, int) {
	out, nodes := make(map[string][]*Endpoint), 0
	for _, n := range r.byNode {
		if !n.GetSilent() {
			nodes++
		}
		if n.GetState() != pb.UpstreamState_UPSTREAM_STATE_SERVING && n.GetState() != pb.UpstreamState_UPSTREAM_STATE_LEAVING {
			continue
		}
		e := &Endpoint{
			Gate: n.GetNode(), Instance: n.GetInstance(), Version: n.GetVersion(), Slots: int(n.GetSlots()),
			Link: r.link(n), Leaving: n.GetState() == pb.UpstreamState_UPSTREAM_STATE_LEAVING, Silent: n.GetSilent(), First: now,
		}
		e.Condition = condition.Condition{Slow: time.Duration(n.GetSlowMs()) * time.Millisecond, Failing: n.GetFailingPercent()}
		if l := r.learned[n.GetNode()+" "+n.GetInstance()]; l != nil {
			e.First, e.WarmAt = l.First, l.WarmAt
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
