package demo

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/app/lifecycle"
	"github.com/rattanfield/rattanfield/gen/rattanfield/v1/rattanfieldv1connect"
)

// operatorAt returns a client that asks only one control host.
func (f *faultRun) operatorAt(c control) rattanfieldv1connect.OperatorServiceClient {
	return rattanfieldv1connect.NewOperatorServiceClient(f.operator.client.HTTP(), rpc.URL(c.peer()))
}

// killManyNodes kills one node in three at the same time, submits a change while
// they are down, and starts them all together.
func (f *faultRun) killManyNodes(ctx context.Context) error {
	var killedNodes []node
	for i, n := range f.layout.nodes {
		if i%killStride == 0 {
			killedNodes = append(killedNodes, n)
		}
	}
	var wait sync.WaitGroup
	for _, n := range killedNodes {
		wait.Go(func() { f.running["node-"+n.id].kill() })
	}
	wait.Wait()
	if err := f.change(ctx); err != nil {
		return err
	}
	began := time.Now()
	for _, n := range killedNodes {
		if err := f.startNode(n); err != nil {
			return err
		}
	}
	if err := f.awaitNodes(ctx); err != nil {
		return err
	}
	f.report.row("killed nodes ready again after", "%s (%d of %d nodes)", ms(time.Since(began)), len(killedNodes), len(f.layout.nodes))
	if !lifecycle.Pause(ctx, ledgerRecovery) {
		return ctx.Err()
	}
	f.beginStep(stepAfterRestart)
	lifecycle.Pause(ctx, afterRestartWatch)
	return nil
}

const (
	stepAfterRestart = "after the restart of the killed nodes"
	// ledgerRecovery is longer than a restarted member of a ledger group needs to
	// fetch the claims of the other members.
	ledgerRecovery    = 4 * time.Second
	afterRestartWatch = 2 * time.Second
)

func (f *faultRun) startNode(n node) error {
	return f.startProcess("node-"+n.id, "rattanfield-node", "--settings", n.file)
}

// restartAfterMissedChanges stops a node, submits many changes and measures how long the node
// needs to apply them after its restart.
func (f *faultRun) restartAfterMissedChanges(ctx context.Context) error {
	n := f.layout.nodes[1]
	if err := f.running["node-"+n.id].stop(); err != nil {
		return err
	}
	began := time.Now()
	for range missedChanges {
		if err := f.change(ctx); err != nil {
			return err
		}
	}
	f.report.row("changes accepted one after the other", "%d in %s", missedChanges, ms(time.Since(began)))
	began = time.Now()
	if err := f.startNode(n); err != nil {
		return err
	}
	for {
		r, err := f.admin.revision(ctx, n.admin())
		if err == nil && r >= f.revision {
			break
		}
		if time.Since(began) > catchUpLimit || !lifecycle.Pause(ctx, pollInterval) {
			return fmt.Errorf("node %s is at revision %d of %d after %s", n.id, r, f.revision, time.Since(began))
		}
	}
	f.report.row("node current again after missed changes", "%s (%d changes)", ms(time.Since(began)), missedChanges)
	return nil
}

// isolateStale suspends one control host, submits changes, then suspends the others
// and resumes only the stale one while a node of its failure domain restarts. The
// node must not fall back to the stale revision.
func (f *faultRun) isolateStale(ctx context.Context) error {
	leader := f.leader(ctx)
	var stale control
	var domain string
	for i, c := range f.layout.controls {
		if c.id != leader.id {
			stale, domain = c, domains[controlDomains[i]].name
		}
	}
	signal := func(c control, s syscall.Signal) error { return f.running["control-"+c.id].cmd.Process.Signal(s) }
	if err := signal(stale, syscall.SIGSTOP); err != nil {
		return err
	}
	old := f.revision
	for range 5 {
		if err := f.change(ctx); err != nil {
			return err
		}
	}
	if _, err := f.awaitRevision(ctx, f.revision, time.Now()); err != nil {
		return err
	}
	for _, c := range f.layout.controls {
		if c.id != stale.id {
			if err := signal(c, syscall.SIGSTOP); err != nil {
				return err
			}
		}
	}
	if err := signal(stale, syscall.SIGCONT); err != nil {
		return err
	}
	n := f.nodeIn(domain)
	f.running["node-"+n.id].kill()
	if err := f.startNode(n); err != nil {
		return err
	}
	seen := f.lowestRevision(ctx, n)
	f.report.check("stale host: restarted node does not apply its revision", seen == 0 || seen >= f.revision,
		"revision %d, accepted %d, stale host at %d", seen, f.revision, old)
	f.report.check("stale host: restarted node gets the configuration from its peers", seen >= f.revision, "revision %d of %d", seen, f.revision)
	for _, c := range f.layout.controls {
		if c.id != stale.id {
			if err := signal(c, syscall.SIGCONT); err != nil {
				return err
			}
		}
	}
	return f.change(ctx)
}

