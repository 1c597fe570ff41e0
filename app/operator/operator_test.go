package operator

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// controlHost is a fake control host. The hosts of one test share their state.
type controlHost struct {
	rattanfieldv1connect.UnimplementedOperatorServiceHandler
	shared *sharedState
	// losesAnswer makes Submit accept a command but fail its response.
	losesAnswer bool
	freshness   *pb.Freshness
}

type sharedState struct {
	mu       sync.Mutex
	results  map[string]*pb.CommandResult
	commands []*pb.Command
	asked    int
	answers  []*pb.QueryResponse // one per query; the last one is repeated
	outcome  pb.Outcome          // outcome of every Submit when set
}

func (h *controlHost) Submit(_ context.Context, r *connect.Request[pb.SubmitRequest]) (*connect.Response[pb.SubmitResponse], error) {
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	c := r.Msg.GetCommand()
	h.shared.commands = append(h.shared.commands, c)
	if h.shared.outcome != 0 {
		return connect.NewResponse(&pb.SubmitResponse{Result: &pb.CommandResult{CommandId: c.GetCommandId(), Outcome: h.shared.outcome}}), nil
	}
	if h.shared.results[c.GetCommandId()] == nil {
		h.shared.results[c.GetCommandId()] = &pb.CommandResult{
			CommandId: c.GetCommandId(), Outcome: pb.Outcome_OUTCOME_ACCEPTED, Revision: uint64(42 + len(h.shared.results)),
		}
	}
	if h.losesAnswer {
		return nil, connect.NewError(connect.CodeUnavailable, context.DeadlineExceeded)
	}
	return connect.NewResponse(&pb.SubmitResponse{Result: h.shared.results[c.GetCommandId()]}), nil
}

func (h *controlHost) GetCommand(_ context.Context, r *connect.Request[pb.GetCommandRequest]) (*connect.Response[pb.GetCommandResponse], error) {
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	result := h.shared.results[r.Msg.GetCommandId()]
	return connect.NewResponse(&pb.GetCommandResponse{Found: result != nil, Result: result, Freshness: h.freshness}), nil
}

func (h *controlHost) Query(context.Context, *connect.Request[pb.QueryRequest]) (*connect.Response[pb.QueryResponse], error) {
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	a := h.shared.answers[min(h.shared.asked, len(h.shared.answers)-1)]
	h.shared.asked++
	if a.Freshness == nil {
		a.Freshness = &pb.Freshness{Revision: uint64(h.shared.asked), Confirmed: true}
		if h.freshness != nil {
			a.Freshness = h.freshness
		}
	}
	return connect.NewResponse(a), nil
}

func (h *controlHost) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := rpc.NewServer(rpc.NewHandler(rattanfieldv1connect.NewOperatorServiceHandler(h)))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// closedPort returns an address that refuses connections.
func closedPort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newShared(answers ...*pb.QueryResponse) *sharedState {
	return &sharedState{results: make(map[string]*pb.CommandResult), answers: answers}
}

func session(t *testing.T, out *bytes.Buffer, hosts ...string) *Session {
	t.Helper()
	transport := rpc.NewClient(rpc.Options{})
	t.Cleanup(transport.Close)
	c, err := NewClient(hosts, transport)
	if err != nil {
		t.Fatal(err)
	}
	c.submitTimeout = 700 * time.Millisecond
	return &Session{
		Client: c, Out: out, Operator: "night desk", Now: time.Now,
		NextID: func() string { return "c0ffee" },
	}
}

