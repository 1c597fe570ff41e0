package controlclient

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/nodetable"
	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// apply builds a new view from a response. A plan or rollouts older than those of
// the current view, and a plan that cannot be read, are ignored.
func (c *Client) apply(r *pb.MeshServiceSyncResponse) {
	now := time.Now()
	old := c.view.Load()
	next := *old
	if r.GetConfirmed() {
		next.ConfirmedAt = now
	}
	if hosts := dialable(r.GetControlHosts()); len(hosts) > 0 {
		c.hosts = hosts
	}
	if len(r.GetPlanPayload()) > 0 && (old.Plan == nil || r.GetPlanSerial() > old.Plan.Serial) {
		if p, err := plan.Decode(r.GetPlanPayload()); err == nil {
			next.Plan = plan.NewTable(p, r.GetPlanSerial())
			_ = c.logger.Log("event", "plan in force", "plan", p.GetNumber(), "serial", r.GetPlanSerial(), "host", c.host, "confirmed", r.GetConfirmed())
		} else {
			c.unreadablePlan = max(c.unreadablePlan, r.GetPlanSerial())
			_ = c.logger.Log("event", "plan not readable", "serial", r.GetPlanSerial(), "host", c.host, "err", err)
		}
	}
	if r.GetStateIndex() >= old.ChangeCount {
		c.logRolloutSteps(old, r)
		next.ChangeCount = r.GetStateIndex()
		next.Rollouts = make(map[string]*pb.Rollout, len(r.GetRollouts()))
		for _, o := range r.GetRollouts() {
			next.Rollouts[o.GetService()] = o
		}
		next.Evacuated = evacuated(r.GetEvacuations())
		c.logEvacuations(old, &next)
	}
	c.applyTable(r, &next, now)
	c.view.Store(&next)
	if c.options.OnChange != nil {
		c.options.OnChange(&next)
	}
}

// applyTable applies the node records of a response and remembers the position in
// the table of the control host.
func (c *Client) applyTable(r *pb.MeshServiceSyncResponse, next *View, now time.Time) {
	if r.GetTableEpoch() == 0 {
		return // the request did not ask for the table
	}
	if len(c.positions) > maxPositions {
		clear(c.positions)
	}
	if c.positions[c.host].epoch != r.GetTableEpoch() {
		c.suspectsAcked = 0 // the control host has started anew, and may have lost what this request brought
	}
	c.positions[c.host] = position{epoch: r.GetTableEpoch(), version: r.GetTableVersion(), suspects: r.GetSuspectsVersion(), totals: c.positions[c.host].totalsAfter(r)}
	c.options.Suspects.Merge(r.GetSuspects())
	if r.GetTableWhole() || len(r.GetRecords()) > 0 || len(c.records.absent) > 0 {
		c.records.apply(r.GetTableWhole(), r.GetRecords(), now)
		c.raiseEpoch(c.records.byNode[c.options.Node])
		next.Endpoints, next.Nodes = c.records.endpoints(now)
	}
}

// raiseEpoch raises the epoch of this node's record above that of a record which replaces it and
// which this process did not write: one that an earlier process of this node left while its clock
// was ahead, or one of another writer.
func (c *Client) raiseEpoch(own *pb.NodeRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if own != nil && nodetable.Supersedes(own, c.self) {
		c.self = proto.CloneOf(c.self)
		c.self.Epoch = own.GetEpoch() + 1
	}
}

// logRolloutSteps logs the rollouts whose step changed.
func (c *Client) logRolloutSteps(old *View, r *pb.MeshServiceSyncResponse) {
	for _, o := range r.GetRollouts() {
		b := old.Rollouts[o.GetService()]
		if b.GetStep() != o.GetStep() || b.GetSerial() != o.GetSerial() {
			_ = c.logger.Log("event", "rollout step in force", "service", o.GetService(), "version", o.GetTargetVersion(),
				"phase", o.GetPhase(), "share_permille", o.GetSharePermille(), "reason", o.GetReason())
		}
	}
}

// evacuated returns the failure domains whose evacuation is active.
func evacuated(orders []*pb.Evacuation) map[string]bool {
	out := make(map[string]bool, len(orders))
	for _, e := range orders {
		if e.GetActive() {
			out[e.GetFailureDomain()] = true
		}
	}
	return out
}

// logEvacuations logs the failure domains whose evacuation started or ended.
func (c *Client) logEvacuations(old, next *View) {
	for domain := range next.Evacuated {
		if !old.Evacuated[domain] {
			_ = c.logger.Log("event", "evacuation in force", "domain", domain)
		}
	}
	for domain := range old.Evacuated {
		if !next.Evacuated[domain] {
			_ = c.logger.Log("event", "evacuation ended", "domain", domain)
		}
	}
}
