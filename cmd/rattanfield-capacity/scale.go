package main

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/app/fleet"
	"github.com/rattanfield/rattanfield/core/config"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	linkCount  = ports.Link(ports.LinkCount)
	remoteLink = ports.LinkRemote

	// idleWindow is one interval of the membership exchanges over the links between regions.
	idleWindow = 10 * time.Second
	// startWait is long enough for the extra traffic after a start to end, above all that of the
	// lagging nodes in relay summaries.
	startWait      = 8 * time.Second
	overheadWindow = 2 * time.Second
	scaleChanges   = 6
	scaleChurn     = 6
	// eventInterval is the time between two changes or restarts.
	eventInterval = 100 * time.Millisecond
	// settleWait is long enough for the summaries and long polls after the last event.
	settleWait = 1200 * time.Millisecond
	// overheadNodes is the size of the fleets that measure the header bytes of a call.
	overheadNodes = 60

	changesPerDay = 1200
	// churnPerDay counts the hosts that fail (5) and those that restart or are replaced (100).
	churnPerDay   = 105
	secondsPerDay = 24 * 60 * 60
)

// scaleRow holds the results for one number of nodes.
type scaleRow struct {
	Nodes int    `json:"nodes"`
	Mode  string `json:"mode"`

	// HeaderBytes is the measured overhead per call: headers, frames, pings and connection
	// setup. The byte figures below include it.
	HeaderBytes float64 `json:"overhead_bytes_per_call"`

	IdlePerNode float64 `json:"idle_bytes_per_s_and_node"`
	IdleRemote  float64 `json:"idle_remote_link_bytes_per_s"`
	IdleCalls   float64 `json:"idle_calls_per_s_and_node"`
	IdleCPU     float64 `json:"idle_cpu_percent_of_a_core_per_node"`

	ChangePerNode float64 `json:"bytes_per_change_and_node"`
	ChangeRemote  float64 `json:"remote_link_bytes_per_change"`
	ChangeCPUMs   float64 `json:"cpu_ms_per_change_and_node"`
	LogRemote     float64 `json:"remote_link_log_bytes_per_change"` // computed: payload of the log entry, once per remote region; this measurement runs no log

	ChurnPerNode float64 `json:"bytes_per_restart_and_node"`
	ChurnRemote  float64 `json:"remote_link_bytes_per_restart"`
	ChurnCPUMs   float64 `json:"cpu_ms_per_restart_and_node"`

	TargetPerNode float64 `json:"target_bytes_per_s_and_node"` // at 1,200 changes and 105 restarts per day
	TargetRemote  float64 `json:"target_remote_link_bytes_per_s"`
	TargetCPU     float64 `json:"target_cpu_percent_of_a_core_per_node"`
	LiveKB        float64 `json:"live_kb_per_node"`

	// BaselineRemote is the computed cost per change of full snapshots to every node of the
	// other regions.
	BaselineRemote  float64 `json:"baseline_remote_link_bytes_per_change"`
	BaselinePerNode float64 `json:"baseline_bytes_per_change_and_node"`
}

// sizes are the default numbers of nodes; 980 is the design target.
var sizes = []int{140, 280, 560, 980}

// name returns the name of the result; a run with a single size has its own file.
func (a *scaleArguments) name() string {
	if a != nil && len(a.Nodes) == 1 {
		return fmt.Sprintf("scale-%d", a.Nodes[0])
	}
	return "scale"
}

func (a *scaleArguments) run() (any, error) {
	if a != nil && len(a.Nodes) > 0 {
		return scale(a.Nodes)
	}
	return scale(sizes)
}

