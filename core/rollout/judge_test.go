package rollout

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// stage plays a service with two routes in two failure domains for one Judge.
type stage struct {
	r        *rand.Rand
	judge    *Judge
	move     *pb.Move
	evidence Evidence
	now      time.Time
	silent   map[string]bool
	slow     float64 // factor of the new version's latency
	failing  float64
	onlyAt   string // failure domain of the fault
	both     float64
	calls    int // per second, route and failure domain
}

func newStage(preference pb.RiskPreference, total time.Duration) *stage {
	s := &stage{
		r: rand.New(rand.NewPCG(1, 1)), judge: NewJudge(preference), now: t0, silent: map[string]bool{}, slow: 1, calls: 40,
		move: &pb.Move{
			MoveId: "m", OldVersion: "v1", NewVersion: "v2", Phase: pb.MovePhase_MOVE_PHASE_RUNNING,
			StartedUnixMs: t0.UnixMilli(), ChangedUnixMs: t0.UnixMilli(), DeadlineUnixMs: t0.Add(total).UnixMilli(),
		},
		evidence: Evidence{Domains: map[string]DomainStatus{}},
	}
	for _, route := range []string{"places", "times"} {
		for _, d := range []string{"k1", "k2"} {
			s.evidence.Cells = append(s.evidence.Cells, CellCounts{Cell: Cell{route, d}})
		}
	}
	return s
}

func (s *stage) second() Decision {
	s.now = s.now.Add(time.Second)
	shares, _ := sharesOf(s.move)
	for i := range s.evidence.Cells {
		c := &s.evidence.Cells[i]
		if s.silent[c.Domain] || strings.HasPrefix(c.Domain, "late") {
			continue
		}
		s.evidence.Domains[c.Domain] = DomainStatus{Heard: s.now, Braked: s.evidence.Domains[c.Domain].Braked}
		for range s.calls {
			to, ms, errors := &c.Old, 20*math.Exp(0.4*s.r.NormFloat64()), s.both
			if s.r.Float64()*fullShare < float64(shares[c.Domain]) {
				to = &c.New
				if s.onlyAt == "" || s.onlyAt == c.Domain {
					ms *= s.slow
					errors += s.failing
				}
			}
			to.Calls++
			if s.r.Float64() < errors {
				to.Errors++
			} else {
				to.Latency[Bucket(time.Duration(ms*float64(time.Millisecond)))]++
			}
		}
	}
	d := s.judge.Decide(s.move, &s.evidence, s.now)
	if d.Changed {
		step := d.StepMove(s.move)
		s.move.Step, s.move.Phase, s.move.Domains = step.GetStep(), step.GetPhase(), step.GetDomains()
		s.move.Reason, s.move.Evidence, s.move.ChangedUnixMs = step.GetReason(), step.GetEvidence(), s.now.UnixMilli()
	}
	return d
}

func (s *stage) run(seconds int) {
	for range seconds {
		s.second()
	}
}

func (s *stage) share(domain string) uint32 {
	shares, _ := sharesOf(s.move)
	return shares[domain]
}

// Guards against a larger share in a failure domain that is not heard, and
// against one that jumps to the others' share when it returns.
func TestSilentDomainDoesNotGrow(t *testing.T) {
	is := is.New(t)
	s := newStage(pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL, 3*time.Minute)
	s.run(50)
	before := s.share("k2")
	is.True(before > 0)
	s.silent["k2"] = true
	s.run(8)
	frozen := s.share("k2")
	s.run(60)
	is.Equal(s.share("k2"), frozen)
	is.True(s.share("k1") > frozen) // the other one goes on
	is.True(s.move.GetPhase() == pb.MovePhase_MOVE_PHASE_RUNNING)
	s.silent["k2"] = false
	last := frozen
	for range 120 {
		s.second()
		now := s.share("k2")
		is.True(judgeRungs(s, now) <= judgeRungs(s, last)+1) // one rung at a time
		last = now
	}
	is.Equal(s.move.GetPhase(), pb.MovePhase_MOVE_PHASE_DONE)
}

func judgeRungs(s *stage, share uint32) int { return s.judge.profile.rungOf(share) }

