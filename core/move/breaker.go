package move

import (
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Breaker is the local circuit breaker of a node or failure domain for one move.
// It can only reduce the share of the new version below the accepted one.
type Breaker struct {
	judge  *Judge
	domain string
	move   pb.Move // passed to the judge: the share in force and a deadline after breakerHorizon
	limit  uint32  // permille
}

// breakerHorizon is the duration over which the probability of a false alarm is bounded,
// with one evaluation per second; a node does not know the deadline of a move.
const breakerHorizon = time.Hour

// NewBreaker returns a closed breaker.
func NewBreaker(domain string) *Breaker {
	b := &Breaker{
		judge: NewJudge(pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL), domain: domain, limit: fullShare,
		move: pb.Move{DeadlineUnixMs: breakerHorizon.Milliseconds()},
	}
	b.judge.profile = &breakerProfile
	return b
}

// Observe adds cumulative counts while the accepted share is permille. It must be called about
// once a second. It opens the breaker if the new version is worse than the old one, reduces
// the limit while that is not confirmed by concurrent calls, and removes it if no difference
// is found.
func (b *Breaker) Observe(cells []CellCounts, permille uint32, now time.Time) {
	if b.Open() {
		return
	}
	b.move.Domains = []*pb.DomainShare{{FailureDomain: b.domain, NewPermille: min(permille, b.limit)}}
	b.judge.observe(&b.move, &Evidence{Cells: cells}, now)
	switch v := b.judge.verdict(); {
	case v.judgement == bad:
		b.limit = 0
	case v.judgement == unconfirmed && !b.judge.demand.high():
		b.limit = min(b.limit, verifyShare)
	case v.judgement == fine:
		b.limit = fullShare
	}
}

// Limit returns the largest share of the new version that the breaker allows, in permille.
func (b *Breaker) Limit() uint32 { return b.limit }

// Open reports whether the breaker is open: the new version receives no calls until the
// move ends.
func (b *Breaker) Open() bool { return b.limit == 0 }
