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
	freezeTime     = 4 * time.Second  // longer than the leader lease and the election timeout
	recoveryLimit  = 3 * time.Second  // from the loss of the leader until a change is accepted again
	missedChanges  = 500              // accepted while one node is stopped
	catchUpLimit   = 20 * time.Second // for a control host with a new disk to vote, or for a restarted node to be current
	isolationWatch = 3 * time.Second  // observation of a restarted node while only the stale control host runs
	killStride     = 3                // one of every 3 nodes is killed
)

// Names of the steps that kill nodes. They are part of the names of checks in the report.
const (
	stepKillNodes = "herd of nodes killed"
	stepStale     = "stale isolated control host"
)

// faultRun is a run that kills, freezes and isolates processes under load.
type faultRun struct {
	*demo
	report   *Report
	revision uint64   // of the last accepted change
	changes  int      // submitted by change, numbers the command ids
	accepted []string // command ids
	history  *revisionHistory

	mu sync.Mutex
	// rejectedKeys holds the tokens of calls that were rejected as not run and had one attempt
	// only. The token of a keyed call is also its idempotency key, by which upstreams count
	// executions.
	rejectedKeys        map[string]bool
	callsWithoutOutcome map[string]int // calls that were lost or whose outcome is unknown, by step
	rejections          map[string]int // rejected calls, by step and reason
	step                string         // step that runs now
}

// RunFaults runs the fault scenarios under load and ends every process that it
// started. Its result is that of Run.
func RunFaults(ctx context.Context, o Options) (*Report, error) {
	f := &faultRun{report: &Report{}, rejectedKeys: make(map[string]bool), callsWithoutOutcome: make(map[string]int), rejections: make(map[string]int)}
	return runSite(ctx, o, func(d *demo) error {
		f.demo = d
		return f.scenario(ctx)
	}, func(stopErrs []error) *Report {
		f.checkRun(stopErrs)
		return f.report
	})
}

func (f *faultRun) scenario(ctx context.Context) error {
	for _, step := range []func(context.Context) error{f.startControls, f.startNodes, f.applyConfiguration} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if err := f.readRevision(ctx); err != nil {
		return err
	}
	f.history = f.watchRevisions(ctx)
	defer f.history.stop()
	stop := f.startFaultLoad(ctx)
	defer stop()
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"race of operators", f.raceOperators},
		{"killed leader", f.killLeader},
		{"frozen leader", f.freezeLeader},
		{"lost disk, then a second host lost", f.loseDisk},
		{stepKillNodes, f.killManyNodes},
		{"node back after many changes", f.restartAfterMissedChanges},
		{stepStale, f.isolateStale},
	}
	for _, s := range steps {
		f.beginStep(s.name)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		if err := f.awaitEverywhere(ctx, s.name); err != nil {
			return err
		}
	}
	stop()
	return f.countExecutions(ctx)
}

// beginStep begins a step; calls are counted for it from now on.
func (f *faultRun) beginStep(step string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.step = step
	f.logf("%s", step)
}

// startFaultLoad sends calls until the returned function is called. This function
// waits for the end of the load and may be called more than once.
func (f *faultRun) startFaultLoad(ctx context.Context) func() {
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

// observe counts the result of a call for the step that runs now.
func (f *faultRun) observe(r *loadgen.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch r.Outcome {
	case loadgen.Rejected:
		f.rejections[f.step+": "+r.Reason]++
		// The other attempts of a call that was resent or retried may have run.
		if r.Attempts == 1 && r.Resent == "" {
			f.rejectedKeys[r.Token] = true
		}
	case loadgen.Lost, loadgen.Unknown:
		f.callsWithoutOutcome[f.step]++
	}
}

// change submits one change that is based on the last accepted revision. It returns
// an error when the change is not accepted.
func (f *faultRun) change(ctx context.Context) error {
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

// command returns a command that changes max_queue of one service.
func (f *faultRun) command(id string, expected uint64, queue uint32) *pb.Command {
	service := proto.CloneOf(f.service)
	service.Limits.MaxQueue = queue
	return &pb.Command{
		CommandId: id, Operator: operatorName, ExpectedRevision: expected,
		Command: &pb.Command_SubmitConfiguration{SubmitConfiguration: &pb.SubmitConfiguration{
			Changes: []*pb.Change{{Change: &pb.Change_PutService{PutService: service}}},
		}},
	}
}

// readRevision reads the accepted revision and the service that the changes modify.
func (f *faultRun) readRevision(ctx context.Context) error {
	r, err := f.operator.query(ctx, pb.Subject_SUBJECT_CONFIGURATION)
	if err != nil {
		return err
	}
	f.revision, f.service = r.GetConfiguration().GetRevision(), r.GetConfiguration().GetServices()[0]
	return nil
}

// awaitEverywhere waits until all nodes have applied the last accepted revision and
// reports how long that took.
func (f *faultRun) awaitEverywhere(ctx context.Context, step string) error {
	began := time.Now()
	_, err := f.awaitRevision(ctx, f.revision, began)
	f.report.check(step+": last accepted revision in force everywhere", err == nil, "revision %d after %s", f.revision, ms(time.Since(began)))
	return err
}

// raceOperators submits two different changes with the same expected revision at
// once. Exactly one must be accepted, the other must name the winner, and the
// winner's command must return its first result when it is sent again.
func (f *faultRun) raceOperators(ctx context.Context) error {
	oneAccepted, winnerNamed, sameResult := 0, 0, 0
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
			oneAccepted++
		}
		if loser.GetWinnerCommandId() == winner.GetCommandId() && loser.GetWinnerRevision() == winner.GetRevision() {
			winnerNamed++
		}
		again, err := f.operator.submit(ctx, f.command(winner.GetCommandId(), f.revision, 63))
		if err != nil {
			return err
		}
		if again.GetOutcome() == pb.Outcome_OUTCOME_ACCEPTED && again.GetRevision() == winner.GetRevision() {
			sameResult++
		}
		f.revision = winner.GetRevision()
		f.accepted = append(f.accepted, winner.GetCommandId())
	}
	f.report.check("race: exactly one is accepted", oneAccepted == raceRounds, "%d of %d rounds", oneAccepted, raceRounds)
	f.report.check("race: the rejected command names the winner", winnerNamed == raceRounds, "%d of %d rounds", winnerNamed, raceRounds)
	f.report.check("race: a resent command returns its first result", sameResult == raceRounds, "%d of %d rounds", sameResult, raceRounds)
	return nil
}

