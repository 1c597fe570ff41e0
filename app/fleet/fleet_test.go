package fleet

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rattanfield/rattanfield/app/follower"
	"github.com/rattanfield/rattanfield/app/members"
	"github.com/rattanfield/rattanfield/app/relay"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// defaultChecks is the number of generated runs, each of which takes about 0.4 s. The flag
// -rapid.checks overrides it.
const defaultChecks = "5"

func TestMain(m *testing.M) {
	flag.Parse()
	checksGiven := false
	flag.Visit(func(f *flag.Flag) { checksGiven = checksGiven || f.Name == "rapid.checks" })
	if !checksGiven {
		if err := flag.Set("rapid.checks", defaultChecks); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

var (
	north   = Domain{"north", "haiphong"}
	harbour = Domain{"port", "haiphong"}
	south   = Domain{"south", "vung-tau"}
)

func service(name string, timeout uint32, uses ...string) *pb.Service {
	return &pb.Service{Name: name, ActiveVersion: "1", Uses: uses, Limits: &pb.Limits{Slots: 9, TimeoutMs: timeout}}
}

func putService(s *pb.Service) *pb.Change {
	return &pb.Change{Change: &pb.Change_PutService{PutService: s}}
}

// fastOptions returns options with short times, so that failures and recoveries fit into a test.
func fastOptions(domains ...Domain) Options {
	c := &pb.Configuration{Revision: 1, Services: []*pb.Service{service("a", 1, "b"), service("b", 1), service("c", 1)}}
	for i := range 50 {
		c.Routes = append(c.Routes, &pb.Route{Name: fmt.Sprintf("route-%02d", i), PathPrefix: fmt.Sprintf("/%d", i), Service: "b"})
	}
	timing := members.Timing{
		ProbeInterval: 50 * time.Millisecond, ProbeTimeout: 100 * time.Millisecond, Suspicion: 200 * time.Millisecond,
		PollWait: 500 * time.Millisecond, RelayInterval: 200 * time.Millisecond, Timeout: 300 * time.Millisecond,
		Batch: 5 * time.Millisecond, BackoffCap: 100 * time.Millisecond,
	}
	return Options{
		Domains: domains, Configuration: c, Members: timing,
		Relay: relay.Options{Members: timing, Lease: 100 * time.Millisecond, SummaryInterval: 50 * time.Millisecond},
		Follower: follower.Options{
			PollWait: 500 * time.Millisecond, Timeout: 300 * time.Millisecond,
			BackoffCap: 100 * time.Millisecond, PreferredRetry: 300 * time.Millisecond,
		},
	}
}

// startFleet starts a fleet with n nodes of service a per domain; a uses b.
func startFleet(t *testing.T, n int, o Options) *Fleet {
	t.Helper()
	f, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	for _, d := range o.Domains {
		for i := range n {
			f.mustStart(t, NodeID(d, i), d, "a")
		}
	}
	return f
}

func (f *Fleet) mustStart(t *testing.T, id string, d Domain, service string) *Node {
	t.Helper()
	n, err := f.StartNode(id, d, service)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// blockRelays blocks or unblocks requests between all nodes and all relays in both directions.
func (f *Fleet) blockRelays(blocked bool) {
	for _, n := range f.Nodes() {
		for _, r := range f.relays {
			f.Block(n.Address, r.Address, blocked)
			f.Block(r.Address, n.Address, blocked)
		}
	}
}

// servingEndpoints returns the number of endpoints of service a that a node may call.
func servingEndpoints(n *Node) int {
	records, _ := n.Members.Endpoints("a")
	return len(records)
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not reached: %s", description)
}

func (f *Fleet) allReached(revision uint64) bool {
	for _, n := range f.Nodes() {
		if n.Follower.Revision() < revision {
			return false
		}
	}
	return true
}

// Checks that configuration reaches every node through its relay, that endpoints of the other
// domains arrive, and that each relay knows which revision all nodes applied.
func TestConfigurationAndEndpointsReachAllNodes(t *testing.T) {
	is := is.New(t)
	o := fastOptions(north, harbour, south)
	o.InterRegionDelay = 20 * time.Millisecond
	f := startFleet(t, 3, o)
	eventually(t, "first configuration", func() bool { return f.allReached(1) })
	eventually(t, "endpoints of all domains", func() bool {
		for _, n := range f.Nodes() {
			if records, _ := n.Members.Endpoints("a"); len(records) != 9 {
				return false
			}
		}
		return true
	})
	c := f.Source().Accept(putService(service("b", 2)))
	eventually(t, "changed configuration", func() bool { return f.allReached(c.GetRevision()) })
	for _, n := range f.Nodes() {
		p := n.Follower.Projection()
		is.Equal(p.Service("b").GetLimits().GetTimeoutMs(), uint32(2)) // the change arrived
		is.True(p.Service("c") == nil)                                 // outside the interests
		is.Equal(len(p.Configuration.GetRoutes()), 50)
	}
	f.Source().Accept(putService(service("c", 3)))
	eventually(t, "revision of a change outside the interests", func() bool { return f.allReached(3) })
	eventually(t, "status of all nodes in every relay", func() bool {
		for _, r := range f.Relays() {
			applied := 0
			for _, s := range r.NodeStatuses() {
				if s.GetAppliedRevision() == 3 && s.GetLaggingSinceUnixMs() == 0 {
					applied++
				}
			}
			if applied != 9 {
				return false
			}
		}
		return true
	})
}
