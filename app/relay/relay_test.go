package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

// fakeHost replaces the replicated log and the circuit breakers of a control host.
type fakeHost struct {
	mu      sync.Mutex
	current *pb.Configuration
	changed chan struct{}
	age     time.Duration
	braked  []string
}

func newFakeHost() *fakeHost {
	c := &pb.Configuration{Revision: 1, Services: []*pb.Service{newService("a", 1), newService("b", 1)}}
	for i := range 40 {
		c.Routes = append(c.Routes, &pb.Route{Name: fmt.Sprintf("r%02d", i), PathPrefix: fmt.Sprintf("/%d", i), Service: "a"})
	}
	return &fakeHost{current: c, changed: make(chan struct{})}
}

func newService(name string, timeout uint32) *pb.Service {
	return &pb.Service{Name: name, ActiveVersion: "1", Limits: &pb.Limits{Slots: 1, TimeoutMs: timeout}}
}

func (h *fakeHost) set(c *pb.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = c
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *fakeHost) accept(s *pb.Service) *pb.Configuration {
	c := h.State().Configuration
	next := config.Apply(c, []*pb.Change{{Change: &pb.Change_PutService{PutService: s}}}, c.GetRevision()+1)
	h.set(next)
	return next
}

func (h *fakeHost) State() *ports.AppliedState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &ports.AppliedState{Configuration: h.current}
}

func (h *fakeHost) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

func (h *fakeHost) ConfirmRead(context.Context) error {
	if h.ConfirmedAge() > 0 {
		return errors.New("no quorum")
	}
	return nil
}

func (h *fakeHost) ConfirmedAge() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.age
}

func (h *fakeHost) BrakedMoves(string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.braked
}

func newRelay(h *fakeHost, o Options) *Relay {
	o.ID, o.FailureDomain, o.Region = "r1", "x", "east"
	return New(o, Dependencies{State: h, Quorum: h, Brakes: h, Client: rpc.NewClient(rpc.Options{})})
}

func (r *Relay) mustSync(t *testing.T, m *pb.SyncRequest) *pb.SyncResponse {
	t.Helper()
	m.FailureDomain = "x"
	if m.Interests == nil {
		m.Interests = &pb.Interests{Services: []string{"a"}}
	}
	response, err := service{r}.Sync(context.Background(), connect.NewRequest(m))
	if err != nil {
		t.Fatal(err)
	}
	return response.Msg
}

const (
	unchanged   = pb.SyncKind_SYNC_KIND_UNCHANGED
	delta       = pb.SyncKind_SYNC_KIND_DELTA
	snapshot    = pb.SyncKind_SYNC_KIND_SNAPSHOT
	retryLater  = pb.SyncKind_SYNC_KIND_RETRY_LATER
	unconfirmed = pb.SyncKind_SYNC_KIND_UNCONFIRMED
)

