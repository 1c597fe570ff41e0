package controlserver_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/consensus"
	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/app/controlserver"
	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

const testWait = 20 * time.Second

// controlHost is a running control host with its own loopback address.
type controlHost struct {
	address string
	host    *consensus.Host
	stop    func()
}

var groups atomic.Int32

const testPort = 17002

func addresses(n int) []string {
	group := groups.Add(1)
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()%128, 100+group, i+1, testPort))
	}
	return out
}

// isolatedHosts holds the addresses of the hosts that are cut off from the others.
var isolatedHosts sync.Map

func isolated(address string) bool {
	_, ok := isolatedHosts.Load(address)
	return ok
}

func startControl(t *testing.T, address, dir, domain string, founders, seeds []string) *controlHost {
	client := rpc.NewClient(rpc.Options{Blocked: func(to string) bool { return isolated(address) || isolated(to) }})
	members := make([]*pb.Member, 0, len(founders))
	for _, f := range founders {
		members = append(members, &pb.Member{Id: f, Address: f, Voter: true})
	}
	host, err := consensus.New(consensus.Options{
		ID: address, Members: members, DataDir: dir, AddressOf: func(id string) string { return id },
	}, client, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	s := controlserver.New(address, host, client, log.NewNopLogger())
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := rpc.NewServer(append(host.Handlers(), s.Handlers()...)...)
	ctx, cancel := context.WithCancel(context.Background())
	joiner := &controlserver.Joiner{
		Self: &pb.Member{Id: address, Address: address, FailureDomain: domain, Region: "r"}, Seeds: func() []string { return seeds },
		State: host, Client: client, Log: log.NewNopLogger().Log,
	}
	ended, logEnded := make(chan struct{}, 4), make(chan struct{})
	for _, run := range []func() error{
		func() error { return server.Serve(l) },
		func() error { defer close(logEnded); return host.Run(ctx) },
		func() error { return s.Run(ctx) }, func() error { return joiner.Run(ctx) },
	} {
		go func() {
			_ = run()
			ended <- struct{}{}
		}()
	}
	stopped := false
	c := &controlHost{address: address, host: host}
	c.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		<-logEnded // like a process, which serves until the log has passed on its leadership and its vote
		_ = server.Close()
		for range 4 {
			<-ended
		}
		client.Close()
	}
	t.Cleanup(c.stop)
	return c
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testWait); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

func voters(h *consensus.Host) int {
	n := 0
	for _, m := range h.State().Members {
		if m.GetVoter() && len(m.GetIncarnation()) > 0 {
			n++
		}
	}
	return n
}

func samplePlan(number, base uint64) *pb.Command {
	p := &pb.Plan{Number: number, BaseNumber: base, Services: []*pb.PlanService{{Name: "a"}}, Routes: []*pb.PlanRoute{
		{Name: "r", Host: "h", PathPrefix: "/", TimeoutMs: 100, Targets: []*pb.PlanTarget{{Service: "a", Weight: 1}}},
	}}
	payload, digest, err := plan.Encode(p)
	if err != nil {
		panic(err)
	}
	return &pb.Command{CommandId: fmt.Sprint(number), Command: &pb.Command_ReplacePlan{ReplacePlan: &pb.ReplacePlan{
		BaseNumber: base, Number: number, Payload: payload, Digest: digest,
	}}}
}

func submit(t *testing.T, h *consensus.Host, number, base uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	if r := h.Submit(ctx, samplePlan(number, base)); r.GetOutcome() != pb.Outcome_OUTCOME_ACCEPTED {
		t.Fatalf("plan %d: %v", number, r)
	}
}

