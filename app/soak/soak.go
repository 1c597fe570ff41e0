package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// Options configure a run.
type Options struct {
	Binary   string // path of rattanfield-platform
	Dir      string // for settings, data and logs; it is removed when no guarantee was violated
	Seed     uint64
	Length   time.Duration // time in which faults begin
	Nodes    int
	Controls int
	// Subnet is the second byte of the loopback addresses; concurrent runs need different
	// values.
	Subnet int
	// StopsOnly selects StopSchedule, which disturbs nothing, instead of Schedule.
	StopsOnly bool
	// Events replace the schedule of the seed if there are any.
	Events []Event
	Out    io.Writer
}

// Result is the result of a run.
type Result struct {
	Violations         []string // violated guarantees; empty when the run passed
	Requests, Answered int      // requests that clients sent, and those with status 200
	NewestPlan         uint64   // highest number of an acknowledged plan
	Stops              StopCounts
}

const (
	// settleTime bounds the wait until every node serves, before and after the faults. It is
	// many times what the system needs, so that a busy machine does not fail the run.
	settleTime     = 60 * time.Second
	clientsPerNode = 3
	clientInterval = 15 * time.Millisecond
	clientTimeout  = 1500 * time.Millisecond
	planInterval   = 300 * time.Millisecond
)

// run is the state of a run.
type run struct {
	options    Options
	controls   []*process
	nodes      []*process
	upstreams  []*upstream
	entryLinks []*link // from callers to the entry of each node
	checks     *checks
	losses     *losses
	crashes    *crashes
	ready      *readiness
	delays     timerDelays
	faults     sync.WaitGroup
}

// Run starts the system, runs the schedule of a seed under load and returns the
// observations. The error tells why a run could not be carried out; violated
// guarantees are no error.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{options: o, checks: newChecks(), losses: newLosses(), crashes: &crashes{at: make(map[string][]time.Time)}}
	defer r.close()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() { r.replacePlans(ctx) })
	if !r.awaitServing(ctx) {
		return Result{}, eris.New("a node does not serve before the first fault")
	}
	for i := range o.Nodes * clientsPerNode {
		clients.Go(func() { r.client(ctx, i) })
	}
	r.ready = newReadiness(r.nodes)
	clients.Go(func() { r.ready.run(ctx) })
	clients.Go(func() { r.delays.run(ctx) })
	for i := range o.Nodes * callersPerNode {
		c := newCaller(r, i)
		clients.Go(func() { c.run(ctx) })
	}
	if err := r.runSchedule(ctx); err != nil {
		return Result{}, err
	}
	if !r.awaitServing(ctx) {
		r.checks.mu.Lock()
		r.checks.addViolation("a node does not serve %v after the last fault", settleTime)
		r.checks.mu.Unlock()
	}
	cancel()
	clients.Wait()
	r.readBack()
	lost, stops := r.losses.judge()
	stops.Delay = time.Duration(r.delays.longest.Load())
	r.checks.addViolations(lost)
	r.checks.addViolations(r.crashes.violations())
	for _, p := range append(append([]*process{}, r.nodes...), r.controls...) {
		p.mu.Lock()
		r.checks.addViolations(p.selfEnds)
		p.mu.Unlock()
	}
	requests, answered := r.checks.counts()
	return Result{
		Violations: r.checks.allViolations(), Requests: requests, Answered: answered, NewestPlan: r.checks.newestAcknowledged(), Stops: stops,
	}, nil
}

func (r *run) ip(region, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.options.Subnet, region, n)
}

