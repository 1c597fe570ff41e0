package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	north = Domain{"north", "haiphong"}
	port  = Domain{"port", "haiphong"}
	south = Domain{"south", "vung-tau"}
)

func service(name string, timeout uint32, uses ...string) *pb.Service {
	return &pb.Service{Name: name, ActiveVersion: "1", Uses: uses, Limits: &pb.Limits{Slots: 9, TimeoutMs: timeout}}
}

func putService(s *pb.Service) *pb.Change {
	return &pb.Change{Change: &pb.Change_PutService{PutService: s}}
}

// start runs a fleet with n nodes of service a per domain; a uses b.
func startFleet(t *testing.T, n int, domains ...Domain) *Fleet {
	t.Helper()
	c := &pb.Configuration{Revision: 1, Services: []*pb.Service{service("a", 1, "b"), service("b", 1), service("c", 1)}}
	for i := range 50 {
		c.Routes = append(c.Routes, &pb.Route{Name: fmt.Sprintf("route-%02d", i), PathPrefix: fmt.Sprintf("/%d", i), Service: "b"})
	}
	f, err := New(Options{Domains: domains, RegionDelay: 20 * time.Millisecond, Source: c})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	for _, d := range domains {
		for i := range n {
			if _, err := f.StartNode(NodeID(d, i), d, "a"); err != nil {
				t.Fatal(err)
			}
		}
	}
	return f
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

func (f *Fleet) allAt(revision uint64) bool {
	for _, n := range f.Nodes() {
		if n.Follower.Revision() < revision {
			return false
		}
	}
	return true
}

// Guards the complete path: configuration reaches every node through its relay,
// endpoints of the other domains arrive, and each relay knows what all nodes applied.
func TestConfigurationAndEndpointsReachAllNodes(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3, north, port, south)
	eventually(t, "first configuration", func() bool { return f.allAt(1) })
	eventually(t, "endpoints of all domains", func() bool {
		for _, n := range f.Nodes() {
			if records, _ := n.Members.Endpoints("a"); len(records) != 9 {
				return false
			}
		}
		return true
	})
	c := f.Source().Accept(putService(service("b", 2)))
	eventually(t, "changed configuration", func() bool { return f.allAt(c.GetRevision()) })
	for _, n := range f.Nodes() {
		p := n.Follower.Projection()
		is.Equal(p.Service("b").GetLimits().GetTimeoutMs(), uint32(2)) // the change arrived
		is.True(p.Service("c") == nil)                                 // outside the interests
		is.Equal(len(p.Configuration.GetRoutes()), 50)
	}
	f.Source().Accept(putService(service("c", 3)))
	eventually(t, "revision of a change outside the interests", func() bool { return f.allAt(3) })
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
