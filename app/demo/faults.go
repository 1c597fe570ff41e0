package demo

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/app/loadgen"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

const (
	faultRate      = 200.0 // calls per second
	raceRounds     = 10
	freezeTime     = 4 * time.Second // longer than the lease and the election timeout
	recoveryLimit  = 3 * time.Second // until changes are accepted again after the loss of the leader
	missedChanges  = 500
	catchUpLimit   = 20 * time.Second
	isolationWatch = 3 * time.Second
	herdShare      = 3 // one node in this many is killed
)

// Steps that kill nodes.
const (
	stepHerd  = "herd of nodes killed"
	stepStale = "stale isolated control host"
)

// faults is a run that kills, freezes and isolates processes while calls go on.
type faults struct {
	*demo
	report   *Report
	revision uint64 // of the last accepted change
	changes  int
	accepted []string // command ids
	history  *revisionHistory

	mu       sync.Mutex
	rejected map[string]bool // keys whose every attempt was rejected as not run
	lost     map[string]int  // calls without an outcome, by phase
	refused  map[string]int  // calls that were rejected, by phase and reason
	phase    string
}

// RunFaults runs the fault scenarios and ends every process that it started.
func RunFaults(ctx context.Context, o Options) (*Report, error) {
	f := &faults{report: &Report{}, rejected: make(map[string]bool), lost: make(map[string]int), refused: make(map[string]int)}
	return runSite(ctx, o, func(d *demo) error {
		f.demo = d
		return f.scenario(ctx)
	}, func(stopErrs []error) *Report {
		f.finish(stopErrs)
		return f.report
	})
}

func (f *faults) scenario(ctx context.Context) error {
	for _, step := range []func(context.Context) error{f.startControls, f.startNodes, f.apply} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if err := f.readRevision(ctx); err != nil {
		return err
	}
	f.history = f.watchRevisions(ctx)
	defer f.history.stop()
	stop := f.calls(ctx)
	defer stop()
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"race of operators", f.race},
		{"killed leader", f.killLeader},
		{"frozen leader", f.freezeLeader},
		{"lost disk, then a second host lost", f.loseDisk},
		{stepHerd, f.killHerd},
		{"node back after many changes", f.missChanges},
		{stepStale, f.isolateStale},
	}
	for _, s := range steps {
		f.enter(s.name)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		if err := f.everywhere(ctx, s.name); err != nil {
			return err
		}
	}
	stop()
	return f.countExecutions(ctx)
}

func (f *faults) enter(phase string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.phase = phase
	f.say("%s", phase)
}

