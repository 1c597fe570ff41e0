package ledger

import (
	"fmt"
	"math/bits"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

var start = time.Unix(1_000_000, 0)

func claimOf(owner string, attempt uint64) *pb.Claim {
	return &pb.Claim{Key: "fare-7", Owner: owner, Attempt: attempt, Fingerprint: 1, State: pb.ClaimState_CLAIM_STATE_CLAIMED}
}

func withState(c *pb.Claim, state pb.ClaimState, body string) *pb.Claim {
	out := copyClaim(c)
	out.State, out.Answer = state, &pb.StoredAnswer{Status: 200, Body: []byte(body)}
	return out
}

func readyMembers() (a, b, c *Member) {
	a, b, c = NewMember(start, Retention), NewMember(start, Retention), NewMember(start, Retention)
	a.MarkRecovered()
	b.MarkRecovered()
	c.MarkRecovered()
	return a, b, c
}

const (
	granted    = pb.ClaimOutcome_CLAIM_OUTCOME_GRANTED
	taken      = pb.ClaimOutcome_CLAIM_OUTCOME_TAKEN
	recovering = pb.ClaimOutcome_CLAIM_OUTCOME_RECOVERING
	lostVote   = pb.ClaimOutcome_CLAIM_OUTCOME_UNSPECIFIED
)

// Guards against a grant that a member lost in a restart giving two gates a
// majority: the member must not recover until every attempt that could count
// the lost grant is known to another member.
func TestForgottenGrantIsNotCounted(t *testing.T) {
	is := is.New(t)
	m1, m2, m3 := readyMembers()
	group := [][]string{{"m1", "m2", "m3"}}
	a, now := claimOf("a", 1), start.Add(time.Hour)
	attemptA := NewAttempt(now, a, group)
	o, cur := m1.Claim(now, a)
	is.Equal(attemptA.Vote(now, "m1", o, cur), Waiting)
	m1 = NewMember(now, Retention) // m1 lost its grant; the claim has not reached m2 and m3
	tryRecovery := func(now time.Time) {
		if !m1.MayRecover(now) {
			return
		}
		for _, o := range []*Member{m2, m3} {
			page, _ := o.Page(now, "")
			m1.Merge(now, page)
		}
		m1.MarkRecovered()
	}
	now = now.Add(ClaimWindow - time.Millisecond)
	tryRecovery(now)
	o, cur = m2.Claim(now, a)
	is.Equal(attemptA.Vote(now, "m2", o, cur), Granted) // counts the grant that m1 lost
	b := claimOf("b", 1)
	attemptB := NewAttempt(now, b, group)
	o, cur = m1.Claim(now, b)
	is.Equal(o, recovering)
	attemptB.Vote(now, "m1", o, cur)
	o, cur = m3.Claim(now, b)
	is.True(attemptB.Vote(now, "m3", o, cur) != Granted)
	now = now.Add(RecoveryDelay)
	tryRecovery(now)
	is.True(m1.Ready(now))
	o, _ = m1.Claim(now, claimOf("c", 1))
	is.Equal(o, taken) // m1 learned of a from m2
}

// Guards against granting one of several claims of a key after a merge: the
// other one may have a majority.
func TestConflictingMergedClaimsAreNotGranted(t *testing.T) {
	is := is.New(t)
	for _, order := range [][2]int{{0, 1}, {1, 0}} {
		m := NewMember(start, Retention)
		now := start.Add(time.Minute)
		claims := []*pb.Claim{withExpiry(claimOf("a", 1), now.Add(time.Minute)), withExpiry(claimOf("b", 1), now.Add(time.Minute))}
		m.Merge(now, []*pb.Claim{claims[order[0]], claims[order[1]]})
		m.MarkRecovered()
		for _, c := range claims {
			o, _ := m.Claim(now, c)
			is.Equal(o, taken)
		}
		// Once one of them is released, the other one is granted again.
		m.Complete(now, withState(claims[0], pb.ClaimState_CLAIM_STATE_RELEASED, ""))
		o, _ := m.Claim(now, claims[1])
		is.Equal(o, granted)
		// A claim that arrives after its release is not granted; it would block the key.
		m.Complete(now, withState(claims[1], pb.ClaimState_CLAIM_STATE_RELEASED, ""))
		o, _ = m.Claim(now, claims[0])
		is.Equal(o, taken)
	}
}

// Guards against votes that lead to a wrong status.
func TestAttemptStatuses(t *testing.T) {
	other := claimOf("other", 1)
	third := claimOf("third", 1)
	foreign := claimOf("other", 1)
	foreign.Fingerprint = 2
	answered := withState(other, pb.ClaimState_CLAIM_STATE_ANSWERED, "ok")
	type vote struct {
		o   pb.ClaimOutcome
		cur *pb.Claim
	}
	g := vote{o: granted}
	cases := []struct {
		name  string
		votes []vote
		late  time.Duration
		want  AttemptStatus
	}{
		{"majority", []vote{g, g}, 0, Granted},
		{"one of three", []vote{g, {o: lostVote}}, 0, Waiting},
		{"two lost", []vote{g, {o: lostVote}, {o: recovering}}, 0, Unreachable},
		{"late grants do not count", []vote{g, g}, ClaimWindow, Unreachable},
		{"answered", []vote{{taken, answered}}, 0, Answered},
		{"held by a majority", []vote{{taken, other}, {taken, other}}, 0, MayBeClaimed},
		{"held by one, one silent", []vote{{taken, other}, {o: lostVote}}, 0, MayBeClaimed},
		{"divided", []vote{g, {taken, other}, {taken, third}}, 0, SplitVote},
		{"other request", []vote{{taken, foreign}, {taken, foreign}}, 0, KeyReused},
		{"wrong group", []vote{{o: pb.ClaimOutcome_CLAIM_OUTCOME_WRONG_GROUP}, {o: pb.ClaimOutcome_CLAIM_OUTCOME_FULL}}, 0, Unreachable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := NewAttempt(start, claimOf("me", 1), [][]string{{"0", "1", "2"}})
			d := Waiting
			for i, v := range c.votes {
				d = a.Vote(start.Add(c.late), fmt.Sprint(i), v.o, v.cur)
			}
			is.New(t).Equal(d, c.want)
		})
	}
}