// Guards against a command that is lost or accepted twice when hosts are down or
// responses are lost.
func TestSubmitFailover(t *testing.T) {
	for name, tc := range map[string]struct {
		hosts   func(*testing.T, *sharedState) []string
		outcome pb.Outcome
		code    int
		output  string
	}{
		"first host down": {func(t *testing.T, a *sharedState) []string {
			return []string{closedPort(t), (&controlHost{shared: a}).start(t)}
		}, 0, ExitOK, "accepted as revision 42"},
		"response lost, asked by id": {func(t *testing.T, a *sharedState) []string {
			return []string{(&controlHost{shared: a, losesAnswer: true}).start(t)}
		}, 0, ExitOK, "accepted as revision 42"},
		"response lost, other host": {func(t *testing.T, a *sharedState) []string {
			return []string{(&controlHost{shared: a, losesAnswer: true}).start(t) + "," + (&controlHost{shared: a}).start(t)}
		}, 0, ExitOK, "accepted as revision 42"},
		"all down": {func(t *testing.T, _ *sharedState) []string {
			return []string{closedPort(t), closedPort(t)}
		}, 0, ExitFailed, "nothing was sent"},
		"no majority": {func(t *testing.T, a *sharedState) []string {
			return []string{(&controlHost{shared: a}).start(t)}
		}, pb.Outcome_OUTCOME_UNAVAILABLE, ExitRejected, "no majority"},
		"unknown": {func(t *testing.T, a *sharedState) []string {
			return []string{(&controlHost{shared: a}).start(t)}
		}, pb.Outcome_OUTCOME_UNKNOWN, ExitUnknown, "ask later with: command c0ffee"},
	} {
		for statement, isSent := range map[string]func(*pb.Command) bool{
			"start move bookings from v1 to v2 by 10m": func(c *pb.Command) bool { return c.GetStartMove().GetMoveId() == "bookings-c0ffee" },
			"start evacuation of d1": func(c *pb.Command) bool {
				return c.GetChangeEvacuation().GetFailureDomain() == "d1" && c.GetChangeEvacuation().GetActive()
			},
		} {
			t.Run(name+", "+statement, func(t *testing.T) {
				is := is.New(t)
				var out bytes.Buffer
				shared := newShared()
				shared.outcome = tc.outcome
				s := session(t, &out, tc.hosts(t, shared)...)
				code, err := s.Run(context.Background(), statement)
				text := out.String()
				if err != nil {
					text += err.Error()
				}
				is.Equal(code, tc.code)
				is.True(strings.Contains(text, tc.output)) // output
				is.True(len(shared.results) <= 1)
				for _, c := range shared.commands {
					is.Equal(c.GetCommandId(), "c0ffee")
					is.True(isSent(c)) // the statement's command
				}
			})
		}
	}
}

// Guards against sending an invalid statement or file, and against reporting the
// problems of a file one at a time.
func TestInvalidStatementsAreNotSent(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	shared := newShared()
	s := session(t, &out, (&controlHost{shared: shared}).start(t))
	file := filepath.Join(t.TempDir(), "fares.json")
	is.NoErr(os.WriteFile(file, []byte(`{
  // the new fares
  "services": [{"name": "bookings", "active_version": "v1", "slots": 9}, {"active_version": "v1"}],
  "routes": [{"name": "times", "path_prefix": "/times", "service": 7}],
  "delete_routes": ["old", 3],
  "comment": "x",
}`), 0o600))
	code, err := s.Run(context.Background(), "apply "+file+" expect 41")
	is.Equal(code, ExitInvalid)
	for _, want := range []string{"5 problems", `line 3: services[0]: unknown field "slots"`, "line 3: services[1]: name is missing", "line 4: routes[0]:", "line 5: delete_routes[1]: must be a name", `line 6: unknown key "comment"`} {
		is.True(strings.Contains(err.Error(), want)) // reported
	}
	code, _ = s.Run(context.Background(), "apply "+file+".missing expect 41")
	is.Equal(code, ExitInvalid)
	code, _ = s.Run(context.Background(), "aply x expect 41")
	is.Equal(code, ExitInvalid)
	is.Equal(len(shared.commands), 0)

	is.NoErr(os.WriteFile(file, []byte(`{"routes": [{"name": "times", "path_prefix": "/t", "service": "bookings"}], // trailing
  "services": [{"name": "bookings", "active_version": "v1", "limits": {"slots": 9}}], "delete_services": ["b"], "delete_routes": ["a"]}`), 0o600))
	code, err = s.Run(context.Background(), "apply "+file+" expect 41")
	is.NoErr(err)
	is.Equal(code, ExitOK)
	changes := shared.commands[0].GetSubmitConfiguration().GetChanges()
	is.Equal(shared.commands[0].GetExpectedRevision(), uint64(41))
	is.Equal(len(changes), 4)
	is.Equal(changes[0].GetPutService().GetLimits().GetSlots(), uint32(9)) // services are put first
	is.Equal(changes[3].GetDeleteService(), "b")                           // services are deleted last
}