// scale measures a fleet of each size.
func scale(sizes []int) (any, error) {
	header, err := callOverhead()
	if err != nil {
		return nil, err
	}
	var rows []scaleRow
	for _, n := range sizes {
		row, err := scaleAt(n, header)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// sample holds the counters at one time.
type sample struct {
	at            time.Time
	cpu           time.Duration
	calls, remote float64 // remote: bytes over the links between regions
	bytes         float64
}

// readCounters reads the counters. It adds header bytes for each call, as in-memory transport
// counts message bodies only.
func readCounters(f *fleet.Fleet, header float64) sample {
	s := sample{at: time.Now(), cpu: cpuTime()}
	for l := range linkCount {
		t := f.Traffic(l)
		calls := float64(t.Calls.Load())
		bytes := float64(t.RequestBytes.Load()+t.ResponseBytes.Load()) + calls*header
		s.calls += calls
		s.bytes += bytes
		if l == remoteLink {
			s.remote = bytes
		}
	}
	return s
}

// rates are costs per second, or per event when costPerEvent returns them.
type rates struct{ bytes, remote, calls, cpu float64 }

// ratesBetween returns the rates between two samples.
func ratesBetween(a, b sample) rates {
	s := b.at.Sub(a.at).Seconds()
	return rates{(b.bytes - a.bytes) / s, (b.remote - a.remote) / s, (b.calls - a.calls) / s, (b.cpu - a.cpu).Seconds() / s}
}

// costPerEvent returns the cost of one of n events between two samples, without the idle cost
// of the same time.
func costPerEvent(a, b sample, idle rates, n float64) rates {
	s := b.at.Sub(a.at).Seconds()
	r := ratesBetween(a, b)
	return rates{(r.bytes - idle.bytes) * s / n, (r.remote - idle.remote) * s / n, 0, (r.cpu - idle.cpu) * s / n}
}

// scaleAt measures a fleet of n nodes: idle, with changes and with restarts.
func scaleAt(n int, header float64) (scaleRow, error) {
	o := fleet.Options{Domains: sevenDomains, InterRegionDelay: interRegionDelay, Configuration: configuration(), InMemory: true}
	disableAdmission(&o)
	before := liveBytes()
	f, err := fleet.New(o)
	if err != nil {
		return scaleRow{}, err
	}
	defer f.Close()
	if err := startNodes(f, sevenDomains, n); err != nil {
		return scaleRow{}, err
	}
	time.Sleep(startWait)
	nodes := float64(n)
	row := scaleRow{Nodes: n, Mode: "delta", HeaderBytes: header, LiveKB: float64(liveBytes()-before) / nodes / 1024}

	first := readCounters(f, header)
	time.Sleep(idleWindow)
	second := readCounters(f, header)
	idle := ratesBetween(first, second)
	row.IdlePerNode, row.IdleRemote, row.IdleCalls, row.IdleCPU = idle.bytes/nodes, idle.remote, idle.calls/nodes, 100*idle.cpu/nodes

	for i := range scaleChanges {
		f.Source().Accept(change(i))
		time.Sleep(eventInterval)
	}
	if err := await("last change", func() bool { return allApplied(f, scaleChanges+1) }); err != nil {
		return row, err
	}
	time.Sleep(settleWait)
	third := readCounters(f, header)
	changes := costPerEvent(second, third, idle, scaleChanges)
	row.ChangePerNode, row.ChangeRemote, row.ChangeCPUMs = changes.bytes/nodes, changes.remote, 1000*changes.cpu/nodes
	row.LogRemote = 2 * float64(proto.Size(&pb.Command{Command: &pb.Command_SubmitConfiguration{
		SubmitConfiguration: &pb.SubmitConfiguration{Changes: []*pb.Change{change(1)}},
	}}))

	for i := range scaleChurn {
		d := sevenDomains[i%len(sevenDomains)]
		if _, err := f.StartNode(fleet.NodeID(d, i), d, nodeService(sevenDomains, i)); err != nil {
			return row, err
		}
		time.Sleep(eventInterval)
	}
	if err := await("restarted nodes", func() bool { return allApplied(f, scaleChanges+1) }); err != nil {
		return row, err
	}
	time.Sleep(settleWait)
	churn := costPerEvent(third, readCounters(f, header), idle, scaleChurn)
	row.ChurnPerNode, row.ChurnRemote, row.ChurnCPUMs = churn.bytes/nodes, churn.remote, 1000*churn.cpu/nodes

	perDay := func(idle, change, churn float64) float64 {
		return idle + (change*changesPerDay+churn*churnPerDay)/secondsPerDay
	}
	row.TargetPerNode = perDay(row.IdlePerNode, row.ChangePerNode, row.ChurnPerNode)
	row.TargetRemote = perDay(row.IdleRemote, row.ChangeRemote+row.LogRemote, row.ChurnRemote)
	row.TargetCPU = perDay(row.IdleCPU, row.ChangeCPUMs/10, row.ChurnCPUMs/10)
	snapshot, _, err := config.Encode(f.Source().Configuration(), false)
	if err != nil {
		return row, err
	}
	row.BaselinePerNode = float64(len(snapshot)) + header
	row.BaselineRemote = row.BaselinePerNode * nodes * 4 / 7 // 4 of 7 failure domains are in other regions
	return row, nil
}

// callOverhead returns the bytes of a call besides its message bodies. It compares the same
// idle fleet over real connections and with in-memory transport.
func callOverhead() (float64, error) {
	run := func(inMemory bool) (calls, bytes float64, err error) {
		o := fleet.Options{Domains: fourDomains, Configuration: configuration(), InMemory: inMemory}
		disableAdmission(&o)
		f, err := fleet.New(o)
		if err != nil {
			return 0, 0, err
		}
		defer f.Close()
		if err := startNodes(f, fourDomains, overheadNodes); err != nil {
			return 0, 0, err
		}
		time.Sleep(2 * settleWait)
		count := func() (calls, bytes float64) {
			if inMemory {
				s := readCounters(f, 0)
				return s.calls, s.bytes
			}
			for l := range linkCount {
				bytes += float64(socketBytes(f, l))
			}
			return 0, bytes
		}
		calls0, bytes0 := count()
		time.Sleep(overheadWindow)
		calls1, bytes1 := count()
		return calls1 - calls0, bytes1 - bytes0, nil
	}
	_, sockets, err := run(false)
	if err != nil {
		return 0, err
	}
	calls, bodies, err := run(true)
	if err != nil {
		return 0, err
	}
	return (sockets - bodies) / calls, nil
}
