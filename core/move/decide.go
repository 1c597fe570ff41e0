package move

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Decision is the result of one call of Judge.Decide. If Changed is false, no step is
// proposed and Reason says what the move waits for.
type Decision struct {
	Changed  bool
	Phase    pb.MovePhase
	Domains  []*pb.DomainShare
	Reason   string
	Evidence []*pb.Evidence
}

// StepMove returns the command that proposes a decision with Changed set.
func (d Decision) StepMove(m *pb.Move) *pb.StepMove {
	return &pb.StepMove{
		MoveId: m.GetMoveId(), Step: m.GetStep() + 1, Phase: d.Phase,
		Domains: d.Domains, Reason: d.Reason, Evidence: d.Evidence,
	}
}

// Ended reports whether a phase is final.
func Ended(p pb.MovePhase) bool {
	return p == pb.MovePhase_MOVE_PHASE_DONE || p == pb.MovePhase_MOVE_PHASE_ROLLED_BACK || p == pb.MovePhase_MOVE_PHASE_STOPPED
}

// maxReportAge is the greatest age of the last report of a failure domain at which its share
// may be raised.
const maxReportAge = 5 * time.Second

// maxVerifications is how often an unconfirmed difference is verified at a reduced share
// before the move is rolled back. It is above 0 because changes in the environment at the
// full share can cause such a difference by chance.
const maxVerifications = 2

// Decide adds the evidence of the time up to now and returns the next decision. It must be
// called about once a second.
func (j *Judge) Decide(m *pb.Move, e *Evidence, now time.Time) Decision {
	j.observe(m, e, now)
	if Ended(m.GetPhase()) {
		return Decision{Phase: m.GetPhase(), Reason: m.GetReason()}
	}
	_, highest := sharesOf(m)
	for _, name := range slices.Sorted(maps.Keys(e.Domains)) {
		if e.Domains[name].Braked {
			return j.rollBack(m, e, "the circuit breaker of failure domain "+name+" opened")
		}
	}
	v := j.verdict()
	j.unconfirmed++
	if v.judgement != unconfirmed {
		j.unconfirmed = 0
	}
	switch {
	case v.judgement == bad:
		return j.rollBack(m, e, j.describe(v))
	case j.unconfirmed > confirmIntervals(highest) && highest > verifyShare && !j.demand.high():
		if verifications(m) >= maxVerifications {
			// The fault disappeared at each reduced share and is back at a large one.
			return j.rollBack(m, e, "again at a large share, "+j.describe(v))
		}
		return j.reduceShares(m, e, "to compare both versions: "+j.describe(v))
	}
	if m.GetPhase() == pb.MovePhase_MOVE_PHASE_HELD {
		return noChange(m, "held by an operator")
	}
	return j.raiseShare(m, e, v, now)
}

// confirmIntervals returns for how many intervals the concurrent comparison may confirm
// what the comparison with the baseline found, before the share is reduced to verify it.
func confirmIntervals(highest uint32) int {
	if highest == fullShare {
		return 0 // there are no concurrent calls
	}
	return 8
}

func noChange(m *pb.Move, reason string) Decision {
	return Decision{Phase: m.GetPhase(), Reason: reason}
}

// verifications returns how often the share of a move was reduced to verify an unconfirmed
// difference. The first row of evidence stores this number, so that it survives a change of
// leader.
func verifications(m *pb.Move) float64 {
	if len(m.GetEvidence()) == 0 {
		return 0
	}
	return m.GetEvidence()[0].GetScore()
}

// totalRow returns the first row of evidence: the calls up to the start of the step, with the
// number of verifications as score.
func totalRow(e *Evidence, verified float64) *pb.Evidence {
	t := &pb.Evidence{Score: verified}
	for i := range e.Cells {
		c := &e.Cells[i]
		t.OldCalls += c.Old.Calls
		t.OldErrors += c.Old.Errors
		t.NewCalls += c.New.Calls
		t.NewErrors += c.New.Errors
	}
	return t
}

