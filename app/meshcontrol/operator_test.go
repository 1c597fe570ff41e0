package meshcontrol

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/operator"
	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
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
	ips       []string
	out       bytes.Buffer
	transport *rpc.Client
	session   *operator.Session
	commands  int
}

// startSite starts one control host in each failure domain. The operator's first host is one that does not answer.
func startSite(t *testing.T) *site {
	s := &site{t: t, transport: rpc.NewClient(rpc.Options{})}
	var peers []string
	for i := range siteDomains {
		s.ips = append(s.ips, fmt.Sprint(platformtest.Subnet(11), i+1))
		peers = append(peers, platformtest.PeerAddress(s.ips[i]))
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, len(peers))
	for i, domain := range siteDomains {
		settings := &platform.Settings{IP: s.ips[i], PeerPort: 1, FailureDomains: siteDomains}
		o := Options{
			PeerAddress: peers[i], MetricsAddress: freeAddress(t), FailureDomain: domain, FailureDomains: siteDomains, Region: "r",
			DataDir: t.TempDir(), Founders: peers, Seeds: func() []string { return peers },
			ExtraHandlers: func(p *Process) map[string]fasthttp.RequestHandler {
				api := platform.NewControlAPI(settings, p.Host, p.Server, log.NewNopLogger())
				return map[string]fasthttp.RequestHandler{platformtest.ControlAddress(s.ips[i]): api.Handle}
			},
		}
		go func() { ended <- Run(ctx, o, log.NewNopLogger()) }()
	}
	t.Cleanup(func() {
		cancel()
		for range peers {
			<-ended
		}
		s.transport.Close()
	})
	client, err := operator.NewClient(append([]string{freeAddress(t)}, peers...), s.transport)
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

// until calls the platform's interface until it acknowledges.
func (s *site) until(acknowledged func() bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); !acknowledged(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("not acknowledged")
		}
	}
}

// evacuate gives an order with a call of the platform. It may be accepted more than once.
func (s *site) evacuate(host int, domain string, active bool) {
	s.t.Helper()
	s.until(func() bool {
		return platformtest.ChangeEvacuation(platformtest.ControlAddress(s.ips[host]), domain, active, time.Second) == fasthttp.StatusOK
	})
}

// Guards against orders of evacuations that an operator gives at the peer addresses and that do not take effect, that evacuate
// an unknown or the last failure domain, or that undo a newer one, whichever way the orders before came.
func TestOperatorEvacuatesFailureDomains(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	s.until(func() bool { return platformtest.ReplacePlan(s.ips[0], []byte(meshPlan)) == fasthttp.StatusOK })
	s.expect("show evacuations where state = evacuated", operator.ExitOK, "DOMAIN  STATE  SERIAL  SINCE")
	s.expect("start evacuation of d1", operator.ExitOK, "accepted as order 1 (command command-1)")
	s.expect("start evacuation of d1", operator.ExitOK, "accepted as order 2 (command command-2)\n  d1 is already evacuated")
	s.expect("finish evacuation of d2", operator.ExitOK, "d2 is not evacuated; nothing was changed")
	s.expect("start evacuation of d9", operator.ExitRejected, "failure domain d9 is not known; this site has d0, d1, d2",
		"\n  start evacuation of d9\n                      ^^\n")
	s.evacuate(1, "d0", true) // the platform's way
	s.expect("start evacuation of d2", operator.ExitRejected, "d2 is the last failure domain that is not evacuated")
	s.expect("show evacuations where state = evacuated and serial < 3", operator.ExitOK, "d1      evacuated  2")
	s.expect("show history where operator = desk", operator.ExitOK, "start evacuation of d1")

	// Under the same command id, and with the serial of an older order, nothing is undone.
	s.session.NextID = func() string { return "finish" }
	_, finished := s.run("finish evacuation of d1")
	is.True(strings.HasPrefix(finished, "accepted as order "))
	s.session.NextID = func() string { return "start" }
	s.expect("start evacuation of d1", operator.ExitOK, "accepted as order ")
	s.session.NextID = func() string { return "finish" }
	s.expect("finish evacuation of d1", operator.ExitOK, finished)
	base := uint64(2) // the second order about d1
	older := &pb.ChangeEvacuation{FailureDomain: "d1", BaseSerial: &base}
	for _, ip := range s.ips {
		c, err := operator.NewClient([]string{platformtest.PeerAddress(ip)}, s.transport)
		is.NoErr(err)
		r, err := c.Submit(t.Context(), &pb.Command{CommandId: "older at " + ip, Command: &pb.Command_ChangeEvacuation{ChangeEvacuation: older}})
		is.NoErr(err)
		is.Equal(r.GetOutcome(), pb.Outcome_OUTCOME_CONFLICT)
	}
	s.expect("show evacuations where domain = d1", operator.ExitOK, "d1      evacuated  ")
	s.evacuate(2, "d1", false)
	s.expect("show evacuations", operator.ExitOK, "d0      evacuated      ", "d1      not evacuated  ", "d2      not evacuated  3       -")
}

// Guards against views without what the platform ordered, and against keys in any output.
func TestOperatorSeesPlanAndOrganisations(t *testing.T) {
	is := is.New(t)
	s := startSite(t)
	rollout := &pb.StartRollout{Service: "s", TargetVersion: "v2", DurationMs: 12_000}
	r, err := s.session.Client.Submit(t.Context(), &pb.Command{CommandId: "rollout", Command: &pb.Command_StartRollout{StartRollout: rollout}})
	is.NoErr(err)
	is.Equal(r.GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	s.expect("show plan", operator.ExitOK, "NUMBER  SERIAL")
	s.until(func() bool { return platformtest.ReplacePlan(s.ips[0], []byte(meshPlan)) == fasthttp.StatusOK })
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
