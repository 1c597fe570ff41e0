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

// fake is a relay or recorder whose answers the test decides.
type fake struct {
	rattanfieldv1connect.UnimplementedDistributionServiceHandler
	address string

	mu       sync.Mutex
	answer   func(n int, r *pb.SyncRequest) *pb.SyncResponse // n counts requests
	requests []*pb.SyncRequest
	record   func(revision uint64) bool
	recorded []uint64
}

func (f *fake) Sync(ctx context.Context, req *connect.Request[pb.SyncRequest]) (*connect.Response[pb.SyncResponse], error) {
	f.mu.Lock()
	f.requests = append(f.requests, req.Msg)
	r := f.answer(len(f.requests), req.Msg)
	f.mu.Unlock()
	if r == nil { // nothing new
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(req.Msg.GetWaitMs()) * time.Millisecond):
		}
		r = &pb.SyncResponse{Kind: pb.SyncKind_SYNC_KIND_UNCHANGED, Revision: req.Msg.GetHaveRevision(), Hash: req.Msg.GetHaveHash()}
	}
	r.Confirmed = true
	return connect.NewResponse(r), nil
}

func (f *fake) RecordFloor(_ context.Context, req *connect.Request[pb.RecordFloorRequest]) (*connect.Response[pb.RecordFloorResponse], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.record != nil && !f.record(req.Msg.GetRevision()) {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("recorder is lost"))
	}
	f.recorded = append(f.recorded, req.Msg.GetRevision())
	return connect.NewResponse(&pb.RecordFloorResponse{Floor: req.Msg.GetRevision()}), nil
}

func (f *fake) kinds() (snapshots, confirmed int) {
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

func serve(t *testing.T, f *fake) *fake {
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

// peersOf are nodes of the failure domain.
type peersOf []*fake

func (p peersOf) Peers() []*pb.EndpointRecord {
	var out []*pb.EndpointRecord
	for i, f := range p {
		out = append(out, &pb.EndpointRecord{NodeId: fmt.Sprintf("peer-%d", i), PeerAddress: f.address})
	}
	return out
}

func run(t *testing.T, relay *fake, peers ...*fake) *Follower {
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

func until(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not reached")
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

// Guards: a response that is damaged, invalid, or of a lower revision changes
// nothing, and the node asks for a snapshot and goes on.
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
			relay := serve(t, &fake{})
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
			f = run(t, relay)
			close(started)
			until(t, func() bool { return f.Revision() == 2 })
			snapshots, _ := relay.kinds()
			is.True(sawOne)
			is.Equal(snapshots > 0, name != "lower" && name != "retry") // a snapshot is asked only where it helps
			is.Equal(f.Projection().Service("a").GetActiveVersion(), "2")
		})
	}
}

// Guards the order of the floor rule: a revision that fewer than two recorders
// hold is not applied; a lost recorder is replaced by the next one.
func TestRevisionIsRecordedBeforeItIsApplied(t *testing.T) {
	is := is.New(t)
	var lost sync.Map // recorders that refuse
	refuse := func(name string) func(uint64) bool {
		return func(uint64) bool { _, isLost := lost.Load(name); return !isLost }
	}
	relay := serve(t, &fake{record: refuse("relay")})
	var offered sync.Map
	relay.answer = func(_ int, r *pb.SyncRequest) *pb.SyncResponse {
		if _, two := offered.Load("two"); two && r.GetHaveRevision() == 1 {
			return snapshot(configuration(2))
		} else if r.GetHaveRevision() == 0 {
			return snapshot(configuration(1))
		}
		return nil
	}
	peers := []*fake{serve(t, &fake{record: refuse("0")}), serve(t, &fake{record: refuse("1")}), serve(t, &fake{record: refuse("2")})}
	f := run(t, relay, peers...)
	until(t, f.FloorKnown)
	for _, name := range []string{"relay", "0", "1"} {
		lost.Store(name, true)
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
	until(t, func() bool { n, _ := count(); return n > before+5 })
	is.Equal(f.Revision(), uint64(1)) // one recorder is not enough
	lost.Delete("1")
	until(t, func() bool { return f.Revision() == 2 })
	_, holders := count()
	is.Equal(holders, 2)
}

// Guards what a node offers its peers: never a confirmation, nothing below their
// floor, and nothing for interests that it does not cover.
func TestPeerServesOnlyWhatItMay(t *testing.T) {
	is := is.New(t)
	relay := serve(t, &fake{answer: func(n int, r *pb.SyncRequest) *pb.SyncResponse {
		if r.GetHaveRevision() == 0 {
			return snapshot(configuration(3))
		}
		return nil
	}})
	f := run(t, relay)
	none := pb.SyncKind_SYNC_KIND_UNCONFIRMED
	a := &pb.Interests{Services: []string{"a"}}
	ask := func(r *pb.SyncRequest) *pb.SyncResponse {
		response, err := service{f}.Sync(context.Background(), connect.NewRequest(r))
		is.NoErr(err)
		return response.Msg
	}
	until(t, f.FloorKnown)
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

// Guards against a node that stays with a relay that is frozen, because each change
// of its interests begins a new poll with its full time.
func TestChangedInterestsDoNotKeepASilentRelay(t *testing.T) {
	const timeout = 200 * time.Millisecond
	one := configuration(1)
	frozen := make(chan struct{})
	first := serve(t, &fake{answer: func(n int, _ *pb.SyncRequest) *pb.SyncResponse {
		if n == 1 {
			return snapshot(one)
		}
		<-frozen
		return nil
	}})
	defer close(frozen)
	asked := make(chan struct{})
	var once sync.Once
	second := serve(t, &fake{answer: func(_ int, r *pb.SyncRequest) *pb.SyncResponse {
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
		t.Fatal("the node still waits for the silent relay")
	}
}
