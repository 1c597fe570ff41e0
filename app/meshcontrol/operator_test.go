package meshcontrol_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/meshcontrol"
	"github.com/rattanfield/rattanfield/app/operator"
	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/platform"
	"github.com/rattanfield/rattanfield/platform/platformtest"
)

const secretKey = "secret-key-of-the-organisation"

// meshPlan is a plan with organisations in the format of the platform.
const meshPlan = `{"version":"r7","services":[{"name":"s"},{"name":"t"}],"tenants":[{"name":"harbour","api_keys":["` + secretKey + `"],` +
	`"priority":1,"rate_per_s":12.5,"burst":3,"allowed_regions":["r"]},{"name":"quay"}],` +
	`"hosts":[{"host":"h","paths":[{"path_prefix":"/","kind":"idempotent","timeout":"1s","service":"s"}]}]}`

var siteDomains = []string{"d0", "d1", "d2"}

// site is a set of control hosts of the mesh and an operator at their peer addresses.
type site struct {
	t         *testing.T
	peers     []string
	platform  []string // addresses of the platform's calls
	out       bytes.Buffer
	transport *rpc.Client
	session   *operator.Session
	commands  int
}

func unusedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startSite starts one control host in each failure domain. The operator's first host is one that does not answer.
func startSite(t *testing.T) *site {
	s := &site{t: t, transport: rpc.NewClient(rpc.Options{})}
	for range siteDomains {
		s.peers, s.platform = append(s.peers, unusedAddress(t)), append(s.platform, unusedAddress(t))
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, len(s.peers))
	for i, domain := range siteDomains {
		settings := &platform.Settings{IP: "127.0.0.1", PeerPort: i + 1, FailureDomains: siteDomains}
		o := meshcontrol.Options{
			PeerAddress: s.peers[i], MetricsAddress: unusedAddress(t), FailureDomain: domain, FailureDomains: siteDomains, Region: "r",
			DataDir: t.TempDir(), Founders: s.peers, Seeds: func() []string { return s.peers },
			ExtraHandlers: func(p *meshcontrol.Process) map[string]fasthttp.RequestHandler {
				return map[string]fasthttp.RequestHandler{s.platform[i]: platform.NewControlAPI(settings, p.Host, p.Server, log.NewNopLogger()).Handle}
			},
		}
		go func() { ended <- meshcontrol.Run(ctx, o, log.NewNopLogger()) }()
	}
	t.Cleanup(func() {
		cancel()
		for range s.peers {
			<-ended
		}
		s.transport.Close()
	})
	client, err := operator.NewClient(append([]string{unusedAddress(t)}, s.peers...), s.transport)
	if err != nil {
		t.Fatal(err)
	}
	s.session = &operator.Session{Client: client, Out: &s.out, Operator: "desk", Now: time.Now, NextID: func() string {
		s.commands++
		return fmt.Sprint("command-", s.commands)
	}}
	return s
}

// run runs a statement and returns the exit status and all that was printed.
func (s *site) run(statement string) (int, string) {
	s.out.Reset()
	code, err := s.session.Run(s.t.Context(), statement)
	text := s.out.String()
	if err != nil {
		text += err.Error()
	}
	s.t.Logf("$ %s\n%s(status %d)", statement, text, code)
	if strings.Contains(text, secretKey) {
		s.t.Errorf("%s prints a key", statement)
	}
	return code, text
}

// expect runs a statement and checks the exit status and parts of the output.
func (s *site) expect(statement string, code int, parts ...string) {
	s.t.Helper()
	got, text := s.run(statement)
	if got != code {
		s.t.Errorf("%s: status %d, want %d", statement, got, code)
	}
	for _, p := range parts {
		if !strings.Contains(text, p) {
			s.t.Errorf("%s: the output lacks %q", statement, p)
		}
	}
}

// call sends a call of the platform to a control host until it is acknowledged.
func (s *site) call(host int, query, body string) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + s.platform[host] + query)
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBodyString(body)
		err := fasthttp.DoTimeout(request, response, 2*time.Second)
		if err == nil && response.StatusCode() == fasthttp.StatusOK {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("%s: %v, %d, %s", query, err, response.StatusCode(), response.Body())
		}
	}
}

