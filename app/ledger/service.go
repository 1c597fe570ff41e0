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

// Options configures a Service and a Keeper.
type Options struct {
	NodeID      string
	Incarnation int64     // start time of the process, Unix nanoseconds
	Started     time.Time // start of the process; grants from before it are lost
	// Retention is how long claims are stored; 0 selects core.Retention. Tests use shorter values.
	Retention time.Duration
	// FirstRevision returns the first configuration revision that this process applied, or 0
	// before it has applied one. It is nil when that revision is not known.
	FirstRevision func() uint64
	// LinkTo returns the class of the link to a peer address, by which the nearest members are
	// asked first. When it is nil, all members are asked at once.
	LinkTo func(address string) ports.Link
	// Now returns the current time; nil selects time.Now.
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

// Service answers the RPCs of gates and of other members of ledger groups.
type Service struct {
	options       Options
	configuration ports.ConfigurationReader
	suspects      ports.SuspectReceiver

	mu      sync.Mutex
	members map[string]*core.Member // by service
}

var _ rattanfieldv1connect.CallServiceHandler = (*Service)(nil)

// NewService returns the service of one node. The receiver of suspects may be nil.
func NewService(o Options, c ports.ConfigurationReader, suspects ports.SuspectReceiver) *Service {
	return &Service{
		options: o.withDefaults(), configuration: c, suspects: suspects,
		members: make(map[string]*core.Member),
	}
}

// member returns the member for a service and creates it on first use. The
// caller must hold mu.
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

// isFirstGroup reports whether this node cannot have lost a grant for the
// service: the process applied a configuration from before the current group was
// set, and the node was not in the previous group.
func (s *Service) isFirstGroup(service string) bool {
	p := s.configuration.Projection()
	if p == nil || s.options.FirstRevision == nil {
		return false
	}
	c, first := p.Service(service), s.options.FirstRevision()
	return first > 0 && first < c.GetLedgerRevision() &&
		!slices.Contains(c.GetPreviousLedgerMembers(), s.options.NodeID)
}

// Claim returns the vote of this member on a claim. The outcome is WRONG_GROUP
// when the gate knows an older group than this node.
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

// isOutdated reports whether a gate with this group epoch knows an older group
// than this node.
func (s *Service) isOutdated(service string, epoch int64) bool {
	p := s.configuration.Projection()
	return p != nil && p.Service(service).GetLedgerChangedUnixMs() > epoch
}

// Complete records the stored response or the release of a claim.
func (s *Service) Complete(_ context.Context, r *connect.Request[pb.CompleteRequest]) (*connect.Response[pb.CompleteResponse], error) {
	c := r.Msg.GetClaim()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.member(c.GetService()).Complete(s.options.Now(), c)
	return connect.NewResponse(&pb.CompleteResponse{}), nil
}

// PullClaims returns a page of claims to a member that recovers.
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

// PushSuspects merges what another gate has learned about requests that crash upstreams.
func (s *Service) PushSuspects(_ context.Context, r *connect.Request[pb.PushSuspectsRequest]) (*connect.Response[pb.PushSuspectsResponse], error) {
	if s.suspects != nil {
		s.suspects.Merge(r.Msg.GetSuspects())
	}
	return connect.NewResponse(&pb.PushSuspectsResponse{}), nil
}

// Ready reports whether this node may grant claims for the service.
func (s *Service) Ready(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.member(service).Ready(s.options.Now())
}
