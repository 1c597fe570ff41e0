package demo

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"

	"github.com/rattanfield/rattanfield/app/lifecycle"
)

const (
	startTimeout     = 15 * time.Second
	goodDeadline     = 50 * time.Second
	badDeadline      = 45 * time.Second
	moveGrace        = 3 * time.Second // wait after the deadline before the demo gives up
	killDelay        = 8 * time.Second // from the start of the good move to the kill of the leader
	stopDelay        = 2 * time.Second // from the kill to the stop of a node
	movePollInterval = 50 * time.Millisecond
	rollbackLimit    = time.Second     // after the rollback decision; from then on the bad version gets no requests
	rollbackWatch    = 3 * time.Second // observation after rollbackLimit
	trafficWindow    = 1500 * time.Millisecond
	upstreamLatency  = 3 * time.Millisecond // request latency of the simulated upstreams
	badErrorRate     = "/fares=0.5"
)

// scenario runs the steps of Run and stops at the first error.
func (d *demo) scenario(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.startControls, d.startNodes, d.applyConfiguration, d.measureConvergence, d.measureUnchanged, d.runMoves, d.countExecutions,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startProcess(name, program string, args ...string) error {
	c, err := d.processes.startProcess(name, program, args...)
	if err != nil {
		return err
	}
	d.running[name] = c
	return nil
}

func (d *demo) startControls(ctx context.Context) error {
	for _, c := range d.layout.controls {
		if err := d.startProcess("control-"+c.id, "rattanfield-control", "--settings", c.file); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, c := range d.layout.controls {
		if err := d.admin.waitReady(ctx, c.admin()); err != nil {
			return err
		}
	}
	d.logf("%d control hosts are ready", len(d.layout.controls))
	return nil
}

func (d *demo) startNodes(ctx context.Context) error {
	for _, n := range d.layout.nodes {
		if err := d.startProcess("node-"+n.id, "rattanfield-node", "--settings", n.file); err != nil {
			return err
		}
		args := []string{
			"--listen", n.upstream(), "--node", n.admin(), "--service", n.service, "--label", n.version,
			"--latency", upstreamLatency.String(),
		}
		if n.version == versionBad {
			args = append(args, "--error-rate", badErrorRate)
		}
		if err := d.startProcess("upstream-"+n.id, "rattanfield-upstream", args...); err != nil {
			return err
		}
	}
	// A ledger group grants claims without a recovery wait if its members already run
	// when the configuration names the group.
	if err := d.awaitNodes(ctx); err != nil {
		return err
	}
	d.logf("%d nodes and %d upstreams are started", len(d.layout.nodes), len(d.layout.nodes))
	return nil
}

func (d *demo) awaitNodes(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, n := range d.layout.nodes {
		if err := d.admin.waitReady(ctx, n.admin()); err != nil {
			return err
		}
	}
	return nil
}

// applyConfiguration submits the first configuration with the operator program and
// waits until all nodes have applied it and are ready.
func (d *demo) applyConfiguration(ctx context.Context) error {
	r, err := d.operator.query(ctx, pb.Subject_SUBJECT_CONFIGURATION)
	if err != nil {
		return err
	}
	out, err := d.operator.runStatement(ctx, d.processes,
		fmt.Sprintf("apply %s expect %d", d.layout.configuration, r.GetConfiguration().GetRevision()))
	if err != nil {
		return err
	}
	d.logf("apply: %s", firstLine(out))
	if r, err = d.operator.query(ctx, pb.Subject_SUBJECT_CONFIGURATION); err != nil {
		return err
	}
	if _, err := d.awaitRevision(ctx, r.GetConfiguration().GetRevision(), time.Now()); err != nil {
		return err
	}
	return d.awaitNodes(ctx)
}

// measureUnchanged measures added latency and control traffic while the
// configuration does not change.
func (d *demo) measureUnchanged(ctx context.Context) error {
	d.logf("%d changes are in force everywhere", convergenceChanges)
	if err := d.idle.begin(ctx, d); err != nil {
		return err
	}
	if !lifecycle.Pause(ctx, trafficWindow) {
		return ctx.Err()
	}
	if err := d.idle.end(ctx, d); err != nil {
		return err
	}
	if err := d.busy.begin(ctx, d); err != nil {
		return err
	}
	d.measureLatency(ctx)
	return d.busy.end(ctx, d)
}

// runMoves moves bookings to the good version. During this move the leader is
// killed, a node is stopped, and the move of tills to the bad version starts.
func (d *demo) runMoves(ctx context.Context) error {
	stop := d.startLoad(ctx)
	defer stop()
	if err := d.startMove(ctx, serviceBookings, versionGood, goodDeadline); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	good := make(chan error, 1)
	go func() {
		m, err := d.awaitMove(ctx, serviceBookings, versionGood, goodDeadline)
		d.good = m
		good <- err
	}()
	err := d.injectFaults(ctx)
	if err == nil {
		err = d.runBadMove(ctx)
	}
	if err != nil {
		cancel() // stops the wait for the good move; its result is not needed any more
	}
	return errors.Join(err, <-good)
}

// injectFaults kills the leading control host, stops a node and restarts the
// control host.
func (d *demo) injectFaults(ctx context.Context) error {
	if !lifecycle.Pause(ctx, killDelay) {
		return ctx.Err()
	}
	killed := d.leader(ctx)
	d.running["control-"+killed.id].kill()
	d.logf("control host %s (leader) was killed", killed.id)
	if !lifecycle.Pause(ctx, stopDelay) {
		return ctx.Err()
	}
	if err := d.stopNode(); err != nil {
		return err
	}
	return d.restartControl(ctx, killed)
}

// stopNode stops a node whose upstream and whose entry receive calls.
func (d *demo) stopNode() error {
	for _, n := range d.layout.nodes {
		if n.service == serviceTills && n.domain == domains[len(domains)-1].name {
			d.nodeStopErr = d.running["node-"+n.id].stop()
			d.logf("node %s was stopped under load: %s", n.id, stopResult(d.nodeStopErr))
			return nil
		}
	}
	return fmt.Errorf("no node of tills to stop in the last failure domain")
}

// restartControl starts a killed control host again and waits until it is ready.
func (d *demo) restartControl(ctx context.Context, c control) error {
	if err := d.startProcess("control-"+c.id, "rattanfield-control", "--settings", c.file); err != nil {
		return err
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.admin.waitReady(ctx, c.admin()); err != nil {
		return err
	}
	d.rejoinTime = time.Since(began)
	d.logf("control host %s is back after %s", c.id, d.rejoinTime.Round(time.Millisecond))
	return nil
}

// runBadMove moves tills to the bad version and counts the requests that this
// version ran until 1 s after the rollback decision, and later.
func (d *demo) runBadMove(ctx context.Context) error {
	_, before := d.versions.counts(versionBad)
	if err := d.startMove(ctx, serviceTills, versionBad, badDeadline); err != nil {
		return err
	}
	m, err := d.awaitMove(ctx, serviceTills, versionBad, badDeadline)
	d.bad = m
	if err != nil {
		return err
	}
	_, after := d.versions.counts(versionBad)
	d.badServiceCalls = after - before
	if !lifecycle.Pause(ctx, time.Until(time.UnixMilli(m.GetChangedUnixMs()).Add(rollbackLimit))) {
		return ctx.Err()
	}
	if d.badCalls, err = d.executedRequests(ctx, versionBad); err != nil {
		return err
	}
	if !lifecycle.Pause(ctx, rollbackWatch) {
		return ctx.Err()
	}
	late, err := d.executedRequests(ctx, versionBad)
	d.badCallsLate = late - d.badCalls
	return err
}

func (d *demo) startMove(ctx context.Context, service, to string, deadline time.Duration) error {
	out, err := d.operator.runStatement(ctx, d.processes, fmt.Sprintf("start move %s from %s to %s by %s", service, versionOld, to, deadline))
	if err != nil {
		return err
	}
	d.logf("start move of %s to %s: %s", service, to, firstLine(out))
	return nil
}

// awaitMove waits until a move has ended and prints each of its steps. It returns
// an error when the move has not ended moveGrace after its deadline.
func (d *demo) awaitMove(ctx context.Context, service, version string, deadline time.Duration) (*pb.Move, error) {
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, deadline+moveGrace)
	defer cancel()
	var last *pb.Move
	for {
		m, err := d.operator.move(ctx, service, version)
		if err == nil && (last == nil || m.GetStep() != last.GetStep()) {
			d.logf("move of %s to %s: %s, %s: %s", service, version, phaseName(m), formatShares(m), m.GetReason())
		}
		if err == nil {
			last = m
		}
		switch last.GetPhase() {
		case pb.MovePhase_MOVE_PHASE_DONE, pb.MovePhase_MOVE_PHASE_ROLLED_BACK, pb.MovePhase_MOVE_PHASE_STOPPED:
			return last, nil
		}
		if !lifecycle.Pause(ctx, movePollInterval) {
			if parent.Err() != nil {
				return last, parent.Err()
			}
			return last, fmt.Errorf("the move to %s did not end %s after its deadline; phase %s, %s", version, moveGrace, phaseName(last), last.GetReason())
		}
	}
}

// leader returns the leading control host, or the first one when no leader is known.
func (d *demo) leader(ctx context.Context) control {
	if r, err := d.operator.query(ctx, pb.Subject_SUBJECT_MEMBERS); err == nil {
		for _, c := range d.layout.controls {
			if r.GetFreshness().GetLeader() == c.id || r.GetFreshness().GetLeader() == c.peer() {
				return c
			}
		}
	}
	return d.layout.controls[0]
}

func phaseName(m *pb.Move) string {
	return strings.ToLower(strings.TrimPrefix(m.GetPhase().String(), "MOVE_PHASE_"))
}

func formatShares(m *pb.Move) string {
	formatted := make([]string, 0, len(m.GetDomains()))
	for _, s := range m.GetDomains() {
		formatted = append(formatted, fmt.Sprintf("%s %.1f%%", s.GetFailureDomain(), float64(s.GetNewPermille())/10))
	}
	return strings.Join(formatted, ", ")
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	return line
}

func stopResult(err error) string {
	if err != nil {
		return err.Error()
	}
	return "ended cleanly"
}

// Programs lists the binaries that the demo needs in Options.Bin.
var Programs = []string{"rattanfield-control", "rattanfield-node", "rattanfield-upstream", "rattanfield"}

// CheckPrograms returns an error for the first of Programs that is missing in bin.
func CheckPrograms(bin string) error {
	for _, p := range Programs {
		if _, err := os.Stat(filepath.Join(bin, p)); err != nil {
			return fmt.Errorf("%w; build the programs first with: make build", err)
		}
	}
	return nil
}
