package quotas

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/rattanfield/rattanfield/core/quota"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Store holds the limiter of a node.
type Store struct {
	logger log.Logger
	start  time.Time
	urgent func()

	mu            sync.Mutex
	limiter       *quota.Limiter
	names         map[quota.ID]string // of limited organisations, for log lines
	counts        counts
	urgentPending bool
	reportedAt    time.Duration
	earlyAt       time.Duration // of the last early report
	appliedAt     time.Duration
	applied       bool
}

// New returns a store. urgent is called, in its own goroutine, when a report should be sent before the next poll.
func New(s quota.Settings, urgent func(), set *metrics.Set, logger log.Logger) *Store {
	out := &Store{
		logger: logger, start: time.Now(), urgent: urgent, limiter: quota.New(s), names: make(map[quota.ID]string),
		reportedAt: -time.Hour, earlyAt: -time.Hour,
	}
	out.counts = newCounts(set, out)
	return out
}

// now returns the time since the store was made. It does not follow jumps of the time of day.
func (s *Store) now() time.Duration { return time.Since(s.start) }

// Ticket is the admission of a request. The zero value is that of a request without quota.
type Ticket struct {
	id      quota.ID
	at      time.Duration
	charged bool
}

// Admit decides whether a request of an organisation is within its quota, and returns when its caller may return otherwise. nodes
// is the number of nodes of the mesh.
func (s *Store) Admit(o *pb.Organisation, nodes int) (t Ticket, retryAfter time.Duration, ok bool) {
	if o.GetRequestsPerSecond() <= 0 {
		return Ticket{}, 0, true
	}
	id := quota.IDOf(o.GetName())
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.limiter.SetNodes(nodes)
	d := s.limiter.Admit(now, id, quota.Limit{Rate: o.GetRequestsPerSecond(), Burst: o.GetBurst()}, rand.Float64())
	if d.Urgent {
		s.reportEarly(now)
	}
	s.counts.count(o.GetName(), id, d.Admitted)
	if !d.Admitted {
		if d.Started {
			s.names[id] = o.GetName()
			_ = s.logger.Log("event", "quota reached", "organisation", o.GetName(), "rate", o.GetRequestsPerSecond(), "burst", o.GetBurst(),
				"state", fmt.Sprintf("%+v", s.limiter.State(id)))
		}
		return Ticket{}, d.RetryAfter, false
	}
	return Ticket{id: id, at: now, charged: true}, 0, true
}

// GiveBack takes back a request that has certainly not run.
func (s *Store) GiveBack(t Ticket) {
	if !t.charged {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.GiveBack(s.now(), t.id, t.at)
}

// reportEarly asks for a report as soon as one may follow the last.
func (s *Store) reportEarly(now time.Duration) {
	if s.urgentPending {
		return
	}
	s.urgentPending = true
	s.earlyAt = max(s.reportedAt+quota.UrgentInterval, s.earlyAt+quota.UrgentInterval, now)
	time.AfterFunc(s.earlyAt-now, s.endPollIfUrgent)
}

func (s *Store) endPollIfUrgent() {
	s.mu.Lock()
	news := s.limiter.HasUrgent(s.now())
	s.urgentPending = false
	s.mu.Unlock()
	if news {
		s.urgent()
	}
}

// Report returns the demands for the next poll, with whole all of them.
func (s *Store) Report(whole bool) []*pb.OrganisationDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := s.limiter.Report(now, whole)
	if len(out) > 0 {
		s.reportedAt = now
	}
	for _, id := range s.limiter.Ended() {
		_ = s.logger.Log("event", "quota no longer reached", "organisation", s.names[id])
		delete(s.names, id)
	}
	return ToMessages(out)
}

// Acknowledge records that a control host has the last report.
func (s *Store) Acknowledge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Acknowledge()
}

// Apply takes the totals of a control host that knows all nodes; none if they have not changed.
func (s *Store) Apply(totals []*pb.OrganisationDemand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appliedAt, s.applied = s.now(), true
	s.limiter.Heard(s.now())
	s.limiter.Apply(s.now(), FromMessages(totals))
}