// Guards against operators and limits that are not obeyed.
func TestHeldAndLimited(t *testing.T) {
	is := is.New(t)
	s := newStage(pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL, 2*time.Minute)
	s.move.MaxPermille = 100
	s.run(110)
	is.Equal(s.share("k1"), uint32(100))
	s.move.MaxPermille, s.move.Phase = 0, pb.MovePhase_MOVE_PHASE_HELD
	s.run(60)
	is.Equal(s.share("k1"), uint32(100))
	s.failing = 0.5
	s.run(20)
	is.Equal(s.move.GetPhase(), pb.MovePhase_MOVE_PHASE_ROLLED_BACK) // a held move is still watched
	is.Equal(s.share("k1")+s.share("k2"), uint32(0))
	is.True(!s.second().Changed) // nothing leaves an ended phase
}

// Guards against a rollback whose reason names the wrong thing or cannot be read.
func TestReasonsArePlain(t *testing.T) {
	for name, tc := range map[string]struct {
		set  func(*stage)
		want string
	}{
		"errors":     {func(s *stage) { s.failing = 0.3 }, "errors"},
		"latency":    {func(s *stage) { s.slow = 2 }, "latency"},
		"one domain": {func(s *stage) { s.failing, s.onlyAt = 0.3, "k2" }, "in failure domain k2"},
		"breaker": {func(s *stage) {
			s.evidence.Domains["k1"] = DomainStatus{Heard: s.now, Braked: true}
		}, "circuit breaker of failure domain k1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStage(pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS, 5*time.Minute)
			s.run(150)
			is.True(s.share("k1") >= 60)
			tc.set(s)
			s.run(40)
			is.Equal(s.move.GetPhase(), pb.MovePhase_MOVE_PHASE_ROLLED_BACK)
			is.True(strings.Contains(s.move.GetReason(), tc.want)) // reason
			is.True(len(s.move.GetEvidence()) > 1)
			is.True(s.move.GetEvidence()[0].GetNewCalls() > 0)
		})
	}
}

// Guards against a failing dependency, which both versions show, that is taken
// for a bad version at any share.
func TestTroubleOfBothVersions(t *testing.T) {
	for _, after := range []int{5, 60, 100, 130, 150, 165} {
		s := newStage(pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS, 3*time.Minute)
		s.run(after)
		s.both = 0.2
		for range 20 {
			before := s.share("k1")
			s.second()
			if before < fullShare && s.share("k1") < before {
				t.Errorf("trouble after %d s: share %d became %d", after, before, s.share("k1"))
			}
		}
		s.both = 0
		s.run(160)
		if s.move.GetPhase() != pb.MovePhase_MOVE_PHASE_DONE {
			t.Errorf("trouble after %d s: %s: %s", after, s.move.GetPhase(), s.move.GetReason())
		}
	}
}

// Guards against a new leader that regresses, jumps a rung or forgets what the
// operator was told, at any time of a move.
func TestLeaderChangeAtAnyTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStage(pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL, 2*time.Minute)
		s.calls = 20
		changes := rapid.SliceOfNDistinct(rapid.IntRange(1, 110), 1, 6, rapid.ID).Draw(t, "changes")
		highest := uint32(0)
		for second := range 118 {
			for _, c := range changes {
				if c == second {
					s.judge = NewJudge(pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL)
				}
			}
			s.second()
			if s.move.GetPhase() == pb.MovePhase_MOVE_PHASE_ROLLED_BACK {
				t.Fatalf("good version rolled back: %s", s.move.GetReason())
			}
			share := s.share("k1")
			if share < highest || judgeRungs(s, share) > judgeRungs(s, highest)+1 {
				t.Fatalf("share %d after %d", share, highest)
			}
			highest = share
		}
		if highest != fullShare {
			t.Fatalf("share %d at the deadline", highest)
		}
	})
}

// Guards against a new leader that takes the past of a failure domain, with other
// shares and long over, for what happens now.
func TestPastIsNoEvidence(t *testing.T) {
	is := is.New(t)
	s := newStage(pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS, 5*time.Minute)
	s.run(60)
	for i := range 8 {
		c := CellCounts{Cell: Cell{"times", "late" + string(rune('a'+i))}}
		s.move.Domains = append(s.move.Domains, &pb.DomainShare{FailureDomain: c.Domain, NewPermille: s.share("k1")})
		c.Old.Calls, c.New.Calls, c.New.Errors = 100_000, 5_000, 1_000
		s.evidence.Cells = append(s.evidence.Cells, c)
		s.second()
	}
	is.Equal(s.move.GetPhase(), pb.MovePhase_MOVE_PHASE_RUNNING)
}

