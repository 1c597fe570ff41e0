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
	startTimeout  = 15 * time.Second
	goodDeadline  = 50 * time.Second
	badDeadline   = 45 * time.Second
	moveGrace     = 3 * time.Second // after the deadline, until the demo gives up
	beforeKill    = 8 * time.Second // after the start of the good move
	beforeStop    = 2 * time.Second // after the kill
	movePoll      = 50 * time.Millisecond
	rollbackLimit = time.Second     // after the decision the bad version gets nothing more
	afterRollback = 3 * time.Second // time in which calls are watched after that
	trafficWindow = 1500 * time.Millisecond
	upstreamTime  = 3 * time.Millisecond // run time of the simulated upstreams
	badErrorRate  = "/fares=0.5"
)

// scenario is the main job, step by step.
func (d *demo) scenario(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.startControls, d.startNodes, d.apply, d.measureConvergence, d.measureQuiet, d.moves, d.countExecutions,
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

func (d *demo) run(name, program string, args ...string) error {
	c, err := d.processes.run(name, program, args...)
	if err != nil {
		return err
	}
	d.running[name] = c
	return nil
}

func (d *demo) startControls(ctx context.Context) error {
	for _, c := range d.layout.controls {
		if err := d.run("control-"+c.id, "rattanfield-control", "--settings", c.file); err != nil {
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
	d.say("%d control hosts are ready", len(d.layout.controls))
	return nil
}

func (d *demo) startNodes(ctx context.Context) error {
	for _, n := range d.layout.nodes {
		if err := d.run("node-"+n.id, "rattanfield-node", "--settings", n.file); err != nil {
			return err
		}
		args := []string{
			"--listen", n.upstream(), "--node", n.admin(), "--service", n.service, "--label", n.version,
			"--latency", upstreamTime.String(),
		}
		if n.version == versionBad {
			args = append(args, "--error-rate", badErrorRate)
		}
		if err := d.run("upstream-"+n.id, "rattanfield-upstream", args...); err != nil {
			return err
		}
	}
	// A ledger group may grant claims at once when its members run before it is named.
	if err := d.awaitNodes(ctx); err != nil {
		return err
	}
	d.say("%d nodes and %d upstreams are started", len(d.layout.nodes), len(d.layout.nodes))
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

// apply submits the first configuration with the operator program and waits for all nodes.
func (d *demo) apply(ctx context.Context) error {
	r, err := d.operator.query(ctx, pb.Subject_SUBJECT_CONFIGURATION)
	if err != nil {
		return err
	}
	out, err := d.operator.statement(ctx, d.processes,
		fmt.Sprintf("apply %s expect %d", d.layout.configuration, r.GetConfiguration().GetRevision()))
	if err != nil {
		return err
	}
	d.say("apply: %s", firstLine(out))
	if r, err = d.operator.query(ctx, pb.Subject_SUBJECT_CONFIGURATION); err != nil {
		return err
	}
	if _, err := d.awaitRevision(ctx, r.GetConfiguration().GetRevision(), time.Now()); err != nil {
		return err
	}
	return d.awaitNodes(ctx)
}

// measureQuiet takes added latency and control traffic while nothing changes.
func (d *demo) measureQuiet(ctx context.Context) error {
	d.say("%d changes are in force everywhere", convergenceChanges)
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
	d.steady(ctx)
	return d.busy.end(ctx, d)
}

// moves runs the good move of bookings; while it runs, the leader is killed, a
// node is stopped, and tills begins its move to the bad version.
func (d *demo) moves(ctx context.Context) error {
	stop := d.background(ctx)
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
	err := d.disturb(ctx)
	if err == nil {
		err = d.badMove(ctx)
	}
	if err != nil {
		cancel() // the result of the good move matters no more
	}
	return errors.Join(err, <-good)
}

func (d *demo) disturb(ctx context.Context) error {
	if !lifecycle.Pause(ctx, beforeKill) {
		return ctx.Err()
	}
	killed := d.leader(ctx)
	d.running["control-"+killed.id].kill()
	d.say("control host %s (leader) was killed", killed.id)
	if !lifecycle.Pause(ctx, beforeStop) {
		return ctx.Err()
	}
	if err := d.stopNode(); err != nil {
		return err
	}
	return d.restartControl(ctx, killed)
}

// stopNode stops a node whose upstream and whose entry get calls.
func (d *demo) stopNode() error {
	for _, n := range d.layout.nodes {
		if n.service == serviceTills && n.domain == domains[len(domains)-1].name {
			d.stopped = d.running["node-"+n.id].stop()
			d.say("node %s was stopped under load: %s", n.id, okOr(d.stopped))
			return nil
		}
	}
	return fmt.Errorf("no node to stop")
}

func (d *demo) restartControl(ctx context.Context, c control) error {
	if err := d.run("control-"+c.id, "rattanfield-control", "--settings", c.file); err != nil {
		return err
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.admin.waitReady(ctx, c.admin()); err != nil {
		return err
	}
	d.rejoined = time.Since(began)
	d.say("control host %s is back after %s", c.id, d.rejoined.Round(time.Millisecond))
	return nil
}

// badMove counts what the bad version ran until 1 s after the decision, and later.
func (d *demo) badMove(ctx context.Context) error {
	_, before := d.versions.of(versionBad)
	if err := d.startMove(ctx, serviceTills, versionBad, badDeadline); err != nil {
		return err
	}
	m, err := d.awaitMove(ctx, serviceTills, versionBad, badDeadline)
	d.bad = m
	if err != nil {
		return err
	}
	_, after := d.versions.of(versionBad)
	d.badLoad = after - before
	if !lifecycle.Pause(ctx, time.Until(time.UnixMilli(m.GetChangedUnixMs()).Add(rollbackLimit))) {
		return ctx.Err()
	}
	if d.badCalls, err = d.executed(ctx, versionBad); err != nil {
		return err
	}
	if !lifecycle.Pause(ctx, afterRollback) {
		return ctx.Err()
	}
	late, err := d.executed(ctx, versionBad)
	d.badLate = late - d.badCalls
	return err
}

func (d *demo) startMove(ctx context.Context, service, to string, deadline time.Duration) error {
	out, err := d.operator.statement(ctx, d.processes, fmt.Sprintf("start move %s from %s to %s by %s", service, versionOld, to, deadline))
	if err != nil {
		return err
	}
	d.say("start move of %s to %s: %s", service, to, firstLine(out))
	return nil
}

// awaitMove waits until a move has ended and says each change of its shares.
func (d *demo) awaitMove(ctx context.Context, service, version string, deadline time.Duration) (*pb.Move, error) {
	whole := ctx
	ctx, cancel := context.WithTimeout(ctx, deadline+moveGrace)
	defer cancel()
	var last *pb.Move
	for {
		m, err := d.operator.move(ctx, service, version)
		if err == nil && (last == nil || m.GetStep() != last.GetStep()) {
			d.say("move of %s to %s: %s, %s: %s", service, version, phase(m), shares(m), m.GetReason())
		}
		if err == nil {
			last = m
		}
		switch last.GetPhase() {
		case pb.MovePhase_MOVE_PHASE_DONE, pb.MovePhase_MOVE_PHASE_ROLLED_BACK, pb.MovePhase_MOVE_PHASE_STOPPED:
			return last, nil
		}
		if !lifecycle.Pause(ctx, movePoll) {
			if whole.Err() != nil {
				return last, whole.Err()
			}
			return last, fmt.Errorf("the move to %s did not end %s after its deadline; phase %s, %s", version, moveGrace, phase(last), last.GetReason())
		}
	}
}

// leader returns the control host that leads, or the first one when none is known.
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

func phase(m *pb.Move) string {
	return strings.ToLower(strings.TrimPrefix(m.GetPhase().String(), "MOVE_PHASE_"))
}

func shares(m *pb.Move) string {
	parts := make([]string, 0, len(m.GetDomains()))
	for _, s := range m.GetDomains() {
		parts = append(parts, fmt.Sprintf("%s %.1f%%", s.GetFailureDomain(), float64(s.GetNewPermille())/10))
	}
	return strings.Join(parts, ", ")
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(text), "\n")
	return line
}

func okOr(err error) string {
	if err != nil {
		return err.Error()
	}
	return "ended cleanly"
}

// Programs lists what the demo needs in its folder of programs.
var Programs = []string{"rattanfield-control", "rattanfield-node", "rattanfield-upstream", "rattanfield"}

// CheckPrograms reports the first program that is missing.
func CheckPrograms(bin string) error {
	for _, p := range Programs {
		if _, err := os.Stat(filepath.Join(bin, p)); err != nil {
			return fmt.Errorf("%w; build the programs first with: make build", err)
		}
	}
	return nil
}
