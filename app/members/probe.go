package members

import (
	"context"
	"sync"
	"sync/atomic"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"

	"github.com/rattanfield/rattanfield/app/lifecycle"
)

// probeLoop probes one member of the failure domain per interval, and in each
// interval all members under suspicion.
func (m *Members) probeLoop(ctx context.Context) {
	for lifecycle.Pause(ctx, m.options.Timing.ProbeInterval/2+m.jitter(m.options.Timing.ProbeInterval)) {
		m.probeOnce(ctx)
		m.declareExpired()
	}
}

func (m *Members) probeOnce(ctx context.Context) {
	m.mu.Lock()
	members := make(map[string]*pb.EndpointRecord)
	var ids []string
	for _, r := range m.peersLocked() {
		members[r.GetNodeId()] = r
		ids = append(ids, r.GetNodeId())
	}
	var targets []string
	for _, id := range m.detector.SuspectedMembers() {
		if members[id] != nil {
			targets = append(targets, id)
		}
	}
	if id, ok := m.detector.NextTarget(ids); ok {
		targets = append(targets, id)
	}
	helpers := make([][]string, len(targets))
	for i, id := range targets {
		helpers[i] = m.detector.Helpers(id, ids)
	}
	m.mu.Unlock()

	var group sync.WaitGroup
	for i, id := range targets {
		var via []*pb.EndpointRecord
		for _, h := range helpers[i] {
			via = append(via, members[h])
		}
		group.Go(func() { m.probeMember(ctx, members[id], via) })
	}
	group.Wait()
}

// probeMember probes a member directly and, if it does not answer, through other members.
func (m *Members) probeMember(ctx context.Context, r *pb.EndpointRecord, via []*pb.EndpointRecord) {
	alive := m.probe(ctx, r.GetPeerAddress(), &pb.ProbeRequest{From: m.options.ID, Target: r.GetNodeId()}) ||
		m.probeIndirectly(ctx, r, via)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if alive {
		m.detector.MarkAlive(r.GetNodeId(), m.now())
		return
	}
	m.detector.SuspectMember(r.GetNodeId(), r.GetIncarnation(), r.GetSequence(), m.now())
}

// probeIndirectly asks the members in via to probe a member and reports whether one of
// them got an answer.
func (m *Members) probeIndirectly(ctx context.Context, r *pb.EndpointRecord, via []*pb.EndpointRecord) bool {
	var alive atomic.Bool
	var group sync.WaitGroup
	for _, helper := range via {
		group.Go(func() {
			if m.probe(ctx, helper.GetPeerAddress(), &pb.ProbeRequest{
				From: m.options.ID, Target: r.GetNodeId(), TargetAddress: r.GetPeerAddress(),
			}) {
				alive.Store(true)
			}
		})
	}
	group.Wait()
	return alive.Load()
}

// declareExpired marks the members as down whose suspicion timeout has passed.
func (m *Members) declareExpired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.detector.TakeExpired(m.now()) {
		if r := m.table.DeclareDown(s.ID, s.Incarnation, s.Sequence, m.now()); r != nil {
			m.recordsChangedLocked([]*pb.EndpointRecord{r})
			notify(m.localChanged)
			_ = m.logger.Log("msg", "member is down", "node", s.ID, "incarnation", s.Incarnation)
		}
	}
}
