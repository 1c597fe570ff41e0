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

var errRecovering = errors.New("ledger: the other member recovers itself")

// Recovery merges the claims of the other members into a restarted one.
type Recovery struct {
	service *Service
	clients *Clients
}

// NewRecovery returns the duty that makes the members of a service ready.
func NewRecovery(s *Service, c *Clients) *Recovery { return &Recovery{service: s, clients: c} }

// Run until the context ends.
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

func (r *Recovery) step(ctx context.Context) {
	p := r.service.configuration.Projection()
	if p == nil {
		return
	}
	now := r.service.options.Now()
	for _, s := range p.Configuration.GetServices() {
		all := core.Union(core.Groups(s, now))
		if !slices.Contains(all, r.service.options.NodeID) || !r.service.mayRecover(s.GetName()) {
			continue
		}
		others := slices.DeleteFunc(all, func(id string) bool { return id == r.service.options.NodeID })
		if claims, err := r.pullAll(ctx, s.GetName(), others); err == nil {
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
	m.Recovered()
}

// pullAll returns the claims of all other members, or an error when one is missing.
func (r *Recovery) pullAll(ctx context.Context, service string, others []string) ([]*pb.Claim, error) {
	var all []*pb.Claim
	for _, id := range others {
		claims, err := r.pull(ctx, service, id)
		if err != nil {
			return nil, err
		}
		all = append(all, claims...)
	}
	return all, nil
}

func (r *Recovery) pull(ctx context.Context, service, id string) ([]*pb.Claim, error) {
	client, err := r.clients.get(id)
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
