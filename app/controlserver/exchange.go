package controlserver

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/core/nodetable"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

const (
	// exchangeWait is how long a control host holds a poll of another one without changes.
	// It can be long because records rarely change.
	exchangeWait = 2 * time.Second
	// exchangeTimeout is the timeout of a request in addition to its wait. It allows
	// several round trips between regions.
	exchangeTimeout = time.Second
	exchangeRetry   = 250 * time.Millisecond
	joinInterval    = 500 * time.Millisecond
	joinTimeout     = 800 * time.Millisecond
	joinConcurrency = 8 // join requests in progress
	// removedAfter is how long a host must be without contact to a leader until it assumes that it may have been
	// removed from the group, which nobody else tells it. It is several election timeouts.
	removedAfter = 2 * time.Second
)

// exchangeWithAll runs one loop of polls for each other control host, and follows
// changes of the member set.
func (s *Server) exchangeWithAll(ctx context.Context) {
	running := make(map[string]context.CancelFunc)
	for {
		changed := s.state.Changed()
		wanted := make(map[string]bool)
		for _, m := range s.state.State().Members {
			if m.GetId() != s.id {
				wanted[m.GetAddress()] = true
			}
		}
		for address := range wanted {
			if running[address] == nil {
				peer, cancel := context.WithCancel(ctx)
				running[address] = cancel
				go s.exchangeWith(peer, address)
			}
		}
		for address, cancel := range running {
			if !wanted[address] {
				cancel()
				delete(running, address)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return
		}
	}
}

// exchangeWith polls one control host for its records until the context ends.
func (s *Server) exchangeWith(ctx context.Context, address string) {
	have := &pb.MeshServiceExchangeRequest{WaitMs: uint32(exchangeWait.Milliseconds())}
	reachable := true
	for ctx.Err() == nil {
		r, err := s.poll(ctx, address, have)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reachable {
			reachable = err == nil
			_ = s.logger.Log("event", "control host", "peer", address, "reachable", reachable, "err", err)
		}
		if err != nil {
			lifecycle.Pause(ctx, exchangeRetry/2+rand.N(exchangeRetry))
			continue
		}
		s.mergeDemands(address, have, r)
		have.DemandsVersion = r.GetDemandsVersion()
		have.TableEpoch, have.TableVersion, have.SuspectsVersion = r.GetTableEpoch(), r.GetTableVersion(), r.GetSuspectsVersion()
		s.merge(address, r.GetRecords())
		s.mergeSuspects(r.GetSuspects(), false)
	}
}

func (s *Server) poll(ctx context.Context, address string, have *pb.MeshServiceExchangeRequest) (*pb.MeshServiceExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeWait+exchangeTimeout)
	defer cancel()
	r, err := s.clients.Get(address).Exchange(ctx, connect.NewRequest(have))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// merge merges the records that another control host, the receiver, received directly
// from nodes.
func (s *Server) merge(receiver string, records []*pb.NodeRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.table.Confirm(receiver, now)
	changed := false
	for _, r := range records {
		if len(r.GetOutcomes()) > 0 {
			r.Outcomes = nodetable.ValidOutcomes(r.GetOutcomes())
			s.outcomes.Merge(r, receiver, now)
			continue
		}
		changed = s.table.Merge(r, receiver, now) || changed
		s.moveDemandsLocked(r, now)
	}
	if changed {
		s.wakeLocked()
	}
}

// Joiner asks other control hosts to admit this host until it is a member.
type Joiner struct {
	Self   *pb.Member
	Seeds  func() []string // peer addresses of control hosts, asked after a known leader
	State  State
	Client *rpc.Client
	Log    func(keyvals ...any) error
}

// Run asks to be admitted until the context ends, and then returns nil. While this host
// is a member, Run only checks periodically that it still is.
func (j *Joiner) Run(ctx context.Context) error {
	waiting := false
	for ctx.Err() == nil {
		if j.isMember() {
			if waiting {
				_ = j.Log("event", "joined the control group")
			}
			waiting = false
			lifecycle.Pause(ctx, 4*joinInterval)
			continue
		}
		addresses := j.addresses()
		if !waiting {
			_ = j.Log("event", "waiting to join the control group", "asking", len(addresses), "first", firstAddress(addresses))
		}
		waiting = true
		j.requestJoins(ctx, addresses)
		lifecycle.Pause(ctx, joinInterval/2+rand.N(joinInterval))
	}
	return nil
}

func firstAddress(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[0]
}

// isMember reports whether the member set contains this host with its current address
// and failure domain. The member set that this host knows counts only while a leader keeps it up to date.
func (j *Joiner) isMember() bool {
	if j.State.ConfirmedAge() > removedAfter {
		return false
	}
	for _, m := range j.State.State().Members {
		if m.GetId() == j.Self.GetId() && m.GetAddress() == j.Self.GetAddress() && m.GetFailureDomain() == j.Self.GetFailureDomain() {
			return true
		}
	}
	return false
}

// addresses returns the control hosts to ask: a known leader, the seeds and the members.
func (j *Joiner) addresses() []string {
	seen := map[string]bool{}
	var out []string
	add := func(a string) {
		if a != "" && !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	_, leader := j.State.Leader()
	add(leader)
	for _, a := range j.Seeds() {
		add(a)
	}
	for _, m := range j.State.State().Members {
		add(m.GetAddress())
	}
	return out
}

// requestJoins asks several control hosts at once, because hosts that are gone let requests wait.
func (j *Joiner) requestJoins(ctx context.Context, addresses []string) {
	for some := range slices.Chunk(addresses, joinConcurrency) {
		var group sync.WaitGroup
		for _, a := range some {
			group.Go(func() { j.requestJoin(ctx, a) })
		}
		group.Wait()
	}
}

// requestJoin sends a join request to a control host, and to the leader that it names.
func (j *Joiner) requestJoin(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	client := rattanfieldv1connect.NewMeshServiceClient(j.Client.HTTP(), rpc.URL(address))
	r, err := client.Join(ctx, connect.NewRequest(&pb.JoinRequest{Member: j.Self}))
	if err != nil || r.Msg.GetLeaderAddress() == "" || r.Msg.GetLeaderAddress() == address {
		return // the next round repeats the request
	}
	leader := rattanfieldv1connect.NewMeshServiceClient(j.Client.HTTP(), rpc.URL(r.Msg.GetLeaderAddress()))
	_, _ = leader.Join(ctx, connect.NewRequest(&pb.JoinRequest{Member: j.Self})) // the member set shows the result
}
