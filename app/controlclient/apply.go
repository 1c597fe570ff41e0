package controlclient

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// apply builds a new view from a response. A plan or rollouts older than those of
// the current view are ignored.
func (a *Attachment) apply(r *pb.MeshServiceSyncResponse) {
	now := time.Now()
	old := a.view.Load()
	next := *old
	if r.GetConfirmed() {
		next.ConfirmedAt = now
	}
	if len(r.GetControlHosts()) > 0 {
		a.hosts = r.GetControlHosts()
	}
	if len(r.GetPlanPayload()) > 0 && (old.Plan == nil || r.GetPlanSerial() > old.Plan.Serial) {
		p, err := plan.Decode(r.GetPlanPayload())
		if err != nil {
			_ = a.logger.Log("event", "plan not readable", "serial", r.GetPlanSerial(), "host", a.host, "err", err)
			return
		}
		next.Plan = plan.NewTable(p, r.GetPlanSerial())
		_ = a.logger.Log("event", "plan in force", "plan", p.GetNumber(), "serial", r.GetPlanSerial(), "host", a.host, "confirmed", r.GetConfirmed())
	}
	if r.GetStateIndex() >= old.State {
		a.logRolloutSteps(old, r)
		next.State = r.GetStateIndex()
		next.Rollouts = make(map[string]*pb.Rollout, len(r.GetRollouts()))
		for _, o := range r.GetRollouts() {
			next.Rollouts[o.GetService()] = o
		}
	}
	a.applyTable(r, &next, now)
	a.view.Store(&next)
	if a.options.OnChange != nil {
		a.options.OnChange(&next)
	}
}

// applyTable applies the node records of a response and remembers the position in
// the table of the control host.
func (a *Attachment) applyTable(r *pb.MeshServiceSyncResponse, next *View, now time.Time) {
	if r.GetTableEpoch() == 0 {
		return // the request did not ask for the table
	}
	if len(a.positions) > maxPositions {
		clear(a.positions)
	}
	a.positions[a.host] = position{epoch: r.GetTableEpoch(), version: r.GetTableVersion()}
	if r.GetTableWhole() || len(r.GetRecords()) > 0 || len(a.records.absent) > 0 {
		a.records.apply(r.GetTableWhole(), r.GetRecords(), now)
		a.raiseEpoch(a.records.byNode[a.options.Node])
		next.Endpoints, next.Nodes = a.records.endpoints(now)
	}
}

// raiseEpoch raises the epoch of the own record above that of a record which an earlier
// process of this node left while its clock was ahead.
func (a *Attachment) raiseEpoch(own *pb.NodeRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if own.GetEpoch() > a.self.GetEpoch() {
		a.self = proto.CloneOf(a.self)
		a.self.Epoch = own.GetEpoch() + 1
	}
}

// logRolloutSteps logs the rollouts whose step changed.
func (a *Attachment) logRolloutSteps(old *View, r *pb.MeshServiceSyncResponse) {
	for _, o := range r.GetRollouts() {
		b := old.Rollouts[o.GetService()]
		if b.GetStep() != o.GetStep() || b.GetSerial() != o.GetSerial() {
			_ = a.logger.Log("event", "rollout step in force", "service", o.GetService(), "version", o.GetTargetVersion(),
				"phase", o.GetPhase(), "share_permille", o.GetSharePermille(), "reason", o.GetReason())
		}
	}
}