// newStep returns a decision for a changed share or phase. verified is the number of
// verifications up to and including this step.
func (j *Judge) newStep(e *Evidence, phase pb.MovePhase, domains []*pb.DomainShare, verified float64, reason string) Decision {
	return Decision{
		Changed: true, Phase: phase, Domains: domains, Reason: reason,
		Evidence: append([]*pb.Evidence{totalRow(e, verified)}, j.evidenceRows()...),
	}
}

// rollBack returns the decision to end the move with share 0 in all failure domains.
func (j *Judge) rollBack(m *pb.Move, e *Evidence, reason string) Decision {
	domains := sharesFor(domainsOf(m, e), func(string) uint32 { return 0 })
	return j.newStep(e, pb.MovePhase_MOVE_PHASE_ROLLED_BACK, domains, verifications(m), reason)
}

// reduceShares returns the decision to reduce all shares to verifyShare, so that concurrent
// calls of both versions can be compared.
func (j *Judge) reduceShares(m *pb.Move, e *Evidence, reason string) Decision {
	shares, _ := sharesOf(m)
	domains := sharesFor(domainsOf(m, e), func(d string) uint32 { return min(shares[d], verifyShare) })
	phase := m.GetPhase()
	if phase == pb.MovePhase_MOVE_PHASE_WATCHING {
		phase = pb.MovePhase_MOVE_PHASE_RUNNING
	}
	return j.newStep(e, phase, domains, verifications(m)+1, reason)
}

