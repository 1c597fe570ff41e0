package ledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	core "github.com/rattanfield/rattanfield/core/ledger"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
	"github.com/rattanfield/rattanfield/ports"
)

// Options of a Service and a Keeper.
type Options struct {
	NodeID      string
	Incarnation int64     // start time of the process, Unix nanoseconds
	Started     time.Time // start of the process; what members granted before is forgotten
	// Retention of claims; 0 selects the value of the design. Tests shorten it.
	Retention time.Duration
	// FirstRevision is the first configuration revision that this process applied, 0 before
	// that; nil when it is not known.
	FirstRevision func() uint64
	// LinkTo classifies peer addresses, so that the nearest members are asked first; nil asks all at once.
	LinkTo func(address string) ports.Link
	// Now is the clock; nil selects time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Retention == 0 {
		o.Retention = core.Retention
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Service answers the calls of gates and of other members.
type Service struct {
	options       Options
	configuration ports.ConfigurationReader
	suspects      ports.SuspectReceiver

	mu      sync.Mutex
	members map[string]*core.Member // by service
}

var _ rattanfieldv1connect.CallServiceHandler = (*Service)(nil)

// NewService returns the service of one node; suspects may be nil.
func NewService(o Options, c ports.ConfigurationReader, suspects ports.SuspectReceiver) *Service {
	return &Service{
		options: o.withDefaults(), configuration: c, suspects: suspects,
		members: make(map[string]*core.Member),
	}
}

// member is called with the lock held.
func (s *Service) member(service string) *core.Member {
	m := s.members[service]
	if m == nil {
		m = core.NewMember(s.options.Started, s.options.Retention)
		s.members[service] = m
	}
	if !m.Ready(s.options.Now()) && s.isFirstGroup(service) {
		m.MarkRecovered()
	}
	return m
}

// isFirstGroup reports that this process cannot have forgotten a grant for the
// service: it had a configuration from before the group was named, and was not
// in the group before.
func (s *Service) isFirstGroup(service string) bool {
	p := s.configuration.Projection()
	if p == nil || s.options.FirstRevision == nil {
		return false
	}
	c, first := p.Service(service), s.options.FirstRevision()
	return first > 0 && first < c.GetLedgerRevision() &&
		!slices.Contains(c.GetPreviousLedgerMembers(), s.options.NodeID)
}

// Claim votes on a claim.
func (s *Service) Claim(_ context.Context, r *connect.Request[pb.ClaimRequest]) (*connect.Response[pb.ClaimResponse], error) {
	c := r.Msg.GetClaim()
	if s.isOutdated(c.GetService(), r.Msg.GetGroupEpoch()) {
		return connect.NewResponse(&pb.ClaimResponse{Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_WRONG_GROUP}), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome, current := s.member(c.GetService()).Claim(s.options.Now(), c)
	return connect.NewResponse(&pb.ClaimResponse{Outcome: outcome, Current: current}), nil
}

// isOutdated reports that the gate knows an older group than this node.
func (s *Service) isOutdated(service string, epoch int64) bool {
	p := s.configuration.Projection()
	return p != nil && p.Service(service).GetLedgerChangedUnixMs() > epoch
}

// Complete takes the end of a claim.
func (s *Service) Complete(_ context.Context, r *connect.Request[pb.CompleteRequest]) (*connect.Response[pb.CompleteResponse], error) {
	c := r.Msg.GetClaim()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.member(c.GetService()).Complete(s.options.Now(), c)
	return connect.NewResponse(&pb.CompleteResponse{}), nil
}

// PullClaims gives a page of claims to a member that recovers.
func (s *Service) PullClaims(_ context.Context, r *connect.Request[pb.PullClaimsRequest]) (*connect.Response[pb.PullClaimsResponse], error) {
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(r.Msg.GetService())
	if !m.Ready(now) {
		return connect.NewResponse(&pb.PullClaimsResponse{Recovering: true}), nil
	}
	claims, more := m.Page(now, r.Msg.GetAfterKey())
	return connect.NewResponse(&pb.PullClaimsResponse{Claims: claims, More: more}), nil
}

// PushSuspects takes what another gate learned of requests that crash upstreams.
func (s *Service) PushSuspects(_ context.Context, r *connect.Request[pb.PushSuspectsRequest]) (*connect.Response[pb.PushSuspectsResponse], error) {
	if s.suspects != nil {
		s.suspects.Merge(r.Msg.GetSuspects())
	}
	return connect.NewResponse(&pb.PushSuspectsResponse{}), nil
}

// Ready reports that this node may grant claims of the service.
func (s *Service) Ready(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member(service).Ready(s.options.Now())
}