// start starts all processes, upstreams and links.
func (r *run) start() error {
	o := r.options
	var seeds []string
	for i := range min(3, o.Controls) {
		seeds = append(seeds, r.ip(1, i+1))
	}
	for i := range o.Controls {
		h := platformtest.Host{IP: r.ip(1, i+1), FailureDomain: fmt.Sprint("d", i%2), Region: "r", FirstStart: true, Seeds: seeds}
		p, err := newProcess(o.Binary, "control", o.Dir, h, &r.delays)
		if err != nil {
			return err
		}
		r.controls = append(r.controls, p)
	}
	for i := range o.Nodes {
		ip := r.ip(2, i+1)
		h := platformtest.Host{IP: ip, FailureDomain: fmt.Sprint("d", i%2), Region: "r", Service: service, Seeds: seeds}
		p, err := newProcess(o.Binary, "node", o.Dir, h, &r.delays)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, p)
		k, err := startLink(net.JoinHostPort(ip, "0"), platformtest.EntryAddress(ip))
		if err != nil {
			return err
		}
		r.entryLinks = append(r.entryLinks, k)
		u, err := startUpstream(ip, h.FailureDomain, o.Seed, func(id string, work time.Duration) {
			now := time.Now()
			r.losses.recordExecution(id, execution{node: i, began: now, until: now.Add(work)})
			r.checks.recordRun(id)
		}, func(path string) func() { return r.upstreamCrashed(i, path) })
		if err != nil {
			return err
		}
		r.upstreams = append(r.upstreams, u)
	}
	for _, p := range append(append([]*process{}, r.controls...), r.nodes...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// upstreamCrashed records the end of an upstream by a request. It returns the function to call once the upstream is back.
func (r *run) upstreamCrashed(node int, path string) (restarted func()) {
	from := time.Now()
	r.crashes.record(path)
	record := func() { r.losses.recordDisturbance(node, Crash, from) }
	record() // the run may end before the upstream is back
	return record
}

// awaitServing waits until each node is ready and answers a request. It reports false when
// that takes longer than settleTime.
func (r *run) awaitServing(ctx context.Context) bool {
	end := time.Now().Add(settleTime)
	for i, p := range r.nodes {
		c := platformtest.NewClient(platformtest.EntryAddress(p.host.IP))
		for n := 0; ; n++ {
			if time.Now().After(end) || ctx.Err() != nil {
				return false
			}
			id := fmt.Sprintf("r-check-%d-%d-%d", time.Now().UnixNano(), i, n)
			if platformtest.Ready(p.host.IP) && platformtest.SendRequest(c, platformtest.ReadPath+id, id, clientTimeout).Status == 200 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

// client sends requests until the context ends and reuses its connection. Half of the
// requests may run at most once.
func (r *run) client(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(n)))
	c := platformtest.NewClient(r.entryLinks[n%len(r.nodes)].address())
	for i := 0; ctx.Err() == nil; i++ {
		id, path := fmt.Sprintf("r-%d-%d", n, i), platformtest.ReadPath
		if random.IntN(2) == 0 {
			id, path = fmt.Sprintf("%s%d-%d", writePrefix, n, i), platformtest.WritePath
		}
		r.checks.recordAnswer(id, platformtest.SendRequest(c, path+id, id, clientTimeout))
		time.Sleep(clientInterval)
	}
}

// replacePlans replaces the plan until the context ends. It resends a plan without a clear
// answer to a randomly chosen control host, and reads the plan back from another.
func (r *run) replacePlans(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<40))
	base, number := uint64(0), uint64(1)
	for ctx.Err() == nil {
		plan := platformtest.Plan(number, base, service, int(number%5))
		status := 0
		for status == 0 && ctx.Err() == nil {
			status = platformtest.ReplacePlan(r.controls[random.IntN(len(r.controls))].host.IP, plan)
		}
		switch status {
		case 200:
			r.checks.recordAcknowledged(number)
			base = number
		case 0:
		default:
			r.checks.mu.Lock()
			r.checks.addViolation("plan %d based on plan %d was rejected with status %d", number, base, status)
			r.checks.mu.Unlock()
			return
		}
		number += uint64(1 + random.IntN(3))
		ip := r.controls[random.IntN(len(r.controls))].host.IP
		before := r.checks.newestAcknowledged()
		if got := platformtest.ReadPlan(ip); got > 0 {
			r.checks.checkRead(ip, got, before)
		}
		time.Sleep(planInterval)
	}
}

// readBack waits for an answer of any control host and checks that its plan is not
// older than the newest acknowledged one.
func (r *run) readBack() {
	before := r.checks.newestAcknowledged()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range r.controls {
			if got := platformtest.ReadPlan(p.host.IP); got > 0 {
				r.checks.checkRead(p.host.IP, got, before)
				return
			}
		}
	}
	r.checks.mu.Lock()
	defer r.checks.mu.Unlock()
	r.checks.addViolation("no control host answers a read of plan %d", before)
}

// events returns the schedule of the run.
func (r *run) events() []Event {
	o := r.options
	switch {
	case len(o.Events) > 0:
		return o.Events
	case o.StopsOnly:
		return StopSchedule(o.Seed, o.Length, o.Nodes)
	}
	return Schedule(o.Seed, o.Length, o.Nodes, o.Controls)
}

