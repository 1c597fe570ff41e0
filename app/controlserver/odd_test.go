package controlserver

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/rollout"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const serving = pb.UpstreamState_UPSTREAM_STATE_SERVING

// fixedState is a replicated state that does not change. It records the members that join.
type fixedState struct {
	ports.Proposer
	ports.QuorumReader
	ports.Leadership
	admitted []*pb.Member
}

func (*fixedState) State() *ports.AppliedState   { return &ports.AppliedState{} }
func (*fixedState) Changed() <-chan struct{}     { return nil }
func (*fixedState) ConfirmedAge() time.Duration  { return 0 }
func (*fixedState) Leader() (id, address string) { return "", "" }
func (s *fixedState) Admit(_ context.Context, m *pb.Member) error {
	s.admitted = append(s.admitted, m)
	return nil
}

func newTestServer() (*Server, *fixedState) {
	s := &fixedState{}
	return New("127.0.0.9:1", s, rpc.NewClient(rpc.Options{}), log.NewNopLogger()), s
}

func goodRecord(node string, seq uint64) *pb.NodeRecord {
	return &pb.NodeRecord{Node: node, Epoch: 1, Seq: seq, Instance: "i", Service: "s", Version: "v1", Slots: 9, State: serving, Outcomes: []*pb.RouteOutcomes{
		{Route: "r", Rollout: 1, Answered: 4, Failed: 2, Errors: 1, TimeMs: 10, Times: []uint64{4}},
	}}
}

func oddRecords() []*pb.NodeRecord {
	out := []*pb.NodeRecord{nil}
	for _, damage := range []func(r *pb.NodeRecord){
		func(r *pb.NodeRecord) { proto.Reset(r) },
		func(r *pb.NodeRecord) { r.Node = "" },
		func(r *pb.NodeRecord) { r.Epoch = math.MaxInt64 },
		func(r *pb.NodeRecord) { r.Epoch = -1 },
		func(r *pb.NodeRecord) { r.Service = strings.Repeat("s", 1<<20) },
	} {
		r := goodRecord("127.0.0.1:80", math.MaxUint64)
		damage(r)
		out = append(out, r)
	}
	return out
}

func oddOutcomes() []*pb.RouteOutcomes {
	return []*pb.RouteOutcomes{
		{Route: "r", Rollout: 1, Answered: 4, Failed: 5},
		{Route: "r", Rollout: 1, Answered: 4, Failed: 2, Errors: 3},
		{Route: "r", Rollout: 1, Answered: math.MaxUint64},
		{Route: "r", Rollout: 1, Answered: 4, TimeMs: math.MaxUint64},
		{Route: "r", Rollout: 1, Answered: 4, Times: []uint64{5}},
		{Route: "r", Rollout: 1, Answered: math.MaxUint64, Times: []uint64{math.MaxUint64, math.MaxUint64}},
		{Route: "r", Rollout: 1, Failed: math.MaxUint64},
	}
}

// Guards against an odd record, from a node or through another control host, that hides a good one, or
// with which a node that polls does not get the good ones.
func TestOddRecordAmongGoodOnes(t *testing.T) {
	is := is.New(t)
	for _, direct := range []bool{true, false} {
		for i, odd := range oddRecords() {
			s, _ := newTestServer()
			put := func(r *pb.NodeRecord) {
				switch {
				case direct:
					s.storeRecord(proto.CloneOf(r))
				case r == nil:
					s.merge("127.0.0.8:1", nil)
				default:
					s.merge("127.0.0.8:1", []*pb.NodeRecord{proto.CloneOf(r)})
				}
			}
			good := func(node string, seq uint64) *pb.NodeRecord {
				r := goodRecord(node, seq)
				if !direct {
					r.Outcomes = nil // they travel in a record of their own
				}
				return r
			}
			if odd != nil && !direct {
				odd.Outcomes = nil
			}
			put(good("127.0.0.1:80", 1))
			put(odd)
			put(good("127.0.0.2:80", 1))
			left := good("127.0.0.1:80", 2)
			left.State = pb.UpstreamState_UPSTREAM_STATE_LEAVING
			put(left)
			response, _, _ := s.buildResponse(&pb.MeshServiceSyncRequest{})
			n, l := 0, 0
			for _, r := range response.GetRecords() {
				n++
				if r.GetState() != serving {
					l++
				}
			}
			if n != 2 || l != 1 {
				t.Errorf("direct %v, record %d: %d records, %d leave", direct, i, n, l)
			}
			_, err := proto.Marshal(response)
			is.NoErr(err)
		}
	}
}

// Guards against counts that contradict themselves or overflow: the judge of a rollout would see failure
// rates above 1 or negative times from then on.
func TestOddOutcomesAreNotCounted(t *testing.T) {
	is := is.New(t)
	for _, direct := range []bool{true, false} {
		for _, odd := range oddOutcomes() {
			s, _ := newTestServer()
			for i, outcomes := range [][]*pb.RouteOutcomes{{odd}, {odd, goodRecord("", 1).GetOutcomes()[0]}} {
				r := goodRecord("127.0.0.1:80", uint64(i+1))
				r.Outcomes = outcomes
				if direct {
					s.storeRecord(r)
				} else {
					s.merge("127.0.0.8:1", []*pb.NodeRecord{r})
				}
			}
			counted := 0
			s.Outcomes(func(r *pb.NodeRecord, _ time.Duration) {
				for _, o := range r.GetOutcomes() {
					is.True(proto.Equal(o, goodRecord("", 1).GetOutcomes()[0]))
					counted++
				}
			})
			if counted != 1 {
				t.Errorf("direct %v, %v: %d outcomes", direct, odd, counted)
			}
		}
	}
}

