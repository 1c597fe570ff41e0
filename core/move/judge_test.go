package move

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

// simulation feeds one Judge with the calls of a service that has two routes in two
// failure domains.
type simulation struct {
	r           *rand.Rand
	judge       *Judge
	move        *pb.Move
	evidence    Evidence
	now         time.Time
	silent      map[string]bool
	newSlowdown float64 // factor of the new version's latency
	newFailing  float64 // failure rate that the new version adds
	faultDomain string  // failure domain of the fault; empty: all
	bothFailing float64 // failure rate of both versions
	calls       int     // per second, route and failure domain
}

func newSimulation(preference pb.RiskPreference, total time.Duration) *simulation {
	s := &simulation{
		r: rand.New(rand.NewPCG(1, 1)), judge: NewJudge(preference), now: t0, silent: map[string]bool{}, newSlowdown: 1, calls: 40,
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

func (s *simulation) tick() Decision {
	s.now = s.now.Add(time.Second)
	shares, _ := sharesOf(s.move)
	for i := range s.evidence.Cells {
		c := &s.evidence.Cells[i]
		// The counts of failure domains named "late..." are set by the test itself.
		if s.silent[c.Domain] || strings.HasPrefix(c.Domain, "late") {
			continue
		}
		s.evidence.Domains[c.Domain] = DomainStatus{LastReport: s.now, Braked: s.evidence.Domains[c.Domain].Braked}
		for range s.calls {
			to, ms, errors := &c.Old, 20*math.Exp(0.4*s.r.NormFloat64()), s.bothFailing
			if s.r.Float64()*fullShare < float64(shares[c.Domain]) {
				to = &c.New
				if s.faultDomain == "" || s.faultDomain == c.Domain {
					ms *= s.newSlowdown
					errors += s.newFailing
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

func (s *simulation) run(seconds int) {
	for range seconds {
		s.tick()
	}
}

func (s *simulation) share(domain string) uint32 {
	shares, _ := sharesOf(s.move)
	return shares[domain]
}

// Guards against a raised share in a failure domain that sends no reports, and
// against a jump to the share of the others when its reports return.
func TestSilentDomainKeepsItsShare(t *testing.T) {
	is := is.New(t)
	s := newSimulation(pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL, 3*time.Minute)
	s.run(50)
	before := s.share("k2")
	is.True(before > 0)
	s.silent["k2"] = true
	s.run(8)
	frozen := s.share("k2")
	s.run(60)
	is.Equal(s.share("k2"), frozen)
	is.True(s.share("k1") > frozen) // the other failure domain continues
	is.True(s.move.GetPhase() == pb.MovePhase_MOVE_PHASE_RUNNING)
	s.silent["k2"] = false
	last := frozen
	for range 120 {
		s.tick()
		now := s.share("k2")
		is.True(stageOf(s, now) <= stageOf(s, last)+1) // one stage at a time
		last = now
	}
	is.Equal(s.move.GetPhase(), pb.MovePhase_MOVE_PHASE_DONE)
}

func stageOf(s *simulation, share uint32) int { return s.judge.profile.stageOf(share) }

// Guards against a Judge that ignores the hold or the maximum share of an operator.
func TestHoldAndMaxShareAreObeyed(t *testing.T) {
	is := is.New(t)
	s := newSimulation(pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL, 2*time.Minute)
	s.move.MaxPermille = 100
	s.run(110)
	is.Equal(s.share("k1"), uint32(100))
	s.move.MaxPermille, s.move.Phase = 0, pb.MovePhase_MOVE_PHASE_HELD
	s.run(60)
	is.Equal(s.share("k1"), uint32(100))
	s.newFailing = 0.5
	s.run(20)
	is.Equal(s.move.GetPhase(), pb.MovePhase_MOVE_PHASE_ROLLED_BACK) // a held move is still rolled back
	is.Equal(s.share("k1")+s.share("k2"), uint32(0))
	is.True(!s.tick().Changed) // an ended phase is final
}

// Guards against a rollback whose reason does not name the cause.
func TestRollbackReasonNamesCause(t *testing.T) {
	for name, tc := range map[string]struct {
		set  func(*simulation)
		want string
	}{
		"errors":     {func(s *simulation) { s.newFailing = 0.3 }, "errors"},
		"latency":    {func(s *simulation) { s.newSlowdown = 2 }, "latency"},
		"one domain": {func(s *simulation) { s.newFailing, s.faultDomain = 0.3, "k2" }, "in failure domain k2"},
		"breaker": {func(s *simulation) {
			s.evidence.Domains["k1"] = DomainStatus{LastReport: s.now, Braked: true}
		}, "circuit breaker of failure domain k1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS, 5*time.Minute)
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

// Guards against a rollback because of a failing dependency, which affects both
// versions, at any share.
func TestFaultOfBothVersionsDoesNotRollBack(t *testing.T) {
	for _, after := range []int{5, 60, 100, 130, 150, 165} {
		s := newSimulation(pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS, 3*time.Minute)
		s.run(after)
		s.bothFailing = 0.2
		for range 20 {
			before := s.share("k1")
			s.tick()
			if before < fullShare && s.share("k1") < before {
				t.Errorf("fault after %d s: share changed from %d to %d", after, before, s.share("k1"))
			}
		}
		s.bothFailing = 0
		s.run(160)
		if s.move.GetPhase() != pb.MovePhase_MOVE_PHASE_DONE {
			t.Errorf("fault after %d s: %s: %s", after, s.move.GetPhase(), s.move.GetReason())
		}
	}
}

// Guards against a new leader that lowers the share of a good version, skips a stage
// or misses the deadline, at any time of a move.
func TestLeaderChangeAtAnyTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL, 2*time.Minute)
		s.calls = 20
		changes := rapid.SliceOfNDistinct(rapid.IntRange(1, 110), 1, 6, rapid.ID).Draw(t, "changes")
		highest := uint32(0)
		for tick := range 118 {
			for _, c := range changes {
				if c == tick {
					s.judge = NewJudge(pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL)
				}
			}
			s.tick()
			if s.move.GetPhase() == pb.MovePhase_MOVE_PHASE_ROLLED_BACK {
				t.Fatalf("good version rolled back: %s", s.move.GetReason())
			}
			share := s.share("k1")
			if share < highest || stageOf(s, share) > stageOf(s, highest)+1 {
				t.Fatalf("share %d after %d", share, highest)
			}
			highest = share
		}
		if highest != fullShare {
			t.Fatalf("share %d at the deadline", highest)
		}
	})
}

// Guards against a new leader that takes the first cumulative counts of a failure
// domain, from periods with other shares, for current evidence.
func TestFirstCountsAreNoEvidence(t *testing.T) {
	is := is.New(t)
	s := newSimulation(pb.RiskPreference_RISK_PREFERENCE_CAUTIOUS, 5*time.Minute)
	s.run(60)
	for i := range 8 {
		c := CellCounts{Cell: Cell{"times", "late" + string(rune('a'+i))}}
		s.move.Domains = append(s.move.Domains, &pb.DomainShare{FailureDomain: c.Domain, NewPermille: s.share("k1")})
		c.Old.Calls, c.New.Calls, c.New.Errors = 100_000, 5_000, 1_000
		s.evidence.Cells = append(s.evidence.Cells, c)
		s.tick()
	}
	is.Equal(s.move.GetPhase(), pb.MovePhase_MOVE_PHASE_RUNNING)
}

// Guards against likelihood ratios that grow although both versions are equal:
// the probability of a false alarm would then be unbounded.
func TestMeanLikelihoodRatioIsBounded(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 7))
	for m := range metricCount {
		for i := range oddsRatios {
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
				// The likelihood ratio for odds of 25 has a heavy tail, so it is capped.
				mean += min(math.Exp(concurrentGain(&tl, m, i)), 100) / rounds
			}
			if mean > 1.1 {
				t.Errorf("%s, ratio %v: mean of the likelihood ratio is %.2f", metricNames[m], oddsRatios[i], mean)
			}
		}
	}
}

// Guards against a breaker that opens without a fault, stays closed during one or
// closes again by itself.
func TestBreaker(t *testing.T) {
	is := is.New(t)
	s := newSimulation(pb.RiskPreference_RISK_PREFERENCE_PUNCTUAL, time.Hour)
	s.move.Domains = []*pb.DomainShare{{FailureDomain: "k1", NewPermille: 500}}
	s.move.Phase = pb.MovePhase_MOVE_PHASE_HELD
	b := NewBreaker("k1")
	observe := func(seconds int) {
		for range seconds {
			s.tick()
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
	s.newFailing = 0.4
	observe(10)
	is.True(b.Open())
	s.newFailing = 0
	observe(250)
	is.Equal(b.Limit(), uint32(0))
}

// Guards against calls that do not follow the shares, and phases that send calls to
// the wrong version.
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
		"breaker limit":         {"v1", "k1", shares(pb.MovePhase_MOVE_PHASE_HELD), 100, 0.1},
		"breaker open":          {"v1", "k1", shares(pb.MovePhase_MOVE_PHASE_WATCHING), 0, 0},
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
