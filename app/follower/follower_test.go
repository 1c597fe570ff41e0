package follower

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeRelay is a relay or recorder whose responses are set by the test.
type fakeRelay struct {
	rattanfieldv1connect.UnimplementedDistributionServiceHandler
	address string

	mu       sync.Mutex
	answer   func(n int, r *pb.SyncRequest) *pb.SyncResponse // n counts requests; nil stands for no change
	requests []*pb.SyncRequest
	record   func(revision uint64) bool
	recorded []uint64
}

func (f *fakeRelay) Sync(ctx context.Context, req *connect.Request[pb.SyncRequest]) (*connect.Response[pb.SyncResponse], error) {
	f.mu.Lock()
	f.requests = append(f.requests, req.Msg)
	r := f.answer(len(f.requests), req.Msg)
	f.mu.Unlock()
	if r == nil { // no change: hold the poll
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(req.Msg.GetWaitMs()) * time.Millisecond):
		}
		r = &pb.SyncResponse{Kind: pb.SyncKind_SYNC_KIND_UNCHANGED, Revision: req.Msg.GetHaveRevision(), Hash: req.Msg.GetHaveHash()}
	}
	r.Confirmed = true
	return connect.NewResponse(r), nil
}

func (f *fakeRelay) RecordFloor(_ context.Context, req *connect.Request[pb.RecordFloorRequest]) (*connect.Response[pb.RecordFloorResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.record != nil && !f.record(req.Msg.GetRevision()) {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("recorder is unavailable"))
	}
	f.recorded = append(f.recorded, req.Msg.GetRevision())
	return connect.NewResponse(&pb.RecordFloorResponse{Floor: req.Msg.GetRevision()}), nil
}

func (f *fakeRelay) countRequests() (snapshots, confirmed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.requests {
		if r.GetSnapshot() {
			snapshots++
		}
		if r.GetConfirmed() {
			confirmed++
		}
	}
	return snapshots, confirmed
}

func startServer(t *testing.T, f *fakeRelay) *fakeRelay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	server := rpc.NewServer(rpc.NewHandler(rattanfieldv1connect.NewDistributionServiceHandler(f)))
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close(); <-done })
	return f
}

// peersOf implements Peers with the nodes of the failure domain.
type peersOf []*fakeRelay

func (p peersOf) Peers() []*pb.EndpointRecord {
	var out []*pb.EndpointRecord
	for i, f := range p {
		out = append(out, &pb.EndpointRecord{NodeId: fmt.Sprintf("peer-%d", i), PeerAddress: f.address})
	}
	return out
}

func startFollower(t *testing.T, relay *fakeRelay, peers ...*fakeRelay) *Follower {
	t.Helper()
	client := rpc.NewClient(rpc.Options{})
	f := New(Options{
		NodeID: "n", FailureDomain: "x", Interests: &pb.Interests{Services: []string{"a"}},
		Relays:   []Relay{{ID: "r", Address: relay.address, FailureDomain: "x"}},
		PollWait: 100 * time.Millisecond, BackoffCap: 20 * time.Millisecond,
	}, Dependencies{Client: client, Members: peersOf(peers)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done; client.Close() })
	return f
}

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met in time")
		}
	}
}

func configuration(revision uint64) *pb.Configuration {
	return &pb.Configuration{Revision: revision, Services: []*pb.Service{
		{Name: "a", ActiveVersion: fmt.Sprint(revision), Limits: &pb.Limits{Slots: 1}},
	}}
}

func snapshot(c *pb.Configuration) *pb.SyncResponse {
	payload, compressed, _ := config.Encode(c, true)
	return &pb.SyncResponse{Kind: pb.SyncKind_SYNC_KIND_SNAPSHOT, Revision: c.GetRevision(), Hash: config.Hash(c), Payload: payload, Compressed: compressed}
}

func delta(from, to *pb.Configuration) *pb.SyncResponse {
	payload, compressed, _ := config.Encode(config.Diff(from, to), true)
	return &pb.SyncResponse{Kind: pb.SyncKind_SYNC_KIND_DELTA, Revision: to.GetRevision(), Hash: config.Hash(to), Payload: payload, Compressed: compressed}
}