// Guards against a member that the other control hosts cannot dial. As a voter it would count for each
// quorum.
func TestMemberWithOddAddressIsNotAdmitted(t *testing.T) {
	is := is.New(t)
	s, state := newTestServer()
	join := func(m *pb.Member) error {
		_, err := service{server: s}.Join(context.Background(), connect.NewRequest(&pb.JoinRequest{Member: m}))
		return err
	}
	for _, m := range []*pb.Member{
		nil,
		{},
		{Id: "a"},
		{Address: "127.0.0.1:1"},
		{Id: "a", Address: "a"},
		{Id: "a", Address: "host:1"},
		{Id: "a", Address: "127.0.0.1"},
		{Id: "a", Address: "127.0.0.1:0"},
		{Id: "a", Address: "127.0.0.1:70000"},
		{Id: "a", Address: ":1"},
		{Id: strings.Repeat("a", 1<<20), Address: "127.0.0.1:1"},
		{Id: "a", Address: "127.0.0.1:1", FailureDomain: strings.Repeat("a", 1<<20)},
		{Id: "a", Address: "127.0.0.1:1", Region: strings.Repeat("a", 1<<20)},
	} {
		if err := join(m); connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Errorf("%.80v: %v", m, err)
		}
	}
	is.Equal(len(state.admitted), 0)
	is.NoErr(join(&pb.Member{Id: "127.0.0.1:1", Address: "127.0.0.1:1", FailureDomain: "d", Region: "r"}))
	is.Equal(len(state.admitted), 1)
}

// Guards against a poll, with any values, that makes a control host panic or hides a good record, and
// against counts with which the judge of a rollout panics.
func FuzzSync(f *testing.F) {
	add := func(r *pb.NodeRecord) {
		b, _ := proto.Marshal(&pb.MeshServiceSyncRequest{Self: r, TableEpoch: -1, TableVersion: math.MaxUint64, HaveState: math.MaxUint64, WaitMs: math.MaxUint32})
		f.Add(b)
	}
	for _, r := range oddRecords() {
		add(r)
	}
	r := goodRecord("127.0.0.1:80", 1)
	r.Outcomes = append(r.Outcomes, oddOutcomes()...)
	add(r)
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &pb.MeshServiceSyncRequest{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		s, _ := newTestServer()
		s.merge("127.0.0.8:1", []*pb.NodeRecord{proto.CloneOf(m.GetSelf())})
		s.storeRecord(m.GetSelf())
		s.storeRecord(goodRecord("127.0.9.9:80", 1))
		response, _, _ := s.buildResponse(m)
		whole, _, _ := s.buildResponse(&pb.MeshServiceSyncRequest{})
		s.ownRecords(&pb.MeshServiceExchangeRequest{TableEpoch: m.GetTableEpoch(), TableVersion: m.GetTableVersion()})
		for _, out := range []*pb.MeshServiceSyncResponse{response, whole} {
			if _, err := proto.Marshal(out); err != nil {
				t.Fatal(err)
			}
		}
		found := m.GetSelf().GetNode() == "127.0.9.9:80"
		for _, r := range whole.GetRecords() {
			found = found || r.GetNode() == "127.0.9.9:80"
		}
		if !found {
			t.Fatal("the good record is missing")
		}
		s.sweep()
		judge := rollout.NewJudge(0.1)
		for elapsed := range time.Duration(3) {
			in := rollout.Input{Duration: 12 * time.Second, Elapsed: elapsed * time.Second, SharePermille: 100, Ready: true}
			s.Outcomes(func(r *pb.NodeRecord, _ time.Duration) {
				for _, o := range r.GetOutcomes() {
					in.UpstreamCounts = append(in.UpstreamCounts, rollout.UpstreamCounts{Upstream: r.GetNode(), Route: o.GetRoute(), New: elapsed > 0, Counts: rollout.Counts{
						Requests: o.GetAnswered(), Failed: o.GetFailed(), ErrorAnswers: o.GetErrors(), Time: time.Duration(o.GetTimeMs()) * time.Millisecond, Times: rollout.HistogramOf(o.GetTimes()),
					}})
				}
			})
			judge.Decide(in)
		}
	})
}

// Guards against a table of many records, from whatever writer, with which the collection of changes
// takes longer than nodes wait for a response: every poll would fail.
func TestManyRecordsDoNotDelayPolls(t *testing.T) {
	is := is.New(t)
	s, _ := newTestServer()
	for i := range 3000 {
		s.storeRecord(goodRecord(fmt.Sprintf("127.1.%d.%d:80", i/250, i%250), 1))
	}
	whole, _, _ := s.buildResponse(&pb.MeshServiceSyncRequest{})
	const wait = 300 * time.Millisecond
	start := time.Now()
	time.AfterFunc(wait/3, func() {
		left := goodRecord("127.1.0.1:80", 2)
		left.State = pb.UpstreamState_UPSTREAM_STATE_LEAVING
		s.storeRecord(left)
	})
	r, err := service{server: s}.Sync(context.Background(), connect.NewRequest(&pb.MeshServiceSyncRequest{
		TableEpoch: whole.GetTableEpoch(), TableVersion: whole.GetTableVersion(), WaitMs: uint32(wait.Milliseconds()),
	}))
	is.NoErr(err)
	is.Equal(len(r.Msg.GetRecords()), 1)
	if d := time.Since(start); d > wait+time.Second {
		t.Errorf("answered after %v", d)
	}
}
