package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
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
	Coverage           Coverage
	Settled            time.Duration // from the last fault until every node served and every upstream ran requests again
}

// Coverage tells how much the checks of organisations, quotas, evacuations and cold upstreams had to judge.
type Coverage struct {
	Denied, Withdrawn int           // requests without a key of a plan, and with a withdrawn key at nodes that must know it
	MostOfQuota       int           // most requests of the organisation with a quota in a window
	Evacuations       int           // evacuations that were ordered
	Evacuated         time.Duration // time after the bound in which a failure domain was evacuated and one of its nodes in touch
	ColdPhases        int           // times in which an upstream was cold
	MostCold          int           // most requests that a cold upstream got in a second
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

// failureDomains are those of the hosts.
var failureDomains = []string{"d0", "d1"}

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
	clock      clock

	observations *observations
	touch        *touch
	keys         *keyring
	evacuations  evacuations
	coldPhases   coldPhases
}

// newRun returns the state of a run that has not begun.
func newRun(o Options) *run {
	r := &run{
		options: o, checks: newChecks(), losses: newLosses(), crashes: &crashes{at: make(map[string][]time.Time)},
		observations: &observations{}, keys: newKeyring(o.Seed),
	}
	r.touch = &touch{controls: o.Controls, delays: r.delays.stalls}
	return r
}

// Run starts the system, runs the schedule of a seed under load and returns the
// observations. The error tells why a run could not be carried out; violated
// guarantees are no error.
func Run(ctx context.Context, o Options) (Result, error) {
	r := newRun(o)
	defer r.close()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() { r.replacePlans(ctx) })
	if node, ok := r.awaitServing(ctx); !ok {
		return Result{}, eris.Errorf("node %d does not serve before the first fault", node)
	}
	r.startClients(ctx, &clients)
	if err := r.runSchedule(ctx); err != nil {
		return Result{}, err
	}
	ended := time.Now()
	r.settle(ctx, ended)
	settled := time.Since(ended)
	cancel()
	clients.Wait()
	r.readBack()
	result := r.judge()
	result.Settled = settled
	return result, nil
}

// startClients starts all clients and what is measured beside them.
func (r *run) startClients(ctx context.Context, clients *sync.WaitGroup) {
	for i := range len(r.nodes) * clientsPerNode {
		clients.Go(func() { r.client(ctx, i) })
	}
	r.ready = newReadiness(r.nodes)
	clients.Go(func() { r.ready.run(ctx) })
	clients.Go(func() { r.delays.run(ctx) })
	for i := range len(r.nodes) * callersPerNode {
		c := newCaller(r, i)
		clients.Go(func() { c.run(ctx) })
	}
	for i := range len(r.nodes) * keyClientsPerNode {
		clients.Go(func() { r.keyClient(ctx, i) })
	}
	for i := range quotaClients {
		clients.Go(func() { r.quotaClient(ctx, i) })
	}
}

