package simulate

import (
	"math/rand/v2"
	"time"

	"github.com/rattanfield/rattanfield/core/rollout"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Controller decides a move: a rollout.Judge or the fixed-step baseline.
type Controller interface {
	Decide(m *pb.Move, e *rollout.Evidence, now time.Time) rollout.Decision
}

// Result of a trial. Times are seconds since the start of the move.
type Result struct {
	Phase       pb.MovePhase
	EndedAt     int
	Reason      string
	FaultAt     int // -1: the fault never began
	LastNewCall int // of a move that was rolled back
	// BadCalls of the new version were made from the first fault to its last call.
	BadCalls uint64
	// AffectedCalls is the expected number of those that failed or were slow because of the fault.
	AffectedCalls float64
	// Calls of the service within the planned time and until the last new call.
	PlannedCalls, CallsUntilEnd uint64
	Steps                       []Step
}

// Step is one accepted decision.
type Step struct {
	At       int
	Permille uint32
	Reason   string
}

// Completed reports a move that was done by its deadline.
func (r *Result) Completed(t *Trial) bool {
	return r.Phase == pb.MovePhase_MOVE_PHASE_DONE && r.EndedAt <= int(t.Deadline.Seconds())
}

// RolledBack reports a move that was rolled back.
func (r *Result) RolledBack() bool { return r.Phase == pb.MovePhase_MOVE_PHASE_ROLLED_BACK }

// A move may end this much after its deadline before a trial gives up.
const overtime = 1.5

// maxDelay of a late fault after its share is reached, so that no controller
// profits from looking right after its own steps.
const maxDelay = 20

// epoch is an arbitrary start time.
var epoch = time.Unix(1_700_000_000, 0)

// Run simulates one move.
func Run(t *Trial, newController func() Controller) Result {
	w := newWorld(t)
	c := newController()
	total := int(t.Deadline.Seconds())
	for second := 0; second < int(float64(total)*overtime); second++ {
		w.second = second
		if _, keeps := c.(interface{ KeepsState() bool }); w.process.leaderLost() && !keeps {
			c = newController()
		}
		if !w.process.noLeader() {
			now := epoch.Add(time.Duration(second) * time.Second)
			// Reports of the last second are here; a decision is in force one second later.
			if d := c.Decide(w.move, w.visible(now), now); d.Changed {
				w.accept(d)
			}
		}
		w.calls()
		w.inForce()
		if w.ended() {
			break
		}
	}
	w.finish(total)
	return w.result
}

type world struct {
	trial    *Trial
	rand     *rand.Rand
	move     *pb.Move
	applied  []uint32 // share per failure domain that nodes use
	second   int
	cells    []rollout.CellCounts // what happened
	evidence rollout.Evidence     // what the leader has heard
	process  *process
	factor   float64 // of the good part of the new version's latency
	medians  []float64
	result   Result
	endSeen  int
	rejected [2]float64 // share of calls, old and new version
	slower   [2]float64 // factor of the latency by load
	planned  uint64
	reached  int // when an AfterShare fault's share was reached, -1 before
	delay    int // seconds from then to the fault
}

func newWorld(t *Trial) *world {
	w := &world{
		trial: t, rand: rand.New(rand.NewPCG(t.Seed, 0x9e3779b97f4a7c15)),
		applied: make([]uint32, len(t.Service.Domains)),
		move: &pb.Move{
			MoveId: "m", Service: t.Service.Name, OldVersion: "v1", NewVersion: "v2",
			StartedUnixMs: epoch.UnixMilli(), ChangedUnixMs: epoch.UnixMilli(),
			DeadlineUnixMs: epoch.Add(t.Deadline).UnixMilli(), Phase: pb.MovePhase_MOVE_PHASE_RUNNING,
		},
		endSeen: -1, reached: -1,
	}
	w.result.FaultAt = -1
	w.factor = 0.95 + 0.1*w.rand.Float64()
	w.delay = w.rand.IntN(maxDelay)
	w.process = newProcess(t, w.rand)
	w.evidence.Domains = make(map[string]rollout.DomainStatus)
	for _, r := range t.Service.Routes {
		w.medians = append(w.medians, position(float64(r.Median)/float64(time.Millisecond)))
	}
	for _, r := range t.Service.Routes {
		for _, d := range t.Service.Domains {
			w.cells = append(w.cells, rollout.CellCounts{Cell: rollout.Cell{Route: r.Name, Domain: d}})
		}
	}
	w.evidence.Cells = append(w.evidence.Cells, w.cells...)
	return w
}

// visible updates what the leader has heard.
func (w *world) visible(now time.Time) *rollout.Evidence {
	domains := w.trial.Service.Domains
	for i, d := range domains {
		if w.process.silent(i) {
			continue
		}
		w.evidence.Domains[d] = rollout.DomainStatus{LastReport: now}
		for k := i; k < len(w.cells); k += len(domains) {
			w.evidence.Cells[k].Pair = w.cells[k].Pair
		}
	}
	return &w.evidence
}

func (w *world) accept(d rollout.Decision) {
	w.move.Step++
	w.move.Phase, w.move.Domains, w.move.Reason, w.move.Evidence = d.Phase, d.Domains, d.Reason, d.Evidence
	w.move.ChangedUnixMs = epoch.Add(time.Duration(w.second) * time.Second).UnixMilli()
	highest := uint32(0)
	for _, s := range d.Domains {
		highest = max(highest, s.GetNewPermille())
	}
	w.result.Steps = append(w.result.Steps, Step{w.second, highest, d.Reason})
	if rollout.Ended(d.Phase) {
		w.result.Phase, w.result.EndedAt, w.result.Reason = d.Phase, w.second, d.Reason
	}
}

// inForce brings the accepted shares to every failure domain that is not cut off.
func (w *world) inForce() {
	for i, d := range w.trial.Service.Domains {
		if w.process.cutOff(i) {
			continue
		}
		for _, s := range w.move.GetDomains() {
			if s.GetFailureDomain() == d {
				w.applied[i] = s.GetNewPermille()
			}
		}
	}
	if w.result.EndedAt > 0 && w.endSeen < 0 {
		w.endSeen = w.second
	}
}

// ended leaves one more second for calls in flight.
func (w *world) ended() bool { return w.endSeen >= 0 && w.second > w.endSeen }

func (w *world) finish(total int) {
	if w.result.Phase == pb.MovePhase_MOVE_PHASE_UNSPECIFIED {
		w.result.Phase, w.result.Reason = w.move.GetPhase(), "not ended"
	}
	w.result.CallsUntilEnd = w.planned
	w.result.PlannedCalls = uint64(w.trial.Service.Rate * float64(total))
}
