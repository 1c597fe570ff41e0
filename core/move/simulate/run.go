package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/rattanfield/rattanfield/core/move"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Controller decides the steps of a move. It is a move.Judge or a FixedSteps controller.
type Controller interface {
	Decide(m *pb.Move, e *move.Evidence, now time.Time) move.Decision
}

// Result is the outcome of a trial. Times are seconds since the start of the move.
type Result struct {
	Phase         pb.MovePhase
	EndedAt       int
	Reason        string
	FaultAt       int // -1: the fault never began
	LastNewCallAt int // last second with calls of the new version; used only for a move that was rolled back
	// BadCalls is the number of calls of the new version from the start of its fault.
	BadCalls uint64
	// AffectedCalls is the expected number of those that failed or were slow because of the fault.
	AffectedCalls float64
	// PlannedCalls is the number of calls of the service within the planned time, and
	// CallsUntilEnd the number until the end of the trial.
	PlannedCalls, CallsUntilEnd uint64
	Steps                       []Step
}

// Step is one accepted decision.
type Step struct {
	At       int
	Permille uint32
	Reason   string
}

// Completed reports whether the move was done by its deadline.
func (r *Result) Completed(t *Trial) bool {
	return r.Phase == pb.MovePhase_MOVE_PHASE_DONE && r.EndedAt <= int(t.Deadline.Seconds())
}

// RolledBack reports whether the move was rolled back.
func (r *Result) RolledBack() bool { return r.Phase == pb.MovePhase_MOVE_PHASE_ROLLED_BACK }

// maxOverrun is the greatest duration of a trial as a multiple of the planned time; a move
// that has not ended by then does not end.
const maxOverrun = 1.5

// maxFaultDelay is the greatest delay, in seconds, of a fault after its share is reached. The
// delay is random so that no controller benefits from evaluating right after its own steps.
const maxFaultDelay = 20

// epoch is an arbitrary start time.
var epoch = time.Unix(1_700_000_000, 0)

// Run simulates one move.
func Run(t *Trial, newController func() Controller) Result {
	sim := newSimulation(t)
	c := newController()
	total := int(t.Deadline.Seconds())
	for second := 0; second < int(float64(total)*maxOverrun); second++ {
		sim.second = second
		if _, keeps := c.(interface{ KeepsState() bool }); sim.processFaults.leaderLost() && !keeps {
			c = newController()
		}
		if !sim.processFaults.noLeader() {
			now := epoch.Add(time.Duration(second) * time.Second)
			// The reports of the last second have arrived; a decision is in force one second later.
			if d := c.Decide(sim.move, sim.updateEvidence(now), now); d.Changed {
				sim.accept(d)
			}
		}
		sim.simulateCalls()
		sim.applyShares()
		if sim.ended() {
			break
		}
	}
	sim.finish(total)
	return sim.result
}

type simulation struct {
	trial            *Trial
	rand             *rand.Rand
	move             *pb.Move
	applied          []uint32 // share in force per failure domain, in permille
	second           int
	cells            []move.CellCounts // what actually happened
	evidence         move.Evidence     // what the leader knows from reports
	processFaults    *processFaults
	newLatencyFactor float64 // latency of the new version without a fault, relative to the old one
	medians          []float64
	result           Result
	endAppliedAt     int        // when the reachable failure domains applied the end of the move; -1 before
	rejected         [2]float64 // fraction of calls, for the old and the new version
	loadSlowdown     [2]float64 // factor of the latency because of load
	offeredCalls     uint64
	shareReachedAt   int // when the share of an AfterShare fault was reached; -1 before
	faultDelay       int // seconds from then to the fault
}

func newSimulation(t *Trial) *simulation {
	sim := &simulation{
		trial: t, rand: rand.New(rand.NewPCG(t.Seed, 0x9e3779b97f4a7c15)),
		applied: make([]uint32, len(t.Service.Domains)),
		move: &pb.Move{
			MoveId: "m", Service: t.Service.Name, OldVersion: "v1", NewVersion: "v2",
			StartedUnixMs: epoch.UnixMilli(), ChangedUnixMs: epoch.UnixMilli(),
			DeadlineUnixMs: epoch.Add(t.Deadline).UnixMilli(), Phase: pb.MovePhase_MOVE_PHASE_RUNNING,
		},
		endAppliedAt: -1, shareReachedAt: -1,
	}
	sim.result.FaultAt = -1
	sim.newLatencyFactor = 0.95 + 0.1*sim.rand.Float64()
	sim.faultDelay = sim.rand.IntN(maxFaultDelay)
	sim.processFaults = newProcessFaults(t, sim.rand)
	sim.evidence.Domains = make(map[string]move.DomainStatus)
	for _, r := range t.Service.Routes {
		sim.medians = append(sim.medians, bucketPosition(float64(r.Median)/float64(time.Millisecond)))
	}
	for _, r := range t.Service.Routes {
		for _, d := range t.Service.Domains {
			sim.cells = append(sim.cells, move.CellCounts{Cell: move.Cell{Route: r.Name, Domain: d}})
		}
	}
	sim.evidence.Cells = append(sim.evidence.Cells, sim.cells...)
	return sim
}

// updateEvidence adds the reports that reach the leader to its evidence.
func (sim *simulation) updateEvidence(now time.Time) *move.Evidence {
	domains := sim.trial.Service.Domains
	for i, d := range domains {
		if sim.processFaults.silent(i) {
			continue
		}
		sim.evidence.Domains[d] = move.DomainStatus{LastReport: now}
		for k := i; k < len(sim.cells); k += len(domains) {
			sim.evidence.Cells[k].Pair = sim.cells[k].Pair
		}
	}
	return &sim.evidence
}

func (sim *simulation) accept(d move.Decision) {
	sim.move.Step++
	sim.move.Phase, sim.move.Domains, sim.move.Reason, sim.move.Evidence = d.Phase, d.Domains, d.Reason, d.Evidence
	sim.move.ChangedUnixMs = epoch.Add(time.Duration(sim.second) * time.Second).UnixMilli()
	highest := uint32(0)
	for _, s := range d.Domains {
		highest = max(highest, s.GetNewPermille())
	}
	sim.result.Steps = append(sim.result.Steps, Step{sim.second, highest, d.Reason})
	if move.Ended(d.Phase) {
		sim.result.Phase, sim.result.EndedAt, sim.result.Reason = d.Phase, sim.second, d.Reason
	}
}

// applyShares applies the accepted shares in every failure domain that is not cut off. After
// the end of the move it sets endAppliedAt, even if a failure domain that is cut off still
// has its earlier share.
func (sim *simulation) applyShares() {
	for i, d := range sim.trial.Service.Domains {
		if sim.processFaults.cutOff(i) {
			continue
		}
		for _, s := range sim.move.GetDomains() {
			if s.GetFailureDomain() == d {
				sim.applied[i] = s.GetNewPermille()
			}
		}
	}
	if sim.result.EndedAt > 0 && sim.endAppliedAt < 0 {
		sim.endAppliedAt = sim.second
	}
}

// ended reports whether the trial is over. It allows one more second for calls in flight.
func (sim *simulation) ended() bool { return sim.endAppliedAt >= 0 && sim.second > sim.endAppliedAt }

func (sim *simulation) finish(total int) {
	if sim.result.Phase == pb.MovePhase_MOVE_PHASE_UNSPECIFIED {
		sim.result.Phase, sim.result.Reason = sim.move.GetPhase(), "not ended"
	}
	sim.result.CallsUntilEnd = sim.offeredCalls
	sim.result.PlannedCalls = uint64(sim.trial.Service.Rate * float64(total))
}