// TestControlHostsFormOneGroup checks that control hosts that know only three seeds
// form one group although they start in another order, that a fourth one joins as a standby, and
// that one that lost its disk rejoins and recovers the accepted plan.
func TestControlHostsFormOneGroup(t *testing.T) {
	is := is.New(t)
	a := addresses(4)
	seeds := a[:3]
	dirs := make([]string, 4)
	hosts := make([]*controlHost, 4)
	for _, i := range []int{3, 1, 0, 2} {
		dirs[i] = t.TempDir()
		founders := seeds
		if i == 3 {
			founders = nil
		}
		hosts[i] = startControl(t, a[i], dirs[i], fmt.Sprint("d", i), founders, seeds)
	}
	formed := func(h *consensus.Host) bool { return voters(h) == 3 && len(h.State().Members) == 4 }
	eventually(t, "three voters and a standby", func() bool { return formed(hosts[3].host) })
	submit(t, hosts[3].host, 5, 0)
	hosts[1].stop()
	hosts[1] = startControl(t, a[1], t.TempDir(), "d1", nil, []string{a[3]}) // with an empty disk and another seed
	eventually(t, "the plan on the new disk", func() bool { return hosts[1].host.State().Plan.GetNumber() == 5 })
	eventually(t, "three voters and a standby again", func() bool { return formed(hosts[0].host) })
	is.Equal(len(hosts[0].host.State().Members), 4)
}

// TestNodesLearnOfEachOther checks that a node receives the plan and the table from
// any control host, that its record reaches nodes that poll other control hosts,
// and that updates continue after a control host fails.
func TestNodesLearnOfEachOther(t *testing.T) {
	is := is.New(t)
	a := addresses(3)
	hosts := make([]*controlHost, 3)
	for i := range hosts {
		hosts[i] = startControl(t, a[i], t.TempDir(), fmt.Sprint("d", i), a, a)
	}
	eventually(t, "three voters", func() bool { return voters(hosts[0].host) == 3 })
	submit(t, hosts[0].host, 5, 0)
	node := func(name, domain string) *controlclient.Client {
		client := rpc.NewClient(rpc.Options{})
		n := controlclient.New(controlclient.Options{Node: name, FailureDomain: domain, Region: "r", Seeds: func() []string { return a }}, client, log.NewNopLogger())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.Run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-done
			client.Close()
		})
		return n
	}
	n0, n1 := node("127.0.0.1:1", "d0"), node("127.0.0.1:2", "d1")
	n0.Publish(&pb.Announcement{Instance: "i", Service: "a", Version: "v1", Slots: 3, State: pb.UpstreamState_UPSTREAM_STATE_SERVING})
	eventually(t, "plan and endpoint at the other node", func() bool {
		v := n1.View()
		return v.Plan != nil && v.Plan.Plan.GetNumber() == 5 && len(v.Endpoints["a"]) == 1 && v.Nodes == 1
	})
	is.Equal(n1.View().Endpoints["a"][0].Gate, "127.0.0.1:1")
	hosts[1].stop()
	submit(t, hosts[0].host, 8, 5)
	n0.Publish(&pb.Announcement{Instance: "i", Service: "a", Version: "v1", Slots: 3, State: pb.UpstreamState_UPSTREAM_STATE_LEAVING})
	eventually(t, "the next plan and the departure", func() bool {
		v := n1.View()
		return v.Plan.Plan.GetNumber() == 8 && len(v.Endpoints["a"]) == 1 && v.Endpoints["a"][0].Leaving
	})
}

// TestNodeWithoutPlanReceivesNoRemoteTable guards against tables that are sent between
// failure domains, once per node and control host, to nodes that have no plan yet and
// cannot use them.
func TestNodeWithoutPlanReceivesNoRemoteTable(t *testing.T) {
	is := is.New(t)
	a := addresses(1)
	control := startControl(t, a[0], t.TempDir(), "d0", a, a)
	eventually(t, "a voter", func() bool { return voters(control.host) == 1 })
	client := rpc.NewClient(rpc.Options{})
	t.Cleanup(client.Close)
	mesh := rattanfieldv1connect.NewMeshServiceClient(client.HTTP(), rpc.URL(a[0]))
	sync := func(node string, noTable bool) *pb.MeshServiceSyncResponse {
		r, err := mesh.Sync(context.Background(), connect.NewRequest(&pb.MeshServiceSyncRequest{
			Self:    &pb.NodeRecord{Node: node, Epoch: 1, Seq: 1, State: pb.UpstreamState_UPSTREAM_STATE_SERVING},
			NoTable: noTable,
		}))
		is.NoErr(err)
		return r.Msg
	}
	sync("n1", true)
	remote := sync("n2", true)
	is.Equal(len(remote.GetRecords()), 0)
	is.True(len(remote.GetControlHosts()) > 0)
	is.Equal(len(sync("n2", false).GetRecords()), 2)
}