// TestBadResponsesAreNotApplied checks that a response that is damaged, invalid or of a
// lower revision is not applied, and that the node then asks for a snapshot, if that
// helps, and continues.
func TestBadResponsesAreNotApplied(t *testing.T) {
	one, two := configuration(1), configuration(2)
	truncated, wrongHash, dangling, lower := delta(one, two), delta(one, two), configuration(2), snapshot(configuration(0))
	truncated.Payload = truncated.Payload[:len(truncated.Payload)-1]
	wrongHash.Hash++
	dangling.Routes = []*pb.Route{{Name: "r", PathPrefix: "/", Service: "missing"}}
	for name, bad := range map[string]*pb.SyncResponse{
		"truncated": truncated, "wrong hash": wrongHash, "dangling": snapshot(dangling),
		"lower": lower, "other base": delta(configuration(7), two), "retry": {Kind: pb.SyncKind_SYNC_KIND_RETRY_LATER, RetryAfterMs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f *Follower
			var sawOne bool
			relay := startServer(t, &fakeRelay{})
			started := make(chan struct{})
			relay.answer = func(n int, r *pb.SyncRequest) *pb.SyncResponse {
				<-started
				switch {
				case r.GetHaveRevision() == 2:
					return nil
				case n == 1:
					return snapshot(one)
				case n <= 3:
					sawOne = sawOne || f.Revision() == 1
					return bad
				case r.GetSnapshot():
					return snapshot(two)
				}
				return delta(one, two)
			}
			f = startFollower(t, relay)
			close(started)
			waitUntil(t, func() bool { return f.Revision() == 2 })
			snapshots, _ := relay.countRequests()
			is.True(sawOne)
			is.Equal(snapshots > 0, name != "lower" && name != "retry") // a snapshot would not help in these cases
			is.Equal(f.Projection().Service("a").GetActiveVersion(), "2")
		})
	}
}

// TestRevisionIsRecordedBeforeItIsApplied checks that a revision is not applied while
// fewer than two recorders hold it, and that a failed recorder is replaced by the next
// one.
func TestRevisionIsRecordedBeforeItIsApplied(t *testing.T) {
	is := is.New(t)
	var unavailable sync.Map // names of the recorders that reject
	rejectIfUnavailable := func(name string) func(uint64) bool {
		return func(uint64) bool { _, isUnavailable := unavailable.Load(name); return !isUnavailable }
	}
	relay := startServer(t, &fakeRelay{record: rejectIfUnavailable("relay")})
	var offered sync.Map
	relay.answer = func(_ int, r *pb.SyncRequest) *pb.SyncResponse {
		if _, two := offered.Load("two"); two && r.GetHaveRevision() == 1 {
			return snapshot(configuration(2))
		} else if r.GetHaveRevision() == 0 {
			return snapshot(configuration(1))
		}
		return nil
	}
	peers := []*fakeRelay{startServer(t, &fakeRelay{record: rejectIfUnavailable("0")}), startServer(t, &fakeRelay{record: rejectIfUnavailable("1")}), startServer(t, &fakeRelay{record: rejectIfUnavailable("2")})}
	f := startFollower(t, relay, peers...)
	waitUntil(t, f.FloorKnown)
	for _, name := range []string{"relay", "0", "1"} {
		unavailable.Store(name, true)
	}
	offered.Store("two", true)
	count := func() (requests, holders int) {
		relay.mu.Lock()
		requests = len(relay.requests)
		relay.mu.Unlock()
		for _, p := range append(peers, relay) {
			p.mu.Lock()
			for _, r := range p.recorded {
				if r == 2 {
					holders++
					break
				}
			}
			p.mu.Unlock()
		}
		return requests, holders
	}
	before, _ := count()
	waitUntil(t, func() bool { n, _ := count(); return n > before+5 })
	is.Equal(f.Revision(), uint64(1)) // one recorder is not enough
	unavailable.Delete("1")
	waitUntil(t, func() bool { return f.Revision() == 2 })
	_, holders := count()
	is.Equal(holders, 2)
}