// runSchedule runs the schedule and waits for the end of all faults, which may overlap. It
// returns the first error of a fault that could not be carried out.
func (r *run) runSchedule(ctx context.Context) error {
	started := time.Now()
	failed := make(chan error, 1)
	for _, e := range r.events() {
		select {
		case <-time.After(time.Until(started.Add(e.At))):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		_, _ = fmt.Fprintln(r.options.Out, "  ", e)
		r.faults.Go(func() {
			if err := r.inject(e); err != nil {
				select {
				case failed <- err:
				default:
				}
			}
		})
	}
	r.faults.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// inject carries out one event and waits until it ends.
func (r *run) inject(e Event) error {
	p := r.nodes[e.Target]
	if e.Control {
		p = r.controls[e.Target]
	} else if e.isDisturbance() {
		defer func(from time.Time) { r.losses.recordDisturbance(e.Target, e.Kind, from) }(time.Now())
	}
	switch e.Kind {
	case Kill, Wipe:
		p.kill()
		return p.startAgain(e.Length, e.Kind == Wipe)
	case Stop:
		if e.Control {
			return r.stopControl(p, e.Length)
		}
		return r.stopNodes(e, []int{e.Target})
	case StopDomain, StopSite:
		var targets []int
		for i, n := range r.nodes {
			if e.Kind == StopSite || n.host.FailureDomain == p.host.FailureDomain {
				targets = append(targets, i)
			}
		}
		return r.stopNodes(e, targets)
	case Pause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(e.Length)
		p.signal(syscall.SIGCONT)
	case Reload:
		p.signal(syscall.SIGHUP)
	case KillAllControls:
		return forAll(len(r.controls), func(i int) error {
			r.controls[i].kill()
			return r.controls[i].startAgain(e.Length, false)
		})
	case Replace:
		r.upstreams[e.Target].replace(e.Length > time.Second)
	case Leave:
		r.upstreams[e.Target].leave()
	case Crash:
		r.sendCrashing(e)
	default:
		r.disturbLink(e)
	}
	return nil
}

// forAll calls f concurrently with 0 to n-1 and returns an error of any call.
func forAll(n int, f func(i int) error) error {
	errs := make(chan error, n)
	for i := range n {
		go func() { errs <- f(i) }()
	}
	var first error
	for range n {
		first = cmp.Or(first, <-errs)
	}
	return first
}

// stopNodes stops nodes within e.Spread and starts each again e.Length after its end. With e.Again
// each is then stopped and started once more.
func (r *run) stopNodes(e Event, targets []int) error {
	return forAll(len(targets), func(i int) error {
		time.Sleep(e.Spread * time.Duration(i) / time.Duration(len(targets)))
		node := targets[i]
		for again := e.Again; ; again = false {
			if signalled, killed := r.nodes[node].stop(); !signalled.IsZero() {
				r.losses.recordStop(node, signalled, killed)
			}
			if err := r.nodes[node].startAgain(e.Length, false); err != nil || !again {
				return err
			}
			time.Sleep(e.Length)
		}
	})
}

// stopControl stops a control host and starts it again. No other fault disturbs it meanwhile.
func (r *run) stopControl(p *process, down time.Duration) error {
	if _, killed := p.stop(); killed {
		r.checks.addViolations([]string{fmt.Sprintf("control host %s had to be killed %v after SIGTERM", p.host.IP, platformtest.Grace)})
	}
	return p.startAgain(down, false)
}

// disturbLink carries out a connection fault on the link from callers to a node, or from
// the node to its upstream.
func (r *run) disturbLink(e Event) {
	k := r.upstreams[e.Target].link
	if e.Callers {
		k = r.entryLinks[e.Target]
	}
	switch e.Kind {
	case SlowLink:
		k.slow(e.Length)
	case HoldAnswers:
		k.holdAnswers(e.Length)
	case Silence:
		k.silence()
	case Reset:
		k.reset()
	}
}

func (r *run) close() {
	for _, p := range append(append([]*process{}, r.nodes...), r.controls...) {
		p.close()
	}
	for _, u := range r.upstreams {
		u.close()
	}
	for _, k := range r.entryLinks {
		k.close()
	}
	if len(r.checks.allViolations()) == 0 {
		_ = os.RemoveAll(r.options.Dir) // the logs are needed only after a violation
	}
}