// calls sends load until the returned function is called, which may be twice.
func (f *faults) calls(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	o := f.loadOptions()
	o.Rate = faultRate
	go func() {
		defer close(done)
		f.load = loadgen.Run(ctx, o, f.observe)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (f *faults) observe(r *loadgen.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.Outcome {
	case loadgen.Rejected:
		f.refused[f.phase+": "+r.Reason]++
		// A call that was resent, or tried again, may have run then.
		if r.Attempts == 1 && r.Resent == "" {
			f.rejected[r.Token] = true
		}
	case loadgen.Lost, loadgen.Unknown:
		f.lost[f.phase]++
	}
}

// change submits one change that builds on the last accepted one.
func (f *faults) change(ctx context.Context) error {
	f.changes++
	id := fmt.Sprintf("fault-change-%d", f.changes)
	result, err := f.operator.submit(ctx, f.command(id, f.revision, uint32(16+f.changes%48)))
	if err != nil {
		return err
	}
	if result.GetOutcome() != pb.Outcome_OUTCOME_ACCEPTED {
		return fmt.Errorf("%s: %s %v %s", id, result.GetOutcome(), result.GetProblems(), result.GetMessage())
	}
	f.revision = result.GetRevision()
	f.accepted = append(f.accepted, id)
	return nil
}

func (f *faults) command(id string, expected uint64, queue uint32) *pb.Command {
	service := proto.CloneOf(f.service)
	service.Limits.MaxQueue = queue
	return &pb.Command{
		CommandId: id, Operator: operatorName, ExpectedRevision: expected,
		Command: &pb.Command_SubmitConfiguration{SubmitConfiguration: &pb.SubmitConfiguration{
			Changes: []*pb.Change{{Change: &pb.Change_PutService{PutService: service}}},
		}},
	}
}

func (f *faults) readRevision(ctx context.Context) error {
	r, err := f.operator.query(ctx, pb.Subject_SUBJECT_CONFIGURATION)
	if err != nil {
		return err
	}
	f.revision, f.service = r.GetConfiguration().GetRevision(), r.GetConfiguration().GetServices()[0]
	return nil
}

// everywhere waits until all nodes have the last accepted revision.
func (f *faults) everywhere(ctx context.Context, step string) error {
	began := time.Now()
	_, err := f.awaitRevision(ctx, f.revision, began)
	f.report.check(step+": last accepted revision in force everywhere", err == nil, "revision %d after %s", f.revision, ms(time.Since(began)))
	return err
}

// race lets two operators submit different changes with the same expected revision at once.
func (f *faults) race(ctx context.Context) error {
	exactlyOne, told, repeated := 0, 0, 0
	for i := range raceRounds {
		var results [2]*pb.CommandResult
		var errs [2]error
		var wait sync.WaitGroup
		for j := range results {
			wait.Go(func() {
				results[j], errs[j] = f.operator.submit(ctx, f.command(fmt.Sprintf("race-%d-%d", i, j), f.revision, uint32(20+j)))
			})
		}
		wait.Wait()
		if errs[0] != nil || errs[1] != nil {
			return fmt.Errorf("%v, %v", errs[0], errs[1])
		}
		winner, loser := results[0], results[1]
		if winner.GetOutcome() != pb.Outcome_OUTCOME_ACCEPTED {
			winner, loser = loser, winner
		}
		if winner.GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED && loser.GetOutcome() == pb.Outcome_OUTCOME_CONFLICT {
			exactlyOne++
		}
		if loser.GetWinnerCommandId() == winner.GetCommandId() && loser.GetWinnerRevision() == winner.GetRevision() {
			told++
		}
		again, err := f.operator.submit(ctx, f.command(winner.GetCommandId(), f.revision, 63))
		if err != nil {
			return err
		}
		if again.GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED && again.GetRevision() == winner.GetRevision() {
			repeated++
		}
		f.revision = winner.GetRevision()
		f.accepted = append(f.accepted, winner.GetCommandId())
	}
	f.report.check("race: exactly one is accepted", exactlyOne == raceRounds, "%d of %d rounds", exactlyOne, raceRounds)
	f.report.check("race: the other is told the winner", told == raceRounds, "%d of %d rounds", told, raceRounds)
	f.report.check("race: a resent command has its first result", repeated == raceRounds, "%d of %d rounds", repeated, raceRounds)
	return nil
}

// killLeader measures how long it takes until a change is accepted again.
func (f *faults) killLeader(ctx context.Context) error {
	killed := f.leader(ctx)
	f.running["control-"+killed.id].kill()
	began := time.Now()
	if err := f.changeThrough(ctx, killed); err != nil {
		return err
	}
	took := time.Since(began)
	f.report.row("acceptance after the leader was killed", "%s", ms(took))
	f.report.check("killed leader: accepted within 3 s", took < recoveryLimit, "%s", ms(took))
	return f.restartControl(ctx, killed)
}

// changeThrough submits one change at the hosts other than the one that is lost.
func (f *faults) changeThrough(ctx context.Context, lost control) error {
	all := f.operator.services
	defer func() { f.operator.services = all }()
	f.operator.services = nil
	for i, c := range f.layout.controls {
		if c.id != lost.id {
			f.operator.services = append(f.operator.services, all[i])
		}
	}
	return f.change(ctx)
}

// freezeLeader stops the leader's process for longer than its lease.
func (f *faults) freezeLeader(ctx context.Context) error {
	frozen := f.leader(ctx)
	p := f.running["control-"+frozen.id]
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	began := time.Now()
	err := f.changeThrough(ctx, frozen)
	took := time.Since(began)
	lifecycle.Pause(ctx, time.Until(began.Add(freezeTime)))
	if resumed := p.cmd.Process.Signal(syscall.SIGCONT); resumed != nil || err != nil {
		return fmt.Errorf("%v, %v", err, resumed)
	}
	f.report.row("acceptance with the leader frozen", "%s", ms(took))
	f.report.check("frozen leader: accepted within 3 s", took < recoveryLimit, "%s", ms(took))
	// Asked at once after it resumes, it must not answer as leader from before.
	one := f.operatorAt(frozen)
	answer, err := one.Query(ctx, connect.NewRequest(&pb.QueryRequest{Subjects: []pb.Subject{pb.Subject_SUBJECT_CONFIGURATION}}))
	if err == nil {
		fresh := answer.Msg.GetFreshness()
		f.report.check("freeze: no outdated answer is marked as confirmed",
			!fresh.GetConfirmed() || answer.Msg.GetConfiguration().GetRevision() >= f.revision,
			"revision %d of %d, confirmed %t, age %d ms", answer.Msg.GetConfiguration().GetRevision(), f.revision, fresh.GetConfirmed(), fresh.GetAgeMs())
	}
	return f.change(ctx)
}

// loseDisk removes a control host's data directory, lets it return, and then
// loses a second host at once.
func (f *faults) loseDisk(ctx context.Context) error {
	leader := f.leader(ctx)
	var lost, second control
	for _, c := range f.layout.controls {
		switch {
		case c.id == leader.id:
		case lost.id == "":
			lost = c
		default:
			second = c
		}
	}
	before, err := f.incarnation(ctx, lost)
	if err != nil {
		return err
	}
	f.running["control-"+lost.id].kill()
	if err := os.RemoveAll(filepath.Join(f.layout.dir, "data-"+lost.id)); err != nil {
		return err
	}
	if err := f.change(ctx); err != nil {
		return err
	}
	if err := f.restartControl(ctx, lost); err != nil {
		return err
	}
	began := time.Now()
	if err := f.awaitVoter(ctx, lost, before); err != nil {
		return err
	}
	f.report.row("host with a new disk votes again after", "%s", ms(time.Since(began)))
	f.running["control-"+second.id].kill()
	if err := f.change(ctx); err != nil {
		return err
	}
	f.running["control-"+leader.id].kill()
	if err := f.restartControl(ctx, second); err != nil {
		return err
	}
	// The host with the new disk and the second host remain: all that was accepted must be there.
	if err := f.change(ctx); err != nil {
		return err
	}
	known := f.knownCommands(ctx)
	f.report.check("lost disk: every accepted command is known", known == len(f.accepted), "%d of %d", known, len(f.accepted))
	return f.restartControl(ctx, leader)
}

// incarnation of a control host's disk, as committed with the members.
func (f *faults) incarnation(ctx context.Context, c control) ([]byte, error) {
	r, err := f.operator.query(ctx, pb.Subject_SUBJECT_MEMBERS)
	if err != nil {
		return nil, err
	}
	for _, m := range r.GetMembers() {
		if m.GetMember().GetId() == c.id {
			return m.GetMember().GetIncarnation(), nil
		}
	}
	return nil, fmt.Errorf("%s is no member", c.id)
}

// awaitVoter waits until the members name a host as a voter with another disk than before.
func (f *faults) awaitVoter(ctx context.Context, c control, before []byte) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	last := "no answer"
	for {
		if r, err := f.operator.query(ctx, pb.Subject_SUBJECT_MEMBERS); err == nil {
			for _, m := range r.GetMembers() {
				member := m.GetMember()
				if member.GetId() != c.id {
					continue
				}
				last = fmt.Sprintf("role %s, voter %t, at index %d", m.GetRole(), member.GetVoter(), m.GetMatchIndex())
				if member.GetVoter() && !bytes.Equal(member.GetIncarnation(), before) {
					return nil
				}
			}
		}
		if !lifecycle.Pause(ctx, retryPause) {
			return fmt.Errorf("%s does not vote again: %s", c.id, last)
		}
	}
}

// knownCommands counts the accepted commands whose result is still given.
func (f *faults) knownCommands(ctx context.Context) int {
	known := 0
	for _, id := range f.accepted {
		for _, s := range f.operator.services {
			attempt, cancel := context.WithTimeout(ctx, submitTimeout)
			r, err := s.GetCommand(attempt, connect.NewRequest(&pb.GetCommandRequest{CommandId: id}))
			cancel()
			if err == nil && r.Msg.GetResult().GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED {
				known++
				break
			}
		}
	}
	return known
}