// Guards against a watch that repeats or omits the end of a move, or continues after it.
func TestWatchReportsEndOfMoveOnce(t *testing.T) {
	move := func(step uint64, phase pb.MovePhase, permille uint32, reason string) *pb.QueryResponse {
		return &pb.QueryResponse{Moves: []*pb.Move{{
			MoveId: "m1", Service: "bookings", OldVersion: "v1", NewVersion: "v2", Step: step, Phase: phase, Reason: reason,
			Domains: []*pb.DomainShare{{NewPermille: permille}},
		}}}
	}
	running := pb.MovePhase_MOVE_PHASE_RUNNING
	for name, tc := range map[string]struct {
		end    *pb.QueryResponse
		code   int
		output string
	}{
		"done":        {move(3, pb.MovePhase_MOVE_PHASE_DONE, 1000, ""), ExitOK, "DONE: bookings from v1 to v2. All calls go to v2."},
		"rolled back": {move(3, pb.MovePhase_MOVE_PHASE_ROLLED_BACK, 0, "errors on route fares"), ExitRejected, "ROLLED BACK: bookings from v1 to v2. All calls go to v1 again. Reason: errors on route fares"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			s := session(t, &out, (&controlHost{shared: newShared(
				move(1, running, 8, "first calls"), move(1, running, 8, "first calls"), tc.end, tc.end)}).start(t))
			code, err := s.Run(context.Background(), "watch move m1")
			is.NoErr(err)
			is.Equal(code, tc.code)
			is.Equal(strings.Count(out.String(), "first calls"), 1)
			is.Equal(strings.Count(out.String(), tc.output), 1)
		})
	}
}

// Guards against presenting an outdated response as current, and against rows
// that do not satisfy the conditions.
func TestShow(t *testing.T) {
	is := is.New(t)
	response := &pb.QueryResponse{Nodes: []*pb.NodeStatus{
		{Endpoint: &pb.EndpointRecord{NodeId: "n1", FailureDomain: "k1"}, AppliedRevision: 41},
		{Endpoint: &pb.EndpointRecord{NodeId: "n2", FailureDomain: "k2"}, AppliedRevision: 40},
	}}
	var out bytes.Buffer
	h := &controlHost{shared: newShared(response), freshness: &pb.Freshness{Host: "c2", AgeMs: 65_000, Revision: 41}}
	s := session(t, &out, h.start(t))
	code, err := s.Run(context.Background(), "show revision where applied < 41")
	is.NoErr(err)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out.String(), "not confirmed: c2 last heard from a majority 1m5s ago"))
	is.True(strings.Contains(out.String(), "accepted revision: 41"))
	is.True(strings.Contains(out.String(), "n2") && !strings.Contains(out.String(), "n1"))
	out.Reset()
	s.JSON = true
	_, err = s.Run(context.Background(), "show nodes where domain = k1")
	is.NoErr(err)
	is.True(strings.HasPrefix(out.String(), `{"freshness":{"host":"c2","age_ms":65000,"revision":"41"},"nodes":[{"endpoint":{"node_id":"n1","failure_domain":"k1"},"applied_revision":"41"}]}`))
	code, err = s.Run(context.Background(), "command gone")
	is.Equal(code, ExitUnknown) // the response is not confirmed, so the command may exist
	is.True(err != nil)
}

// Guards against a table of members without their progress because a follower,
// which does not know it, has answered.
func TestMembersComeFromTheLeader(t *testing.T) {
	is := is.New(t)
	leader := &controlHost{shared: newShared(&pb.QueryResponse{
		Freshness: &pb.Freshness{Host: "c2", Leader: "c2", Confirmed: true},
		Members:   []*pb.MemberStatus{{Member: &pb.Member{Id: "c1"}, Role: "learner", MatchIndex: 77}},
	})}
	members := []*pb.MemberStatus{{Member: &pb.Member{Id: "c1"}, Role: "unknown"}, {Member: &pb.Member{Id: "c2", Address: leader.start(t)}, Role: "leader"}}
	follower := &controlHost{shared: newShared(&pb.QueryResponse{Freshness: &pb.Freshness{Host: "c1", Leader: "c2", Confirmed: true}, Members: members})}
	var out bytes.Buffer
	_, err := session(t, &out, follower.start(t)).Run(context.Background(), "show members")
	is.NoErr(err)
	is.True(strings.Contains(out.String(), "77"))
	members[1].Member.Address = closedPort(t) // without the leader, the response of the follower is used
	out.Reset()
	_, err = session(t, &out, follower.start(t)).Run(context.Background(), "show members")
	is.NoErr(err)
	is.True(strings.Contains(out.String(), "unknown"))
}