// TestResponseMatchesStateOfNode checks the choice of the response: its revision is never
// below the revision or the floor of the node, and a delta never starts from a base
// that the node does not have.
func TestResponseMatchesStateOfNode(t *testing.T) {
	is := is.New(t)
	h := newFakeHost()
	r := newRelay(h, Options{History: 3})
	hashes := map[uint64]uint64{}
	for revision := uint64(1); revision <= 5; revision++ {
		hashes[revision] = config.Hash(config.Project(h.State().Configuration, &pb.Interests{Services: []string{"a"}}))
		if revision < 5 {
			h.accept(newService("a", uint32(revision+10)))
			r.publish()
		}
	}
	for _, c := range []struct {
		name    string
		request *pb.SyncRequest
		kind    pb.SyncKind
	}{
		{"nothing", &pb.SyncRequest{}, snapshot},
		{"current", &pb.SyncRequest{HaveRevision: 5, HaveHash: hashes[5]}, unchanged},
		{"base in history", &pb.SyncRequest{HaveRevision: 4, HaveHash: hashes[4]}, delta},
		{"base older than history", &pb.SyncRequest{HaveRevision: 1, HaveHash: hashes[1]}, snapshot},
		{"other content at the base", &pb.SyncRequest{HaveRevision: 4, HaveHash: hashes[4] + 1}, snapshot},
		{"mismatch reported", &pb.SyncRequest{HaveRevision: 4, HaveHash: hashes[4], Snapshot: true}, snapshot},
		{"newer node", &pb.SyncRequest{HaveRevision: 6, HaveHash: 1}, unconfirmed},
		{"higher floor", &pb.SyncRequest{Floor: 6}, unconfirmed},
		{"confirmed", &pb.SyncRequest{Confirmed: true}, snapshot},
	} {
		got := r.mustSync(t, c.request)
		is.Equal(got.GetKind(), c.kind) // name describes the case
		if c.kind != unconfirmed {
			is.Equal(got.GetRevision(), uint64(5))
			is.True(got.GetConfirmed())
		}
	}
	h.age = time.Hour
	is.Equal(r.mustSync(t, &pb.SyncRequest{Confirmed: true}).GetKind(), unconfirmed)
	stale := r.mustSync(t, &pb.SyncRequest{HaveRevision: 4, HaveHash: hashes[4]})
	is.True(!stale.GetConfirmed()) // served as unconfirmed, with its age
	is.Equal(stale.GetConfirmedAgeMs(), uint32(time.Hour.Milliseconds()))
}

// TestDeltaIsMadeOncePerInterestSet checks the cost of a change: one delta is computed
// for all nodes of an interest set, and nodes that the change does not concern receive
// no payload.
func TestDeltaIsMadeOncePerInterestSet(t *testing.T) {
	is := is.New(t)
	h := newFakeHost()
	r := newRelay(h, Options{})
	have := map[string]uint64{}
	for _, s := range []string{"a", "b"} {
		have[s] = r.mustSync(t, &pb.SyncRequest{Interests: &pb.Interests{Services: []string{s}}}).GetHash()
	}
	h.accept(newService("a", 2))
	r.publish()
	ask := func(s string) *pb.SyncResponse {
		return r.mustSync(t, &pb.SyncRequest{Interests: &pb.Interests{Services: []string{s}}, HaveRevision: 1, HaveHash: have[s]})
	}
	first, second := ask("a"), ask("a")
	is.Equal(first.GetKind(), delta)
	is.True(&first.Payload[0] == &second.Payload[0]) // both share one encoding
	other := ask("b")
	is.Equal(other.GetKind(), unchanged)
	is.Equal(other.GetRevision(), uint64(2)) // the revision applies to this interest set as well
	is.Equal(len(r.caches.byKey), 2)
	r.caches.trim(time.Now().Add(2 * cacheIdleTTL))
	is.Equal(len(r.caches.byKey), 0)
}

// TestAdmissionLimitsSnapshotsOnly guards against overload in a reconnect storm. Above
// the limit, requests that need a snapshot are told when to retry, and nodes that need
// no snapshot are served as usual.
func TestAdmissionLimitsSnapshotsOnly(t *testing.T) {
	is := is.New(t)
	r := newRelay(newFakeHost(), Options{SnapshotsPerSecond: 0.001, SnapshotBurst: 1})
	first := r.mustSync(t, &pb.SyncRequest{})
	is.Equal(first.GetKind(), snapshot)
	rejected := r.mustSync(t, &pb.SyncRequest{})
	is.Equal(rejected.GetKind(), retryLater)
	is.True(rejected.GetRetryAfterMs() > 0 && len(rejected.GetPayload()) == 0)
	is.Equal(r.mustSync(t, &pb.SyncRequest{HaveRevision: 1, HaveHash: first.GetHash()}).GetKind(), unchanged)
}

