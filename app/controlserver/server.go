package controlserver

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/nodetable"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
)

const (
	// silentAfter is the time without a poll after which a node is marked as silent: two
	// missed polls (see controlclient.pollWait) and a round trip between regions.
	silentAfter = 2500 * time.Millisecond
	// forgetAfter is the time after which a record that is not confirmed is dropped. It is
	// longer than the daily partitions between control hosts, during which the nodes on
	// both sides continue to serve.
	forgetAfter   = 60 * time.Second
	sweepInterval = 500 * time.Millisecond
	// lease is the age of the last confirmation by a quorum up to which responses are
	// marked as confirmed.
	lease = 1200 * time.Millisecond
	// coalesceTime is how long a response waits for further changes of the table, so that
	// changes that occur together are sent together. coalesceTimePerNode is added for each
	// node, because every change is sent to every node. Plans and rollouts are sent without
	// this wait.
	coalesceTime        = 20 * time.Millisecond
	coalesceTimePerNode = time.Millisecond
	// maxWait is the longest long poll that a peer may ask for.
	maxWait = 5 * time.Second
)

// State is the access to the replicated state that the hub needs.
type State interface {
	ports.StateReader
	ports.QuorumReader
	ports.Leadership
	// Admit adds a control host to the member set. It fails unless this host leads.
	Admit(ctx context.Context, m *pb.Member) error
}

// Hub serves the nodes and the other control hosts.
type Hub struct {
	id     string
	epoch  int64
	state  State
	logger log.Logger
	start  time.Time

	clients *rpc.Cache[rattanfieldv1connect.MeshServiceClient]

	mu          sync.Mutex
	table       *nodetable.Table // node table: records without outcomes
	outcomes    *nodetable.Table // outcomes table: records that contain only outcomes
	changed     chan struct{}    // closed at the next change of the node table, or when a node reports changed outcomes
	planChanged chan struct{}    // closed at the next change of the plan or a rollout
}

// New returns the hub of the control host with this id.
func New(id string, state State, client *rpc.Client, logger log.Logger) *Hub {
	return &Hub{
		id: id, epoch: time.Now().UnixNano(), state: state, logger: logger, start: time.Now(),
		clients: rpc.NewCache(func(address string) rattanfieldv1connect.MeshServiceClient {
			return rattanfieldv1connect.NewMeshServiceClient(client.HTTP(), rpc.URL(address))
		}),
		table: nodetable.New(), outcomes: nodetable.New(), changed: make(chan struct{}), planChanged: make(chan struct{}),
	}
}

// now returns the time since the hub was created.
func (h *Hub) now() time.Duration { return time.Since(h.start) }

// Run exchanges records with the other control hosts and marks silent nodes until the
// context ends, and then returns nil.
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

// followState wakes the waiting polls when the plan or a rollout changes.
func (h *Hub) followState(ctx context.Context) {
	last := uint64(0)
	for {
		changed := h.state.Changed()
		if n := h.state.State().PlanChanges; n != last {
			last = n
			h.mu.Lock()
			close(h.planChanged)
			h.planChanged = make(chan struct{})
			h.mu.Unlock()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// sweep marks the nodes that stopped polling as silent and drops old records.
func (h *Hub) sweep() {
	var silentNodes []string
	mark := func(r *pb.NodeRecord) *pb.NodeRecord {
		c := proto.CloneOf(r)
		c.Silent = true
		silentNodes = append(silentNodes, r.GetNode())
		return c
	}
	h.mu.Lock()
	if h.table.MarkSilent(h.now(), silentAfter, forgetAfter, mark) {
		h.wakeLocked()
	}
	h.outcomes.MarkSilent(h.now(), forgetAfter, forgetAfter, mark)
	h.mu.Unlock()
	for _, node := range silentNodes {
		_ = h.logger.Log("event", "node silent", "node", node, "after", silentAfter)
	}
}

// wakeLocked wakes the polls that wait for a change of the table.
func (h *Hub) wakeLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// storeRecord stores the record that a node sent in the node table, and its outcomes in
// the outcomes table. It removes the outcomes from r.
func (h *Hub) storeRecord(r *pb.NodeRecord) {
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

// Outcomes calls f for the outcomes that each node reported, with the time since they
// were last confirmed. f must not block.
func (h *Hub) Outcomes(f func(r *pb.NodeRecord, age time.Duration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.outcomes.ForEach(func(r *pb.NodeRecord, heard time.Duration) { f(r, now-heard) })
}

// Nodes calls f for the record of each node. f must not block.
func (h *Hub) Nodes(f func(*pb.NodeRecord)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.table.ForEach(func(r *pb.NodeRecord, _ time.Duration) { f(r) })
}

// Announce forwards the announcement of an upstream to the node on its host.
func (h *Hub) Announce(ctx context.Context, nodeAddress string, a *pb.Announcement) error {
	_, err := h.clients.Get(nodeAddress).Announce(ctx, announceRequest(a))
	return err
}