// Guards against likelihood ratios that grow although both versions are equal:
// then the probability of a false alarm would have no bound.
func TestGainsAreFair(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	for m := range metricCount {
		for i := range ratios {
			mean := 0.0
			const rounds = 20_000
			for range rounds {
				tl := tally{newTrials: float64(1 + r.IntN(20)), oldTrials: float64(2 + r.IntN(40)), expected: 0}
				rate := 0.25
				if !m.isLatency() {
					rate = 0.01
				}
				for range int(tl.newTrials) {
					if r.Float64() < rate {
						tl.newHits++
					}
				}
				for range int(tl.oldTrials) {
					if r.Float64() < rate {
						tl.oldHits++
					}
				}
				// The mean of a ratio of 25 has a heavy tail; a bounded part of it must do.
				mean += min(math.Exp(concurrentGain(&tl, m, i)), 100) / rounds
			}
			if mean > 1.1 {
				t.Errorf("%s, ratio %v: mean of the likelihood ratio is %.2f", metricNames[m], ratios[i], mean)
			}
		}
	}
}

// Guards against a breaker that opens in a good time, stays closed in a bad one
// or opens again by itself.
func TestBreaker(t *testing.T) {
	is := is.New(t)
	s := newStage(pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL, time.Hour)
	s.move.Domains = []*pb.DomainShare{{FailureDomain: "k1", NewPermille: 500}}
	s.move.Phase = pb.MovePhase_MOVE_PHASE_HELD
	b := NewBreaker("k1")
	observe := func(seconds int) {
		for range seconds {
			s.second()
			var cells []CellCounts
			for _, c := range s.evidence.Cells {
				if c.Domain == "k1" {
					cells = append(cells, c)
				}
			}
			b.Observe(cells, 500, s.now)
		}
	}
	observe(120)
	is.Equal(b.Limit(), uint32(fullShare))
	s.failing = 0.4
	observe(10)
	is.True(b.Open())
	s.failing = 0
	observe(250)
	is.Equal(b.Limit(), uint32(0))
}

// Guards against shares that are not kept, and phases that send calls to the
// wrong version.
func TestPick(t *testing.T) {
	shares := func(phase pb.MovePhase) *pb.ServiceShares {
		return &pb.ServiceShares{
			MoveId: "m", OldVersion: "v1", NewVersion: "v2", Phase: phase,
			Domains: []*pb.DomainShare{{FailureDomain: "k1", NewPermille: 250}},
		}
	}
	for name, tc := range map[string]struct {
		active, domain string
		shares         *pb.ServiceShares
		limit          uint32
		want           float64 // share of v2
	}{
		"no move":               {"v1", "k1", nil, 1000, 0},
		"running":               {"v1", "k1", shares(pb.MovePhase_MOVE_PHASE_RUNNING), 1000, 0.25},
		"other domain":          {"v1", "k2", shares(pb.MovePhase_MOVE_PHASE_RUNNING), 1000, 0},
		"narrowed":              {"v1", "k1", shares(pb.MovePhase_MOVE_PHASE_HELD), 100, 0.1},
		"open":                  {"v1", "k1", shares(pb.MovePhase_MOVE_PHASE_WATCHING), 0, 0},
		"rolled back":           {"v1", "k1", shares(pb.MovePhase_MOVE_PHASE_ROLLED_BACK), 1000, 0},
		"done":                  {"v2", "k1", shares(pb.MovePhase_MOVE_PHASE_DONE), 1000, 1},
		"done, service is late": {"v1", "k1", shares(pb.MovePhase_MOVE_PHASE_DONE), 1000, 1},
	} {
		t.Run(name, func(t *testing.T) {
			n := 0
			for i := range 1000 {
				if Pick(tc.active, tc.shares, tc.domain, tc.limit, float64(i)/1000) == "v2" {
					n++
				}
			}
			is.New(t).Equal(float64(n)/1000, tc.want)
		})
	}
}