// Guards against a resent request that does not get the stored response within
// the retention, also from a member that recovered the response from another
// one, and against response bodies that use memory without bound.
func TestStoredResponse(t *testing.T) {
	is := is.New(t)
	m, _, _ := readyMembers()
	a := claimOf("a", 1)
	m.Claim(start, a)
	m.Complete(start, withState(a, pb.ClaimState_CLAIM_STATE_ANSWERED, "ticket"))
	restarted := NewMember(start, Retention)
	page, more := m.Page(start, "")
	is.True(!more)
	restarted.Merge(start, page)
	for _, member := range []*Member{m, restarted} {
		o, cur := member.Claim(start.Add(Retention-time.Second), claimOf("b", 1))
		is.Equal(o, taken)
		is.Equal(string(cur.GetAnswer().GetBody()), "ticket")
	}
	o, _ := m.Claim(start.Add(Retention), claimOf("b", 1))
	is.Equal(o, granted)
	for i := range maxAnswerBytes/(1<<20) + 2 {
		c := claimOf("a", 1)
		c.Key = fmt.Sprint(i)
		m.Complete(start, withState(c, pb.ClaimState_CLAIM_STATE_ANSWERED, string(make([]byte, 1<<20))))
	}
	is.True(m.answerBytes <= maxAnswerBytes)
	last := claimOf("c", 1)
	last.Key = fmt.Sprint(maxAnswerBytes/(1<<20) + 1)
	o, cur := m.Claim(start, last)
	is.Equal(o, taken) // the claim is kept although the response body was dropped
	is.True(cur.GetAnswer().GetTruncated())
}

// Guards against paging that skips claims, so that a recovering member misses them.
func TestPagesReturnEveryClaim(t *testing.T) {
	is := is.New(t)
	m, _, _ := readyMembers()
	for i := range 3*pageSize + 5 {
		c := claimOf("a", uint64(i))
		c.Key, c.Tenant = fmt.Sprint(i), fmt.Sprint(i%3)
		m.Claim(start, c)
		if i%2 == 0 { // keys without a live claim must not end the paging
			m.Complete(start, withState(c, pb.ClaimState_CLAIM_STATE_RELEASED, ""))
		}
	}
	seen, after := 0, ""
	for {
		page, more := m.Page(start, after)
		seen += len(page)
		if !more {
			break
		}
		after = Cursor(page)
	}
	is.Equal(seen, (3*pageSize+5)/2)
}

// Guards against recovery from members none of which holds a granted claim.
// Every set of members that RecoveryComplete accepts intersects every majority;
// with one member fewer, some sets do not.
func TestRecoveryIntersectsEveryMajority(t *testing.T) {
	is := is.New(t)
	for n := 3; n <= 5; n++ {
		group := []string{"m0", "m1", "m2", "m3", "m4"}[:n]
		missed := 0 // sets of one member fewer that hold no claim of the majority
		for holders := range 1 << n {
			for pulled := range 1 << n {
				if bits.OnesCount(uint(holders)) < majority(group) || pulled&1 != 0 {
					continue // m0 is the member that recovers
				}
				set := make(map[string]bool)
				for i, id := range group {
					set[id] = pulled&(1<<i) != 0
				}
				meets := holders&pulled != 0
				if RecoveryComplete([][]string{group}, "m0", set) {
					is.True(meets)
				} else if bits.OnesCount(uint(pulled)) == n-majority(group) && !meets {
					missed++
				}
			}
		}
		is.True(missed > 0)
	}
}