// domainsOf returns the sorted failure domains of the move and of the evidence.
func domainsOf(m *pb.Move, e *Evidence) []string {
	names := make(map[string]bool)
	for _, d := range m.GetDomains() {
		names[d.GetFailureDomain()] = true
	}
	for d := range e.Domains {
		names[d] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func sharesFor(domains []string, share func(domain string) uint32) []*pb.DomainShare {
	out := make([]*pb.DomainShare, len(domains))
	for i, d := range domains {
		out[i] = &pb.DomainShare{FailureDomain: d, NewPermille: share(d)}
	}
	return out
}

// raiseShare decides whether the share is raised, and if not, what the move waits for.
func (j *Judge) raiseShare(m *pb.Move, e *Evidence, v verdict, now time.Time) Decision {
	shares, highest := sharesOf(m)
	domains := domainsOf(m, e)
	fresh := func(d string) bool { return now.Sub(e.Domains[d].LastReport) <= maxReportAge }
	var silent []string
	behind := false
	for _, d := range domains {
		if !fresh(d) {
			silent = append(silent, d)
		} else if shares[d] < highest {
			behind = true
		}
	}
	if len(domains) == 0 || len(silent) == len(domains) {
		return noChange(m, "waiting for reports of calls")
	}
	if v.judgement != fine {
		return noChange(m, "waiting: "+j.describe(v))
	}
	if j.demand.high() && (belowFullShare(domains, shares) || !j.last.After(waitDeadline(m))) {
		return noChange(m, "waiting: the service gets far more calls than usual")
	}
	began := time.UnixMilli(max(m.GetChangedUnixMs(), m.GetStartedUnixMs()))
	stageIndex := j.profile.stageOf(highest)
	nextShare, waitReason := j.nextShare(m, e, stageIndex, began, now)
	if waitReason != "" && behind && now.Sub(began) >= j.profile.minDwell {
		nextShare, waitReason = highest, ""
	}
	if waitReason != "" {
		return noChange(m, waitReason)
	}
	limit := uint32(fullShare)
	if m.GetMaxPermille() > 0 {
		limit = min(limit, m.GetMaxPermille())
	}
	goal := min(nextShare, limit)
	out := sharesFor(domains, func(d string) uint32 {
		// Braked is never set here, because Decide rolls the move back if it is.
		if !fresh(d) || e.Domains[d].Braked {
			return shares[d]
		}
		return max(shares[d], min(goal, j.stageAbove(shares[d], goal)))
	})
	return j.decideShares(m, e, out, silent, stageIndex)
}

func belowFullShare(domains []string, shares map[string]uint32) bool {
	return slices.ContainsFunc(domains, func(d string) bool { return shares[d] < fullShare })
}

// nextShare returns the share of the stage after stageIndex, which began at the given time, or
// what the move waits for. A stageIndex of -1 means that the move has no calls yet.
func (j *Judge) nextShare(m *pb.Move, e *Evidence, stageIndex int, began, now time.Time) (uint32, string) {
	p := j.profile
	total := time.UnixMilli(m.GetDeadlineUnixMs()).Sub(time.UnixMilli(m.GetStartedUnixMs()))
	if stageIndex < 0 {
		rate, _ := j.demand.sum()
		if rate <= 0 && now.Sub(began).Seconds() < idleStartFraction*total.Seconds() {
			return 0, "waiting for the rate of calls"
		}
		return p.canary(rate, total), ""
	}
	dwell, spent := p.dwell(stageIndex, m, began), now.Sub(began)
	if spent < dwell {
		return 0, fmt.Sprintf("observing for %s more", (dwell - spent).Round(time.Second))
	}
	if newCalls := j.newCallsSinceStep(m, e); newCalls < p.stages[stageIndex].calls && spent.Seconds() < p.patience*dwell.Seconds() {
		return 0, fmt.Sprintf("observing: %.0f of %.0f calls of the new version", newCalls, p.stages[stageIndex].calls)
	}
	return p.stages[min(stageIndex+1, len(p.stages)-1)].permille, ""
}

// newCallsSinceStep returns the number of calls of the new version since the step began.
func (j *Judge) newCallsSinceStep(m *pb.Move, e *Evidence) float64 {
	now, then := e.TotalNew(), uint64(0)
	if rows := m.GetEvidence(); len(rows) > 0 {
		then = rows[0].GetNewCalls()
	}
	if now < then {
		return float64(now) // the counts restarted: a relay restarted together with the leader
	}
	return float64(now - then)
}

// stageAbove returns the share one stage above the given one, so that a failure domain that
// was silent catches up one stage at a time.
func (j *Judge) stageAbove(share, goal uint32) uint32 {
	stageIndex := j.profile.stageOf(share)
	if stageIndex < 0 {
		return min(goal, j.profile.stages[0].permille)
	}
	return j.profile.stages[min(stageIndex+1, len(j.profile.stages)-1)].permille
}

// waitDeadline returns the time from which a move whose shares are all full waits neither for
// failure domains without recent reports nor for demand to fall, because no share is left to
// raise. Such a domain may be partitioned from the leader.
func waitDeadline(m *pb.Move) time.Time {
	start, deadline := time.UnixMilli(m.GetStartedUnixMs()), time.UnixMilli(m.GetDeadlineUnixMs())
	return deadline.Add(-deadline.Sub(start) / 50)
}

// decideShares returns the decision for the computed shares of all failure domains: the end of
// the move, its next step, or no change and what the move waits for. silent lists the failure
// domains without recent reports.
func (j *Judge) decideShares(m *pb.Move, e *Evidence, out []*pb.DomainShare, silent []string, stageIndex int) Decision {
	shares, _ := sharesOf(m)
	complete, larger, highest := true, false, uint32(0)
	for _, d := range out {
		complete = complete && d.GetNewPermille() == fullShare
		larger = larger || d.GetNewPermille() > shares[d.GetFailureDomain()]
		highest = max(highest, d.GetNewPermille())
	}
	v := verifications(m)
	switch {
	case complete && !larger && (len(silent) == 0 || j.last.After(waitDeadline(m))):
		return j.newStep(e, pb.MovePhase_MOVE_PHASE_DONE, out, v,
			fmt.Sprintf("all traffic is on %s and it is no worse than %s", m.GetNewVersion(), m.GetOldVersion()))
	case !larger && len(silent) > 0:
		return noChange(m, "waiting for reports of failure domain "+strings.Join(silent, ", "))
	case !larger:
		return noChange(m, "at the largest share that the operator allows")
	case complete:
		return j.newStep(e, pb.MovePhase_MOVE_PHASE_WATCHING, out, v, "all traffic on the new version, the old one is still running")
	case stageIndex < 0:
		return j.newStep(e, pb.MovePhase_MOVE_PHASE_RUNNING, out, v, fmt.Sprintf("first calls: %.1f%%", float64(highest)/10))
	default:
		return j.newStep(e, pb.MovePhase_MOVE_PHASE_RUNNING, out, v, fmt.Sprintf("no difference found at the last share; now %.1f%%", float64(highest)/10))
	}
}