// settle waits until every node serves after the last fault, which ended at a time, and every upstream runs requests
// again, also those of failure domains that were evacuated. It records a violation if that takes too long.
func (r *run) settle(ctx context.Context, ended time.Time) {
	if node, ok := r.awaitServing(ctx); !ok {
		r.checks.add("node %d does not serve %v after the last fault", node, settleTime)
	}
	for i := range r.nodes {
		for !r.observations.ranSince(i, ended) {
			if time.Since(ended) > 2*settleTime {
				r.checks.add("the upstream of node %d runs no request %v after the last fault", i, 2*settleTime)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// judge checks the observations of a run that has ended.
func (r *run) judge() Result {
	r.losses.clock = r.clock
	lost, stops := r.losses.judge()
	stops.Delay = time.Duration(r.delays.longest.Load())
	sendings, arrivals := r.observations.all()
	domains := make([]string, len(r.nodes))
	for i, n := range r.nodes {
		domains[i] = n.host.FailureDomain
	}
	list, phases := r.evacuations.all(), r.coldPhases.all()
	n := Coverage{Evacuations: len(list), ColdPhases: len(phases)}
	var keys, quota, cold []string
	keys, n.Denied, n.Withdrawn = keyCheck{clock: r.clock, touch: r.touch, keys: r.keys.all()}.violations(sendings, arrivals)
	quota, n.MostOfQuota = quotaViolations(r.clock, arrivals)
	cold, n.MostCold = coldViolations(r.clock, phases, arrivals)
	check := evacuationCheck{clock: r.clock, touch: r.touch, domains: domains}
	evacuated := check.violations(list, sendings, arrivals)
	n.Evacuated = check.judgedTime(list)
	for _, violations := range [][]string{lost, r.crashes.violations(r.clock, arrivals), keys, quota, evacuated, cold} {
		r.checks.addViolations(violations)
	}
	r.checks.addViolations(r.keysInLogs())
	for _, p := range append(append([]*process{}, r.nodes...), r.controls...) {
		p.mu.Lock()
		r.checks.addViolations(p.selfEnds)
		p.mu.Unlock()
	}
	requests, answered := r.checks.counts()
	return Result{
		Violations: r.withSeed(r.checks.allViolations()), Requests: requests, Answered: answered, NewestPlan: r.checks.newestAcknowledged(),
		Stops: stops, Coverage: n,
	}
}

// withSeed returns violations with the seed of the run.
func (r *run) withSeed(violations []string) []string {
	var out []string
	for _, v := range violations {
		out = append(out, fmt.Sprintf("seed %d: %s", r.options.Seed, v))
	}
	return out
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
		h := platformtest.Host{
			IP: r.ip(1, i+1), FailureDomain: fmt.Sprint("d", i%2), Region: "r", FirstStart: true, Seeds: seeds, FailureDomains: failureDomains,
		}
		p, err := newProcess(o.Binary, "control", o.Dir, h, &r.delays)
		if err != nil {
			return err
		}
		p.restarted = func(ended, started time.Time) { r.touch.record(true, []int{i}, ended, started) }
		r.controls = append(r.controls, p)
	}
	for i := range o.Nodes {
		ip := r.ip(2, i+1)
		h := platformtest.Host{IP: ip, FailureDomain: fmt.Sprint("d", i%2), Region: "r", Service: service, Seeds: seeds, FailureDomains: failureDomains}
		p, err := newProcess(o.Binary, "node", o.Dir, h, &r.delays)
		if err != nil {
			return err
		}
		p.restarted = func(ended, started time.Time) { r.touch.record(false, []int{i}, ended, started) }
		r.nodes = append(r.nodes, p)
		k, err := startLink(net.JoinHostPort(ip, "0"), platformtest.EntryAddress(ip))
		if err != nil {
			return err
		}
		r.entryLinks = append(r.entryLinks, k)
		u, err := startUpstream(ip, h.FailureDomain, o.Seed, nodeObserver{run: r, node: i})
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
	for i := range r.nodes {
		r.touch.record(false, []int{i}, time.Time{}, time.Now())
	}
	return nil
}

// awaitServing waits until each node is ready and answers a request. It returns false and the first node that does not
// when that takes longer than settleTime.
func (r *run) awaitServing(ctx context.Context) (node int, ok bool) {
	end := time.Now().Add(settleTime)
	for i, p := range r.nodes {
		c := platformtest.NewClient(platformtest.EntryAddress(p.host.IP))
		for n := 0; ; n++ {
			if time.Now().After(end) || ctx.Err() != nil {
				return i, false
			}
			id := fmt.Sprintf("r-check-%d-%d-%d", time.Now().UnixNano(), i, n)
			if platformtest.Ready(p.host.IP) && platformtest.SendRequest(c, platformtest.ReadPath+id, id, clientTimeout).Status == 200 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return 0, true
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
		at := time.Now()
		a := platformtest.SendRequest(c, path+id, id, clientTimeout)
		r.observations.recordSending(sending{id: id, node: n % len(r.nodes), at: at, ended: time.Now(), status: a.Status})
		r.checks.recordAnswer(id, n%len(r.nodes), a)
		time.Sleep(clientInterval)
	}
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
	r.clock = clock{start: started}
	r.checks.setClock(r.clock)
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
