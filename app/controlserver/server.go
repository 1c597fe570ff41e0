package controlserver

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/core/nodetable"
	"github.com/rattanfield/rattanfield/core/quota"
	"github.com/rattanfield/rattanfield/core/suspects"
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
	// suspectsTimePerNode is added to coalesceTime for changes of suspects. They are more urgent than those of the table and
	// rare, but many upstreams may end at the same time.
	suspectsTimePerNode = 100 * time.Microsecond
	// maxWait is the longest long poll that a peer may ask for.
	maxWait = 5 * time.Second
)

// State is the access to the replicated state that the server needs.
type State interface {
	ports.Proposer
	ports.StateReader
	ports.QuorumReader
	ports.Leadership
	// Admit adds a control host to the member set. It fails unless this host leads.
	Admit(ctx context.Context, m *pb.Member) error
}

// Server serves the nodes and the other control hosts.
type Server struct {
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

	suspects        *suspects.Registry
	suspectsChanged chan struct{} // closed at the next change of suspects

	quotas        *quota.Aggregator
	quotasChanged chan struct{} // closed at the next change of a total that is urgent
}

// New returns the server of the control host with this id.
func New(id string, state State, client *rpc.Client, logger log.Logger) *Server {
	return &Server{
		id: id, epoch: time.Now().UnixNano(), state: state, logger: logger, start: time.Now(),
		clients: rpc.NewCache(func(address string) rattanfieldv1connect.MeshServiceClient {
			return rattanfieldv1connect.NewMeshServiceClient(client.HTTP(), rpc.URL(address), rpc.AcceptZstd())
		}),
		table: nodetable.New(), outcomes: nodetable.New(), changed: make(chan struct{}), planChanged: make(chan struct{}),
		suspects: suspects.New(), suspectsChanged: make(chan struct{}),
		quotas: quota.NewAggregator(0), quotasChanged: make(chan struct{}),
	}
}

// now returns the time since the server was created.
func (s *Server) now() time.Duration { return time.Since(s.start) }

// Run exchanges records with the other control hosts and marks silent nodes until the
// context ends, and then returns nil.
func (s *Server) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.followState(ctx) })
	group.Go(func() { s.exchangeWithAll(ctx) })
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			group.Wait()
			return nil
		case <-ticker.C:
			s.sweep()
		}
	}
}

// followState wakes the waiting polls when the plan or a rollout changes.
func (s *Server) followState(ctx context.Context) {
	last := uint64(0)
	for {
		changed := s.state.Changed()
		if n := s.state.State().PlanChanges; n != last {
			last = n
			s.mu.Lock()
			close(s.planChanged)
			s.planChanged = make(chan struct{})
			s.mu.Unlock()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// sweep marks the nodes that stopped polling as silent and drops old records.
func (s *Server) sweep() {
	var silentNodes []string
	mark := func(r *pb.NodeRecord) *pb.NodeRecord {
		c := proto.CloneOf(r)
		c.Silent = true
		silentNodes = append(silentNodes, r.GetNode())
		return c
	}
	s.mu.Lock()
	if s.table.MarkSilent(s.now(), silentAfter, forgetAfter, mark) {
		s.wakeLocked()
	}
	s.outcomes.MarkSilent(s.now(), forgetAfter, forgetAfter, mark)
	s.sweepQuotasLocked()
	s.mu.Unlock()
	for _, node := range silentNodes {
		_ = s.logger.Log("event", "node silent", "node", node, "after", silentAfter)
	}
}

// wakeLocked wakes the polls that wait for a change of the table.
func (s *Server) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeRecord stores the record that a node sent in the node table, and its outcomes in
// the outcomes table. It removes the outcomes from r. Odd records and outcomes are ignored.
func (s *Server) storeRecord(r *pb.NodeRecord) {
	if r.GetNode() == "" {
		return
	}
	outcomes := &pb.NodeRecord{
		Node: r.GetNode(), Epoch: r.GetEpoch(), Seq: r.GetSeq(),
		Instance: r.GetInstance(), Service: r.GetService(), Version: r.GetVersion(), Outcomes: nodetable.ValidOutcomes(r.GetOutcomes()),
	}
	r.Outcomes = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.table.Put(r, s.now())
	if len(outcomes.GetOutcomes()) > 0 {
		changed = s.outcomes.Put(outcomes, s.now()) || changed
	}
	if changed {
		s.wakeLocked()
	}
}

// mergeSuspects stores suspects that a node or, unless direct, another control host sent.
func (s *Server) mergeSuspects(records []*pb.SuspectRequest, direct bool) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspects.Merge(time.Now(), records, direct) {
		close(s.suspectsChanged)
		s.suspectsChanged = make(chan struct{})
	}
}

// Outcomes calls f for the outcomes that each node reported, with the time since they
// were last confirmed. f must not block.
func (s *Server) Outcomes(f func(r *pb.NodeRecord, age time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.outcomes.ForEach(func(r *pb.NodeRecord, heard time.Duration) { f(r, now-heard) })
}

// Nodes calls f for the record of each node. f must not block.
func (s *Server) Nodes(f func(*pb.NodeRecord)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ForEach(func(r *pb.NodeRecord, _ time.Duration) { f(r) })
}

// Announce forwards the announcement of an upstream to the node on its host.
func (s *Server) Announce(ctx context.Context, nodeAddress string, a *pb.Announcement) error {
	_, err := s.clients.Get(nodeAddress).Announce(ctx, announceRequest(a))
	return err
}