// nodeIn returns the first node of a failure domain.
func (f *faultRun) nodeIn(domain string) node {
	for _, n := range f.layout.nodes {
		if n.domain == domain {
			return n
		}
	}
	return node{}
}

// lowestRevision returns the lowest revision that a restarted node reports within
// isolationWatch, or 0 when it reports none.
func (f *faultRun) lowestRevision(ctx context.Context, n node) uint64 {
	lowest := uint64(0)
	for end := time.Now().Add(isolationWatch); time.Now().Before(end); {
		if r, err := f.admin.revision(ctx, n.admin()); err == nil && r > 0 && (lowest == 0 || r < lowest) {
			lowest = r
		}
		if !lifecycle.Pause(ctx, pollInterval) {
			break
		}
	}
	return lowest
}

// revisionHistory records when a node reports a lower revision than before, also
// across its restarts.
type revisionHistory struct {
	stop func()

	mu        sync.Mutex
	highest   map[string]uint64
	decreases []string
	readings  int
}

// watchRevisions polls the revisions of all nodes until stop is called.
func (f *faultRun) watchRevisions(ctx context.Context) *revisionHistory {
	ctx, cancel := context.WithCancel(ctx)
	h := &revisionHistory{highest: make(map[string]uint64)}
	var wait sync.WaitGroup
	for _, n := range f.layout.nodes {
		wait.Go(func() {
			for lifecycle.Pause(ctx, 2*pollInterval) {
				if r, err := f.admin.revision(ctx, n.admin()); err == nil && r > 0 {
					h.record(n.id, r)
				}
			}
		})
	}
	var once sync.Once
	h.stop = func() { once.Do(func() { cancel(); wait.Wait() }) }
	return h
}

func (h *revisionHistory) record(id string, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readings++
	if revision < h.highest[id] {
		h.decreases = append(h.decreases, fmt.Sprintf("%s: %d after %d", id, revision, h.highest[id]))
	}
	h.highest[id] = max(h.highest[id], revision)
}

// checkRun adds the checks that concern the whole run to the report.
func (f *faultRun) checkRun(stopErrs []error) {
	r := f.report
	if f.history == nil || f.load == nil {
		r.check("the scenarios ran", false, "the run ended early")
		return
	}
	f.history.stop()
	r.check("no node reported a lower revision", len(f.history.decreases) == 0 && f.history.readings > 0,
		"%d readings, %v", f.history.readings, f.history.decreases)
	c := f.load.All.Counts
	r.row("calls", "%d sent, %d answered, %d failed, %d rejected, %d unknown, %d lost", c.Sent, c.Answered, c.Failed, c.Rejected, c.Unknown, c.Lost)
	r.row("calls without an outcome, by scenario", "%v", f.callsWithoutOutcome)
	r.row("rejected calls, by scenario and reason", "%v", f.rejections)
	rejectedAfterRestart := 0
	for stepAndReason, n := range f.rejections {
		if strings.HasPrefix(stepAndReason, stepAfterRestart) {
			rejectedAfterRestart += n
		}
	}
	r.check("after the restart of the killed nodes: no call is rejected", rejectedAfterRestart == 0, "%d", rejectedAfterRestart)
	r.check("no foreign or incomplete response", c.Corrupt == 0 && c.Answered > 0, "%d of %d", c.Corrupt, c.Sent)
	r.check("no key ran twice", f.duplicateKeys == 0 && f.keys > 0, "%d of %d keys", f.duplicateKeys, f.keys)
	ran := 0
	for key := range f.rejectedKeys {
		if f.executions[key] > 0 {
			ran++
		}
	}
	r.check("no call that was rejected as not run has run", ran == 0, "%d of %d rejected calls", ran, len(f.rejectedKeys))
	lost := 0
	for step, n := range f.callsWithoutOutcome {
		// Only a killed node may lose calls: those that it was forwarding.
		if step != stepKillNodes && step != stepStale {
			lost += n
		}
	}
	r.check("no call without an outcome while no node is killed", lost == 0, "%d", lost)
	unexpected := f.processes.unexpected()
	r.check("no process ended on its own", len(unexpected) == 0, "%d did", len(unexpected))
	r.check("every process stopped cleanly", len(stopErrs) == 0, "%v", stopErrs)
	r.row("duration", "%.1f s", time.Since(f.began).Seconds())
}
