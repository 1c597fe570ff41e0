package attach

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func (a *Attachment) apply(r *pb.MeshServiceSyncResponse) {
	now := time.Now()
	old := a.view.Load()
	next := *old
	if r.GetConfirmed() {
		next.Received = now
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
		a.logRollouts(old, r)
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

// applyTable takes the records of a response that has some.
func (a *Attachment) applyTable(r *pb.MeshServiceSyncResponse, next *View, now time.Time) {
	if r.GetTableEpoch() == 0 {
		return // none were asked for
	}
	if len(a.tables) > maxTables {
		clear(a.tables)
	}
	a.tables[a.host] = position{epoch: r.GetTableEpoch(), version: r.GetTableVersion()}
	if r.GetTableWhole() || len(r.GetRecords()) > 0 || len(a.records.absent) > 0 {
		a.records.apply(r.GetTableWhole(), r.GetRecords(), now)
		a.outrun(a.records.byNode[a.options.Node])
		next.Endpoints, next.Nodes = a.records.endpoints(now)
	}
}

// outrun makes the own record newer than one of an earlier process whose clock was ahead.
func (a *Attachment) outrun(own *pb.NodeRecord) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if own.GetEpoch() > a.self.GetEpoch() {
		a.self = proto.CloneOf(a.self)
		a.self.Epoch = own.GetEpoch() + 1
	}
}

func (a *Attachment) logRollouts(old *View, r *pb.MeshServiceSyncResponse) {
	for _, o := range r.GetRollouts() {
		b := old.Rollouts[o.GetService()]
		if b.GetStep() != o.GetStep() || b.GetSerial() != o.GetSerial() {
			_ = a.logger.Log("event", "rollout step in force", "service", o.GetService(), "version", o.GetTargetVersion(),
				"phase", o.GetPhase(), "share_permille", o.GetSharePermille(), "reason", o.GetReason())
		}
	}
}
