package hub

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/roster"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	// silentAfter is two missed polls of a node (see attach.pollWait) and a round trip between regions.
	silentAfter = 2500 * time.Millisecond
	// forgetAfter keeps records through a partition between control hosts of the length that
	// sites see daily, while nodes on both sides serve.
	forgetAfter   = 60 * time.Second
	sweepInterval = 500 * time.Millisecond
	// lease is how recent the confirmation of a quorum must be for this host to count as current.
	lease = 1200 * time.Millisecond
	// settle joins changes of the table that come together into one answer; settlePerNode lets
	// it grow with the number of nodes, because each change goes to each of them. Plans and
	// rollouts do not wait.
	settle        = 20 * time.Millisecond
	settlePerNode = time.Millisecond
	// maxWait bounds a long poll, whatever the node asks for.
	maxWait = 5 * time.Second
)

// State is what the hub needs of the replicated state.
type State interface {
	ports.StateReader
	ports.QuorumReader
	ports.Leadership
	// Admit adds a control host to the member set; only the leader can.
	Admit(ctx context.Context, m *pb.Member) error
}

// Hub serves nodes and other control hosts.
type Hub struct {
	id     string
	epoch  int64
	state  State
	logger log.Logger
	start  time.Time

	nodes *rpc.Cache[rattanfieldv1connect.MeshServiceClient]

	mu       sync.Mutex
	table    *roster.Table
	outcomes *roster.Table // records with outcomes only
	changed  chan struct{} // closed at the next change of the table
	decided  chan struct{} // closed at the next change of the plan or a rollout
}

// New returns a hub of the control host with this id.
func New(id string, state State, client *rpc.Client, logger log.Logger) *Hub {
	return &Hub{
		id: id, epoch: time.Now().UnixNano(), state: state, logger: logger, start: time.Now(),
		nodes: rpc.NewCache(func(address string) rattanfieldv1connect.MeshServiceClient {
			return rattanfieldv1connect.NewMeshServiceClient(client.HTTP(), rpc.URL(address))
		}),
		table: roster.New(), outcomes: roster.New(), changed: make(chan struct{}), decided: make(chan struct{}),
	}
}

func (h *Hub) now() time.Duration { return time.Since(h.start) }

// Run keeps the table current until the context ends, and then returns nil.
func (h *Hub) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { h.followState(ctx) })
	group.Go(func() { h.exchangeWithAll(ctx) })
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			group.Wait()
			return nil
		case <-ticker.C:
			h.sweep()
		}
	}
}

// followState wakes polls when the plan or a rollout changes.
func (h *Hub) followState(ctx context.Context) {
	last := uint64(0)
	for {
		changed := h.state.Changed()
		if n := h.state.State().PlanChanges; n != last {
			last = n
			h.mu.Lock()
			close(h.decided)
			h.decided = make(chan struct{})
			h.mu.Unlock()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (h *Hub) sweep() {
	var silenced []string
	mark := func(r *pb.NodeRecord) *pb.NodeRecord {
		c := proto.CloneOf(r)
		c.Silent = true
		silenced = append(silenced, r.GetNode())
		return c
	}
	h.mu.Lock()
	if h.table.MarkSilent(h.now(), silentAfter, forgetAfter, mark) {
		h.wakeLocked()
	}
	h.outcomes.MarkSilent(h.now(), forgetAfter, forgetAfter, mark)
	h.mu.Unlock()
	for _, node := range silenced {
		_ = h.logger.Log("event", "node silent", "node", node, "after", silentAfter)
	}
}

func (h *Hub) wakeLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// take stores the record of a node.
func (h *Hub) take(r *pb.NodeRecord) {
	if r.GetNode() == "" {
		return
	}
	outcomes := &pb.NodeRecord{
		Node: r.GetNode(), Epoch: r.GetEpoch(), Seq: r.GetSeq(),
		Instance: r.GetInstance(), Service: r.GetService(), Version: r.GetVersion(), Outcomes: r.GetOutcomes(),
	}
	r.Outcomes = nil
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.table.Put(r, h.now())
	if len(outcomes.GetOutcomes()) > 0 {
		changed = h.outcomes.Put(outcomes, h.now()) || changed
	}
	if changed {
		h.wakeLocked()
	}
}

// Outcomes calls f for what each node counted, with the age of the count; f must not block.
func (h *Hub) Outcomes(f func(r *pb.NodeRecord, age time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.outcomes.ForEach(func(r *pb.NodeRecord, heard time.Duration) { f(r, now-heard) })
}

// Nodes calls f for the record of each node; f must not block.
func (h *Hub) Nodes(f func(*pb.NodeRecord)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.ForEach(func(r *pb.NodeRecord, _ time.Duration) { f(r) })
}

// Announce passes an announcement of an upstream on to the node on its host.
func (h *Hub) Announce(ctx context.Context, nodeAddress string, a *pb.Announcement) error {
	_, err := h.nodes.Get(nodeAddress).Announce(ctx, announceRequest(a))
	return err
}
