package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"

	core "github.com/rattanfield/rattanfield/core/ledger"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	recoveryInterval = 200 * time.Millisecond
	pullTimeout      = time.Second
)

var errRecovering = errors.New("ledger: the other member is recovering too")

// Recovery makes the members of a restarted node ready to grant claims: it
// merges the claims of the other members into them.
type Recovery struct {
	service *Service
	clients *Clients
}

// NewRecovery returns the recovery of the members in a Service. Run must be running.
func NewRecovery(s *Service, c *Clients) *Recovery { return &Recovery{service: s, clients: c} }

// Run recovers the members of the node periodically until the context ends.
func (r *Recovery) Run(ctx context.Context) {
	ticker := time.NewTicker(recoveryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.step(ctx)
		}
	}
}

// step tries to recover the member of each service for which this node is in the
// ledger group.
func (r *Recovery) step(ctx context.Context) {
	p := r.service.configuration.Projection()
	if p == nil {
		return
	}
	now := r.service.options.Now()
	self := r.service.options.NodeID
	for _, s := range p.Configuration.GetServices() {
		groups := core.Groups(s, now)
		all := core.Union(groups)
		if !slices.Contains(all, self) || !r.service.mayRecover(s.GetName()) {
			continue
		}
		others := slices.DeleteFunc(all, func(id string) bool { return id == self })
		claims, pulled := r.pullAll(ctx, s.GetName(), others)
		if core.RecoveryComplete(groups, self, pulled) {
			r.service.finishRecovery(s.GetName(), claims)
		}
	}
}

func (s *Service) mayRecover(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(service)
	now := s.options.Now()
	return !m.Ready(now) && m.MayRecover(now)
}

func (s *Service) finishRecovery(service string, claims []*pb.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(service)
	m.Merge(s.options.Now(), claims)
	m.MarkRecovered()
}

// pullAll returns the claims of the other members that are ready, and the set of
// the members that returned them.
func (r *Recovery) pullAll(ctx context.Context, service string, others []string) ([]*pb.Claim, map[string]bool) {
	var all []*pb.Claim
	pulled := make(map[string]bool)
	for _, id := range others {
		if claims, err := r.pull(ctx, service, id); err == nil {
			all = append(all, claims...)
			pulled[id] = true
		}
	}
	return all, pulled
}

// pull returns all claims of one member, or errRecovering when it is not ready.
func (r *Recovery) pull(ctx context.Context, service, id string) ([]*pb.Claim, error) {
	client, err := r.clients.forNode(id)
	if err != nil {
		return nil, err
	}
	var all []*pb.Claim
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, pullTimeout)
		resp, err := client.PullClaims(call, connect.NewRequest(&pb.PullClaimsRequest{Service: service, AfterKey: after}))
		cancel()
		if err != nil {
			return nil, err
		}
		if resp.Msg.GetRecovering() {
			return nil, errRecovering
		}
		all = append(all, resp.Msg.GetClaims()...)
		if !resp.Msg.GetMore() {
			return all, nil
		}
		after = core.Cursor(resp.Msg.GetClaims())
	}
}