// Guards against orders of evacuations that an operator gives at the peer addresses and that do not take effect, that evacuate
// an unknown or the last failure domain, or that undo a newer one, whichever way the orders before came.
func TestOperatorEvacuatesFailureDomains(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	s.call(0, platformtest.CallPath("config.replace", ""), meshPlan)
	s.expect("show evacuations where state = evacuated", operator.ExitOK, "DOMAIN  STATE  SERIAL  SINCE")
	s.expect("start evacuation of d1", operator.ExitOK, "accepted as order 1 (command command-1)")
	s.expect("start evacuation of d1", operator.ExitOK, "accepted as order 2 (command command-2)\n  d1 is already evacuated")
	s.expect("finish evacuation of d2", operator.ExitOK, "d2 is not evacuated; nothing was changed")
	s.expect("start evacuation of d9", operator.ExitRejected, "failure domain d9 is not known; this site has d0, d1, d2",
		"\n  start evacuation of d9\n                      ^^\n")
	s.call(1, platformtest.CallPath("evacuation.start", "d0"), "") // the platform's way
	s.expect("start evacuation of d2", operator.ExitRejected, "d2 is the last failure domain that is not evacuated")
	s.expect("show evacuations where state = evacuated and serial < 3", operator.ExitOK, "d1      evacuated  2")
	s.expect("show history where operator = desk", operator.ExitOK, "start evacuation of d1")

	// Under the same command id, and with the serial of an older order, nothing is undone.
	s.session.NextID = func() string { return "finish" }
	s.expect("finish evacuation of d1", operator.ExitOK, "accepted as order 5")
	s.session.NextID = func() string { return "start" }
	s.expect("start evacuation of d1", operator.ExitOK, "accepted as order 6")
	s.session.NextID = func() string { return "finish" }
	s.expect("finish evacuation of d1", operator.ExitOK, "accepted as order 5")
	base := uint64(5)
	for _, peer := range s.peers {
		r, err := rattanfieldv1connect.NewOperatorServiceClient(s.transport.HTTP(), rpc.URL(peer)).Submit(t.Context(), connect.NewRequest(&pb.SubmitRequest{
			Command: &pb.Command{CommandId: "older at " + peer, Command: &pb.Command_ChangeEvacuation{
				ChangeEvacuation: &pb.ChangeEvacuation{FailureDomain: "d1", BaseSerial: &base},
			}},
		}))
		is.NoErr(err)
		is.Equal(r.Msg.GetResult().GetOutcome(), pb.Outcome_OUTCOME_CONFLICT)
	}
	s.expect("show evacuations where domain = d1", operator.ExitOK, "d1      evacuated  6")
	s.call(2, platformtest.CallPath("evacuation.finish", "d1"), "")
	s.expect("show evacuations", operator.ExitOK, "d0      evacuated      4", "d1      not evacuated  7", "d2      not evacuated  3       -")
}

// Guards against views without what the platform ordered, and against keys in any output.
func TestOperatorSeesPlanAndOrganisations(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	s.call(0, platformtest.CallPath("rollouts.start", ""), `{"service":"s","target_version":"v2","duration":"12s"}`)
	s.expect("show plan", operator.ExitOK, "NUMBER  SERIAL")
	s.call(0, platformtest.CallPath("config.replace", ""), meshPlan)
	s.expect("show plan", operator.ExitOK, "7       1       1       2         2 ")
	hash := plan.KeyHash(secretKey)
	s.expect("show organisations", operator.ExitOK, "harbour  1     "+hash+"  1         12.5  3      r", "quay     0     -")
	s.expect("show organisations where rate > 100", operator.ExitOK, "NAME")
	s.expect("show rollouts where target = v2", operator.ExitOK, "s        ", "  v2\n") // the rollout goes on meanwhile
	s.session.JSON = true
	for _, view := range []string{"plan", "organisations", "rollouts", "evacuations", "history"} {
		s.expect("show "+view, operator.ExitOK, `"`+view+`":[`)
	}
	_, text := s.run("show organisations")
	is.True(strings.Contains(text, hash))
}
