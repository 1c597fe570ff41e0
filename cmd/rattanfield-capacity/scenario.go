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
	// services is the number of services of the design target.
	services = 120
	// usesPerService is the number of other services that each service calls.
	usesPerService = 3
	// routesPerService gives 360 routes in all.
	routesPerService = 3
	// interRegionDelay is the latency between the regions of the deployments.
	interRegionDelay = 20 * time.Millisecond
	// awaitTimeout limits each wait for a state of the fleet.
	awaitTimeout = 60 * time.Second
	pollInterval = 2 * time.Millisecond
)

// fourDomains has the regions and failure domains of both current deployments,
// sevenDomains those of the design target.
var (
	fourDomains  = domains(2, 2)
	sevenDomains = domains(3, 2, 2)
)

// domains returns failure domains: one region for each argument, with that many failure
// domains.
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

// service returns the i-th service with a timeout in ms.
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

// configuration returns the configuration at revision 1.
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

// change returns the n-th change of a measurement: one service gets another timeout.
func change(n int) *pb.Change {
	return &pb.Change{Change: &pb.Change_PutService{PutService: service(n*7, uint32(2000+n))}}
}

// sendFullSnapshots makes the fleet send the whole configuration to every node, uncompressed.
func sendFullSnapshots(o *fleet.Options) {
	o.Relay.FullSnapshots, o.Relay.NoCompression = true, true
	o.Follower.Interests = &pb.Interests{All: true}
	o.AllInterests = true
}

// disableAdmission turns the limits on snapshots off in measurements that are not about them.
func disableAdmission(o *fleet.Options) {
	o.Relay.SnapshotsPerSecond, o.Relay.SnapshotBurst = 1e6, 1e6
}

// reduceProbes keeps the number of connections of many nodes in one process below the limit
// on open files. The scale measurement includes failure detection.
func reduceProbes(o *fleet.Options) { o.Members.ProbeInterval = time.Minute }

// nodeService returns the service of the i-th node. The upstreams of a service are spread
// over all failure domains.
func nodeService(ds []fleet.Domain, i int) string { return serviceName(i / len(ds)) }

// startNodes starts n nodes, spread over the failure domains, and waits for their first
// configuration.
func startNodes(f *fleet.Fleet, ds []fleet.Domain, n int) error {
	for i := range n {
		d := ds[i%len(ds)]
		if _, err := f.StartNode(fleet.NodeID(d, i), d, nodeService(ds, i)); err != nil {
			return err
		}
	}
	return await("first configuration", func() bool { return allApplied(f, 1) })
}

// allApplied reports whether all nodes have applied a revision.
func allApplied(f *fleet.Fleet, revision uint64) bool {
	return !slices.ContainsFunc(f.Nodes(), func(n *fleet.Node) bool { return n.Follower.Revision() < revision })
}

// await polls until ok returns true. It returns an error after awaitTimeout.
func await(what string, ok func() bool) error {
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if ok() {
			return nil
		}
	}
	return eris.Errorf("not reached: %s", what)
}

// cpuTime returns the CPU time that this process has used, or 0 when it is not known.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveBytes returns the bytes of heap and stacks in use after a garbage collection.
func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// socketBytes returns the bytes that the clients of all nodes and relays sent and received
// over a link class.
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
