package main

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/app/fleet"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	// services of the design target.
	services = 120
	// usesPerService is how many other services each one calls.
	usesPerService = 3
	// routesPerService gives 360 routes in all.
	routesPerService = 3
	// regionDelay of the deployments.
	regionDelay = 20 * time.Millisecond
	// patience bounds each wait for a state of the fleet.
	patience = 60 * time.Second
	pollStep = 2 * time.Millisecond
)

// fourDomains are both deployments of today, sevenDomains the design target.
var (
	fourDomains  = domains(2, 2)
	sevenDomains = domains(3, 2, 2)
)

func domains(perRegion ...int) []fleet.Domain {
	var out []fleet.Domain
	for r, n := range perRegion {
		for d := range n {
			out = append(out, fleet.Domain{Name: fmt.Sprintf("domain-%d-%d", r, d), Region: fmt.Sprintf("region-%d", r)})
		}
	}
	return out
}

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i%services) }

func service(i int, timeout uint32) *pb.Service {
	s := &pb.Service{
		Name: serviceName(i), ActiveVersion: "2026-12-01.4", RetryBudgetPercent: 10,
		Limits: &pb.Limits{Slots: 9, MaxConnections: 120, MaxQueue: 32, MaxRequestBytes: 1 << 20, TimeoutMs: timeout},
	}
	for u := range usesPerService {
		s.Uses = append(s.Uses, serviceName(i+1+u*17))
	}
	for _, tenant := range []string{"sponsors", "staff", "pier-trust", "guides"} {
		s.TenantWeights = append(s.TenantWeights, &pb.TenantWeight{Tenant: tenant, Weight: 2})
	}
	for m := range 3 {
		s.LedgerMembers = append(s.LedgerMembers, fmt.Sprintf("domain-%d-0-%d", m, i))
	}
	return s
}

func configuration() *pb.Configuration {
	c := &pb.Configuration{Revision: 1}
	for i := range services {
		c.Services = append(c.Services, service(i, 1000))
		for r := range routesPerService {
			c.Routes = append(c.Routes, &pb.Route{
				Name: fmt.Sprintf("%s-route-%d", serviceName(i), r), Host: "mesh.example", PathPrefix: fmt.Sprintf("/%s/%d/", serviceName(i), r),
				Methods: []string{"GET", "POST"}, Service: serviceName(i), Class: "interactive",
			})
		}
	}
	return c
}

// change is the n-th change of a measurement: one service gets another timeout.
func change(n int) *pb.Change {
	return &pb.Change{Change: &pb.Change_PutService{PutService: service(n*7, uint32(2000+n))}}
}

// baseline makes the fleet send the whole configuration to every node, uncompressed.
func baseline(o *fleet.Options) {
	o.Relay.FullSnapshots, o.Relay.NoCompression = true, true
	o.Follower.Interests = &pb.Interests{All: true}
	o.AllInterests = true
}

// unlimited keeps admission out of measurements that are not about it.
func unlimited(o *fleet.Options) {
	o.Relay.SnapshotsPerSecond, o.Relay.SnapshotBurst = 1e6, 1e6
}

// fewProbes keeps the number of connections of many nodes in one process below
// the limit of open files. Failure detection is measured by scale.
func fewProbes(o *fleet.Options) { o.Members.ProbeInterval = time.Minute }

// nodeService is the service of the i-th node. The upstreams of a service are
// spread over all failure domains.
func nodeService(ds []fleet.Domain, i int) string { return serviceName(i / len(ds)) }

// startNodes starts n nodes over the domains and waits for their first configuration.
func startNodes(f *fleet.Fleet, ds []fleet.Domain, n int) error {
	for i := range n {
		d := ds[i%len(ds)]
		if _, err := f.StartNode(fleet.NodeID(d, i), d, nodeService(ds, i)); err != nil {
			return err
		}
	}
	return await("first configuration", func() bool { return allAt(f, 1) })
}

func allAt(f *fleet.Fleet, revision uint64) bool {
	return !slices.ContainsFunc(f.Nodes(), func(n *fleet.Node) bool { return n.Follower.Revision() < revision })
}

func await(what string, ok func() bool) error {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(pollStep) {
		if ok() {
			return nil
		}
	}
	return eris.Errorf("not reached: %s", what)
}

// cpuTime that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveBytes of heap and stacks after a collection.
func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// socketBytes that all processes sent over a link class.
func socketBytes(f *fleet.Fleet, l ports.Link) uint64 {
	var sum uint64
	for _, n := range f.Nodes() {
		sum += n.Client().Bytes(l).Sent.Load() + n.Client().Bytes(l).Received.Load()
	}
	for _, r := range f.Relays() {
		sum += r.Client().Bytes(l).Sent.Load() + r.Client().Bytes(l).Received.Load()
	}
	return sum
}