// TestPeerServesOnlyCoveredInterestsAboveFloor checks what a node serves to its peers:
// no confirmed responses, no revision below the floor or the revision of the peer, and
// nothing for interests that it does not cover.
func TestPeerServesOnlyCoveredInterestsAboveFloor(t *testing.T) {
	is := is.New(t)
	relay := startServer(t, &fakeRelay{answer: func(n int, r *pb.SyncRequest) *pb.SyncResponse {
		if r.GetHaveRevision() == 0 {
			return snapshot(configuration(3))
		}
		return nil
	}})
	f := startFollower(t, relay)
	none := pb.SyncKind_SYNC_KIND_UNCONFIRMED
	a := &pb.Interests{Services: []string{"a"}}
	ask := func(r *pb.SyncRequest) *pb.SyncResponse {
		response, err := service{f}.Sync(context.Background(), connect.NewRequest(r))
		is.NoErr(err)
		return response.Msg
	}
	waitUntil(t, f.FloorKnown)
	for _, c := range []struct {
		request *pb.SyncRequest
		kind    pb.SyncKind
	}{
		{&pb.SyncRequest{Interests: a, Floor: 3}, pb.SyncKind_SYNC_KIND_SNAPSHOT},
		{&pb.SyncRequest{Interests: a, HaveRevision: 2, HaveHash: config.Hash(configuration(3))}, pb.SyncKind_SYNC_KIND_UNCHANGED},
		{&pb.SyncRequest{Interests: a, Floor: 4}, none},
		{&pb.SyncRequest{Interests: a, HaveRevision: 4}, none},
		{&pb.SyncRequest{Interests: a, Confirmed: true}, none},
		{&pb.SyncRequest{Interests: &pb.Interests{Services: []string{"a", "b"}}}, none},
		{&pb.SyncRequest{Interests: &pb.Interests{All: true}}, none},
	} {
		response := ask(c.request)
		is.Equal(response.GetKind(), c.kind)
		is.True(!response.GetConfirmed())
	}
}

// TestChangedInterestsDoNotExtendPollsOfSilentRelay guards against a node that stays with a
// frozen relay, because each change of its interests starts a new poll with the full
// timeout.
func TestChangedInterestsDoNotExtendPollsOfSilentRelay(t *testing.T) {
	const timeout = 200 * time.Millisecond
	one := configuration(1)
	frozen := make(chan struct{})
	first := startServer(t, &fakeRelay{answer: func(n int, _ *pb.SyncRequest) *pb.SyncResponse {
		if n == 1 {
			return snapshot(one)
		}
		<-frozen
		return nil
	}})
	defer close(frozen)
	asked := make(chan struct{})
	var once sync.Once
	second := startServer(t, &fakeRelay{answer: func(_ int, r *pb.SyncRequest) *pb.SyncResponse {
		if r.GetHaveRevision() == 1 {
			once.Do(func() { close(asked) })
		}
		return nil
	}})
	client := rpc.NewClient(rpc.Options{})
	f := New(Options{
		NodeID: "n", FailureDomain: "x", Interests: &pb.Interests{Services: []string{"a"}},
		Relays:   []Relay{{ID: "1", Address: first.address, FailureDomain: "x"}, {ID: "2", Address: second.address, FailureDomain: "y"}},
		PollWait: timeout, Timeout: timeout, BackoffCap: 20 * time.Millisecond,
	}, Dependencies{Client: client})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = f.Run(ctx) })
	group.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			f.SetInterests(&pb.Interests{Services: []string{"a", fmt.Sprint(n)}})
			time.Sleep(timeout / 4)
		}
	})
	defer func() { cancel(); group.Wait(); client.Close() }()
	select {
	case <-asked:
	case <-time.After(20 * time.Second):
		t.Fatal("the node did not switch to the second relay")
	}
}