// killLeader kills the leader and measures how long it takes until a change is
// accepted again.
func (f *faultRun) killLeader(ctx context.Context) error {
	killed := f.leader(ctx)
	f.running["control-"+killed.id].kill()
	began := time.Now()
	if err := f.changeWithout(ctx, killed); err != nil {
		return err
	}
	took := time.Since(began)
	f.report.row("acceptance after the leader was killed", "%s", ms(took))
	f.report.check("killed leader: accepted within 3 s", took < recoveryLimit, "%s", ms(took))
	return f.restartControl(ctx, killed)
}

// changeWithout submits one change to the control hosts other than lost.
func (f *faultRun) changeWithout(ctx context.Context, lost control) error {
	all := f.operator.hostClients
	defer func() { f.operator.hostClients = all }()
	f.operator.hostClients = nil
	for i, c := range f.layout.controls {
		if c.id != lost.id {
			f.operator.hostClients = append(f.operator.hostClients, all[i])
		}
	}
	return f.change(ctx)
}

// freezeLeader suspends the leader's process for longer than its lease. After it
// resumes it must not answer from its old state as if it still led.
func (f *faultRun) freezeLeader(ctx context.Context) error {
	frozen := f.leader(ctx)
	p := f.running["control-"+frozen.id]
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	began := time.Now()
	err := f.changeWithout(ctx, frozen)
	took := time.Since(began)
	lifecycle.Pause(ctx, time.Until(began.Add(freezeTime)))
	if resumeErr := p.cmd.Process.Signal(syscall.SIGCONT); resumeErr != nil || err != nil {
		return fmt.Errorf("%v, %v", err, resumeErr)
	}
	f.report.row("acceptance with the leader frozen", "%s", ms(took))
	f.report.check("frozen leader: accepted within 3 s", took < recoveryLimit, "%s", ms(took))
	// The query is sent immediately after the process resumes, while the host may
	// still consider itself the leader.
	client := f.operatorAt(frozen)
	answer, err := client.Query(ctx, connect.NewRequest(&pb.QueryRequest{Subjects: []pb.Subject{pb.Subject_SUBJECT_CONFIGURATION}}))
	if err == nil {
		fresh := answer.Msg.GetFreshness()
		f.report.check("freeze: no outdated answer is marked as confirmed",
			!fresh.GetConfirmed() || answer.Msg.GetConfiguration().GetRevision() >= f.revision,
			"revision %d of %d, confirmed %t, age %d ms", answer.Msg.GetConfiguration().GetRevision(), f.revision, fresh.GetConfirmed(), fresh.GetAgeMs())
	}
	return f.change(ctx)
}

// loseDisk deletes the data directory of a control host, restarts the host and
// waits until it votes again. Then it kills a second host, and the leader after
// that. No accepted command may be lost.
func (f *faultRun) loseDisk(ctx context.Context) error {
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
	// The host with the new disk and the second host remain; together they must still
	// hold every accepted command.
	if err := f.change(ctx); err != nil {
		return err
	}
	known := f.knownCommands(ctx)
	f.report.check("lost disk: every accepted command is known", known == len(f.accepted), "%d of %d", known, len(f.accepted))
	return f.restartControl(ctx, leader)
}

// incarnation returns the incarnation of a control host's disk from the committed
// member set.
func (f *faultRun) incarnation(ctx context.Context, c control) ([]byte, error) {
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

// awaitVoter waits until the member set lists a host as a voter with an incarnation
// other than before.
func (f *faultRun) awaitVoter(ctx context.Context, c control, before []byte) error {
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
		if !lifecycle.Pause(ctx, retryInterval) {
			return fmt.Errorf("%s does not vote again: %s", c.id, last)
		}
	}
}

// knownCommands counts the accepted commands whose result a control host still returns.
func (f *faultRun) knownCommands(ctx context.Context) int {
	known := 0
	for _, id := range f.accepted {
		for _, s := range f.operator.hostClients {
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
