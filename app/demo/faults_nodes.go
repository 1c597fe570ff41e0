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

func (f *faults) operatorAt(c control) rattanfieldv1connect.OperatorServiceClient {
	return rattanfieldv1connect.NewOperatorServiceClient(f.operator.client.HTTP(), rpc.URL(c.peer()))
}

// killHerd kills one node in three at once, accepts a change while they are
// away, and starts them all at once.
func (f *faults) killHerd(ctx context.Context) error {
	var herd []node
	for i, n := range f.layout.nodes {
		if i%herdShare == 0 {
			herd = append(herd, n)
		}
	}
	var wait sync.WaitGroup
	for _, n := range herd {
		wait.Go(func() { f.running["node-"+n.id].kill() })
	}
	wait.Wait()
	if err := f.change(ctx); err != nil {
		return err
	}
	began := time.Now()
	for _, n := range herd {
		if err := f.startNode(n); err != nil {
			return err
		}
	}
	if err := f.awaitNodes(ctx); err != nil {
		return err
	}
	f.report.row("herd of nodes ready again after", "%s (%d of %d nodes)", ms(time.Since(began)), len(herd), len(f.layout.nodes))
	if !lifecycle.Pause(ctx, ledgerRecovery) {
		return ctx.Err()
	}
	f.enter(phaseAfterHerd)
	lifecycle.Pause(ctx, afterHerdWatch)
	return nil
}

const (
	phaseAfterHerd = "after the herd"
	// ledgerRecovery is more than the time in which a restarted member of a ledger
	// group gets the claims of the others.
	ledgerRecovery = 4 * time.Second
	afterHerdWatch = 2 * time.Second
)

func (f *faults) startNode(n node) error {
	return f.run("node-"+n.id, "rattanfield-node", "--settings", n.file)
}

// missChanges stops a node, accepts many changes and starts it again.
func (f *faults) missChanges(ctx context.Context) error {
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

// isolateStale freezes one control host, accepts changes, then freezes the
// others and wakes only the stale one while a node of its failure domain
// restarts. The node may not fall back to the stale revision.
func (f *faults) isolateStale(ctx context.Context) error {
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
	seen := f.watchRestarted(ctx, n)
	f.report.check("stale host: restarted node does not take its revision", seen == 0 || seen >= f.revision,
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

func (f *faults) nodeIn(domain string) node {
	for _, n := range f.layout.nodes {
		if n.domain == domain {
			return n
		}
	}
	return node{}
}

// watchRestarted returns the lowest revision that the node shows within a time; 0 when it shows none.
func (f *faults) watchRestarted(ctx context.Context, n node) uint64 {
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

// revisionHistory watches that no node ever shows a lower revision than before,
// across its restarts.
type revisionHistory struct {
	stop func()

	mu       sync.Mutex
	highest  map[string]uint64
	lower    []string
	readings int
}

func (f *faults) watchRevisions(ctx context.Context) *revisionHistory {
	ctx, cancel := context.WithCancel(ctx)
	h := &revisionHistory{highest: make(map[string]uint64)}
	var wait sync.WaitGroup
	for _, n := range f.layout.nodes {
		wait.Go(func() {
			for lifecycle.Pause(ctx, 2*pollInterval) {
				if r, err := f.admin.revision(ctx, n.admin()); err == nil && r > 0 {
					h.take(n.id, r)
				}
			}
		})
	}
	var once sync.Once
	h.stop = func() { once.Do(func() { cancel(); wait.Wait() }) }
	return h
}

func (h *revisionHistory) take(id string, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readings++
	if revision < h.highest[id] {
		h.lower = append(h.lower, fmt.Sprintf("%s: %d after %d", id, revision, h.highest[id]))
	}
	h.highest[id] = max(h.highest[id], revision)
}

// finish checks what must hold over the whole run.
func (f *faults) finish(stopErrs []error) {
	r := f.report
	if f.history == nil || f.load == nil {
		r.check("the scenarios ran", false, "the run ended before")
		return
	}
	f.history.stop()
	r.check("no node showed a lower revision", len(f.history.lower) == 0 && f.history.readings > 0,
		"%d readings, %v", f.history.readings, f.history.lower)
	c := f.load.All.Counts
	r.row("calls", "%d sent, %d answered, %d failed, %d rejected, %d unknown, %d lost", c.Sent, c.Answered, c.Failed, c.Rejected, c.Unknown, c.Lost)
	r.row("calls without an outcome, by scenario", "%v", f.lost)
	r.row("rejected calls, by scenario and reason", "%v", f.refused)
	refused := 0
	for what, n := range f.refused {
		if strings.HasPrefix(what, phaseAfterHerd) {
			refused += n
		}
	}
	r.check("after the herd: no call is rejected", refused == 0, "%d", refused)
	r.check("no foreign or incomplete response", c.Corrupt == 0 && c.Answered > 0, "%d of %d", c.Corrupt, c.Sent)
	r.check("no key ran twice", f.double == 0 && f.keys > 0, "%d of %d keys", f.double, f.keys)
	ran := 0
	for key := range f.rejected {
		if f.executions[key] > 0 {
			ran++
		}
	}
	r.check("no call that was rejected as not run has run", ran == 0, "%d of %d rejected calls", ran, len(f.rejected))
	lost := 0
	for step, n := range f.lost {
		// Only a killed node loses the calls that it carried.
		if step != stepHerd && step != stepStale {
			lost += n
		}
	}
	r.check("no call without an outcome while no node is killed", lost == 0, "%d", lost)
	unexpected := f.processes.unexpected()
	r.check("no process ended on its own", len(unexpected) == 0, "%d did", len(unexpected))
	r.check("every process stopped cleanly", len(stopErrs) == 0, "%v", stopErrs)
	r.row("duration", "%.1f s", time.Since(f.began).Seconds())
}