// TestLongPollEndsForBrakesAndLostQuorum checks that a waiting node is answered at once
// when brakes change or the quorum is lost, and not only when the configuration changes.
func TestLongPollEndsForBrakesAndLostQuorum(t *testing.T) {
	is := is.New(t)
	h := newFakeHost()
	r := newRelay(h, Options{})
	r.checkConfirmed()
	hash := r.mustSync(t, &pb.SyncRequest{}).GetHash()
	wait := func(change func(), braked ...string) *pb.SyncResponse {
		answer := make(chan *pb.SyncResponse, 1)
		go func() {
			answer <- r.mustSync(t, &pb.SyncRequest{HaveRevision: 1, HaveHash: hash, WaitMs: 25000, BrakedMoves: braked})
		}()
		select {
		case <-answer:
			t.Fatal("the poll was answered although nothing changed")
		case <-time.After(20 * time.Millisecond):
		}
		change()
		return <-answer
	}
	response := wait(func() {
		h.mu.Lock()
		h.braked = []string{"m1"}
		h.mu.Unlock()
		r.checkBrakes()
	})
	is.Equal(response.GetBrakedMoves(), []string{"m1"})
	response = wait(func() {
		h.mu.Lock()
		h.age = time.Hour
		h.mu.Unlock()
		r.checkConfirmed()
	}, "m1")
	is.True(!response.GetConfirmed())
}

// TestSummariesReportLag checks the status of nodes: the common revision of a summary
// is used only if both relays know the same nodes, lagging nodes are listed, and a
// summary never lowers a revision.
func TestSummariesReportLag(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	h := newFakeHost()
	r := newRelay(h, Options{Now: func() time.Time { return now }})
	records := []*pb.EndpointRecord{
		{NodeId: "n1", FailureDomain: "x", Incarnation: 1, Sequence: 1, State: pb.EndpointState_ENDPOINT_STATE_SERVING},
		{NodeId: "n2", FailureDomain: "x", Incarnation: 1, Sequence: 1, State: pb.EndpointState_ENDPOINT_STATE_SERVING},
	}
	sync := func(id string, revision uint64) {
		r.recordRequest(&pb.SyncRequest{NodeId: id, HaveRevision: revision, WaitMs: 1})
	}
	summary := func() *pb.RelaySummary {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.ownSummaryLocked(records, now)
	}
	now = now.Add(time.Minute)
	r.recordRequest(&pb.SyncRequest{NodeId: "n1", HaveRevision: 1})
	is.Equal(summary().GetRevision(), uint64(1))
	is.Equal(len(summary().GetExceptions()), 2) // n1 sent a request without a wait, so it follows another relay
	sync("n1", 1)
	sync("n2", 1)
	is.Equal(summary().GetRevision(), uint64(1))
	h.accept(newService("a", 2))
	r.publish()
	sync("n1", 2)
	inFlight := summary()
	is.Equal(inFlight.GetRevision(), uint64(1)) // n2 has lagged for less than lagGrace
	is.Equal(len(inFlight.GetExceptions()), 0)
	now = now.Add(lagGrace + 1)
	lagging := summary()
	is.Equal(lagging.GetRevision(), uint64(2))
	is.Equal(len(lagging.GetExceptions()), 1)
	is.Equal(lagging.GetExceptions()[0].GetNodeId(), "n2")

	other := newRelay(newFakeHost(), Options{})
	lagging.RelayId, lagging.Instance, lagging.Sequence = "r2", 1, 1
	applySummary := func(s *pb.RelaySummary, known []*pb.EndpointRecord) {
		other.mu.Lock()
		defer other.mu.Unlock()
		other.applySummaryLocked(s, known)
	}
	applySummary(lagging, append(records, &pb.EndpointRecord{NodeId: "n3", FailureDomain: "x"}))
	is.True(other.nodes["n1"] == nil) // r2 does not know n3, so its common revision covers a different set of nodes
	applySummary(lagging, records)
	is.Equal(other.nodes["n1"].applied, uint64(2))
	is.Equal(other.nodes["n2"].applied, uint64(1))
	applySummary(&pb.RelaySummary{RelayId: "r2", Exceptions: []*pb.NodeApplied{{NodeId: "n1", Revision: 1}}}, records)
	is.Equal(other.nodes["n1"].applied, uint64(2))
}
