package main

import (
	"slices"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/app/fleet"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	convergenceChanges = 8
	// changeInterval is long enough for a change to reach all nodes before the next one.
	changeInterval = 250 * time.Millisecond
)

// convergenceRow holds the results for one number of nodes and one mode.
type convergenceRow struct {
	Nodes              int     `json:"nodes"`
	Mode               string  `json:"mode"` // delta, or full: the whole configuration to every node
	Samples            int     `json:"samples"`
	P50Ms              float64 `json:"p50_ms"`
	P99Ms              float64 `json:"p99_ms"`
	MaxMs              float64 `json:"max_ms"`
	CPUMs              float64 `json:"cpu_ms_per_node_and_change"`
	LiveKB             float64 `json:"live_kb_per_node"` // heap and stacks in use
	BytesPerChange     float64 `json:"socket_bytes_per_node_and_change"`
	LinkBytesPerChange float64 `json:"remote_link_bytes_per_change"` // over the links between regions
	// LeavingMs is the longest time until no reader lists a node that leaves.
	LeavingMs float64 `json:"leaving_max_ms"`
}

// applyTimes collects the times from the acceptance of each change until each node has
// applied it.
type applyTimes struct {
	mu       sync.Mutex
	accepted map[uint64]time.Time
	applied  map[string]uint64
	samples  []time.Duration
}

// apply records that a node applied a projection, with all revisions up to its own.
func (a *applyTimes) apply(node string, p *config.Projection) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for r := a.applied[node] + 1; r <= p.Revision(); r++ {
		if at, ok := a.accepted[r]; ok {
			a.samples = append(a.samples, now.Sub(at))
		}
	}
	a.applied[node] = max(a.applied[node], p.Revision())
}

// convergence measures all sizes, with deltas and with the full configuration.
func convergence() (any, error) {
	var rows []convergenceRow
	for _, n := range []int{4, 50, 200, 400} {
		for _, mode := range []string{"delta", "full"} {
			row, err := converge(n, mode)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// converge measures a fleet of n nodes.
func converge(n int, mode string) (convergenceRow, error) {
	a := &applyTimes{accepted: make(map[uint64]time.Time), applied: make(map[string]uint64)}
	o := fleet.Options{Domains: fourDomains, InterRegionDelay: interRegionDelay, Configuration: configuration(), OnApply: a.apply}
	disableAdmission(&o)
	reduceProbes(&o)
	if mode == "full" {
		sendFullSnapshots(&o)
	}
	before := liveBytes()
	f, err := fleet.New(o)
	if err != nil {
		return convergenceRow{}, err
	}
	defer f.Close()
	if err := startNodes(f, fourDomains, n); err != nil {
		return convergenceRow{}, err
	}
	time.Sleep(time.Second) // until the long polls of all nodes are open
	row := convergenceRow{Nodes: n, Mode: mode, LiveKB: float64(liveBytes()-before) / float64(n) / 1024}
	links := func() (all, remote uint64) {
		for l := range linkCount {
			all += socketBytes(f, l)
		}
		return all, socketBytes(f, remoteLink)
	}
	allBefore, remoteBefore := links()
	cpu := cpuTime()
	for i := range convergenceChanges {
		next := f.Source().Configuration().GetRevision() + 1
		a.mu.Lock()
		a.accepted[next] = time.Now()
		a.mu.Unlock()
		f.Source().Accept(change(i))
		time.Sleep(changeInterval)
	}
	if err := await("last change", func() bool { return allApplied(f, convergenceChanges+1) }); err != nil {
		return row, err
	}
	row.CPUMs = float64((cpuTime() - cpu).Microseconds()) / 1000 / float64(n) / convergenceChanges
	all, remote := links()
	row.BytesPerChange = float64(all-allBefore) / float64(n) / convergenceChanges
	row.LinkBytesPerChange = float64(remote-remoteBefore) / convergenceChanges
	if row.LeavingMs, err = measureLeaving(f); err != nil {
		return row, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.Sort(a.samples)
	ms := func(q float64) float64 {
		return float64(a.samples[int(q*float64(len(a.samples)-1))].Microseconds()) / 1000
	}
	row.Samples, row.P50Ms, row.P99Ms, row.MaxMs = len(a.samples), ms(0.5), ms(0.99), ms(1)
	return row, nil
}

// measureLeaving lets one node of each failure domain leave and returns the longest time in
// ms until every reader of its service has removed it.
func measureLeaving(f *fleet.Fleet) (float64, error) {
	var longest time.Duration
	for _, d := range fourDomains {
		nodes := f.Nodes()
		i := slices.IndexFunc(nodes, func(n *fleet.Node) bool { return n.Domain == d })
		if i < 0 {
			continue
		}
		node := nodes[i]
		start := time.Now()
		node.Members.Publish(pb.EndpointState_ENDPOINT_STATE_LEAVING, ports.UpstreamAnnouncement{})
		if err := await("no reader lists the leaving node", func() bool {
			return !slices.ContainsFunc(f.Nodes(), func(n *fleet.Node) bool {
				records, _ := n.Members.Endpoints(node.Service)
				return slices.ContainsFunc(records, func(e *pb.EndpointRecord) bool { return e.GetNodeId() == node.ID })
			})
		}); err != nil {
			return 0, err
		}
		longest = max(longest, time.Since(start))
	}
	return float64(longest.Microseconds()) / 1000, nil
}
