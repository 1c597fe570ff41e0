package soak

import (
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
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/platform/standin"
)

// Options of a run.
type Options struct {
	Binary   string // rattanfield-platform
	Dir      string // for settings, disks and logs; they stay when the run fails
	Seed     uint64
	Length   time.Duration // of the faults
	Nodes    int
	Controls int
	// Net is the second byte of the loopback addresses, so that runs do not meet.
	Net int
	Out io.Writer
}

// Result of a run.
type Result struct {
	Broken          []string
	Asked, Answered int
	Plans           uint64
}

const (
	// settleTime bounds the wait for the whole system to serve, before and after the faults. It is
	// many times what the system needs, so that a busy machine changes no verdict.
	settleTime   = 60 * time.Second
	clientsEach  = 3
	clientPause  = 15 * time.Millisecond
	clientWait   = 1500 * time.Millisecond
	planInterval = 300 * time.Millisecond
)

type run struct {
	options   Options
	controls  []*process
	nodes     []*process
	upstreams []*upstream
	entries   []*link // between callers and each node
	checks    *checks
	faults    sync.WaitGroup
}

// Run plays the schedule of a seed.
func Run(ctx context.Context, o Options) (Result, error) {
	r := &run{options: o, checks: newChecks()}
	defer r.close()
	if err := r.start(); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var clients sync.WaitGroup
	clients.Go(func() { r.operate(ctx) })
	if !r.serves(ctx) {
		return Result{}, eris.New("the system did not serve before the first fault")
	}
	for i := range o.Nodes * clientsEach {
		clients.Go(func() { r.client(ctx, i) })
	}
	if err := r.play(ctx); err != nil {
		return Result{}, err
	}
	if !r.serves(ctx) {
		r.checks.mu.Lock()
		r.checks.fail("not every node serves %v after the last fault", settleTime)
		r.checks.mu.Unlock()
	}
	cancel()
	clients.Wait()
	r.readBack()
	asked, answered := r.checks.counts()
	return Result{Broken: r.checks.problems(), Asked: asked, Answered: answered, Plans: r.checks.newest()}, nil
}

func (r *run) ip(region, n int) string { return fmt.Sprintf("127.%d.%d.%d", r.options.Net, region, n) }

func (r *run) start() error {
	o := r.options
	var seeds []string
	for i := range min(3, o.Controls) {
		seeds = append(seeds, r.ip(1, i+1))
	}
	for i := range o.Controls {
		h := standin.Host{IP: r.ip(1, i+1), FailureDomain: fmt.Sprint("d", i%2), Region: "r", FirstStart: true, Seeds: seeds}
		p, err := newProcess(o.Binary, "control", o.Dir, h)
		if err != nil {
			return err
		}
		r.controls = append(r.controls, p)
	}
	for i := range o.Nodes {
		ip := r.ip(2, i+1)
		h := standin.Host{IP: ip, FailureDomain: fmt.Sprint("d", i%2), Region: "r", Service: service, Seeds: seeds}
		p, err := newProcess(o.Binary, "node", o.Dir, h)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, p)
		k, err := startLink(net.JoinHostPort(ip, "0"), standin.EntryAddress(ip))
		if err != nil {
			return err
		}
		r.entries = append(r.entries, k)
		u, err := startUpstream(ip, h.FailureDomain, r.checks.run)
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

// serves waits until each node is ready and answers a request.
func (r *run) serves(ctx context.Context) bool {
	end := time.Now().Add(settleTime)
	for i, p := range r.nodes {
		c := &fasthttp.HostClient{Addr: standin.EntryAddress(p.host.IP)}
		for n := 0; ; n++ {
			if time.Now().After(end) || ctx.Err() != nil {
				return false
			}
			id := fmt.Sprintf("r-check-%d-%d-%d", time.Now().UnixNano(), i, n)
			if standin.Ready(p.host.IP) && standin.SendRequest(c, "/read/"+id, id, clientWait).Status == 200 {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

// client keeps its connection for many requests, half of which may run once only.
func (r *run) client(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(n)))
	c := &fasthttp.HostClient{Addr: r.entries[n%len(r.nodes)].address(), MaxIdemponentCallAttempts: 1}
	for i := 0; ctx.Err() == nil; i++ {
		id, path := fmt.Sprintf("r-%d-%d", n, i), "/read/"
		if random.IntN(2) == 0 {
			id, path = fmt.Sprintf("%s%d-%d", writePrefix, n, i), "/write/"
		}
		r.checks.answer(id, standin.SendRequest(c, path+id, id, clientWait))
		time.Sleep(clientPause)
	}
}

// operate changes the plan, resends what got no clear answer to other hosts, and reads it back.
func (r *run) operate(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.options.Seed, 1<<40))
	base, number := uint64(0), uint64(1)
	for ctx.Err() == nil {
		plan := standin.Plan(number, base, service, int(number%5))
		status := 0
		for status == 0 && ctx.Err() == nil {
			status = standin.ReplacePlan(r.controls[random.IntN(len(r.controls))].host.IP, plan)
		}
		switch status {
		case 200:
			r.checks.acknowledged(number)
			base = number
		case 0:
		default:
			r.checks.mu.Lock()
			r.checks.fail("plan %d on %d was refused with %d", number, base, status)
			r.checks.mu.Unlock()
			return
		}
		number += uint64(1 + random.IntN(3))
		ip := r.controls[random.IntN(len(r.controls))].host.IP
		before := r.checks.newest()
		if got := standin.ReadPlan(ip); got > 0 {
			r.checks.read(ip, got, before)
		}
		time.Sleep(planInterval)
	}
}

// readBack asks until a control host answers with the newest plan.
func (r *run) readBack() {
	before := r.checks.newest()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range r.controls {
			if got := standin.ReadPlan(p.host.IP); got > 0 {
				r.checks.read(p.host.IP, got, before)
				return
			}
		}
	}
	r.checks.mu.Lock()
	defer r.checks.mu.Unlock()
	r.checks.fail("no control host reads plan %d back", before)
}

// play carries out the schedule; faults overlap.
func (r *run) play(ctx context.Context) error {
	begin := time.Now()
	failed := make(chan error, 1)
	for _, e := range Schedule(r.options.Seed, r.options.Length, r.options.Nodes, r.options.Controls) {
		select {
		case <-time.After(time.Until(begin.Add(e.At))):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		_, _ = fmt.Fprintln(r.options.Out, "  ", e)
		r.faults.Go(func() {
			if err := r.strike(e); err != nil {
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

func (r *run) strike(e Event) error {
	p := r.nodes[e.Target%len(r.nodes)]
	if e.Control {
		p = r.controls[e.Target]
	}
	switch e.Kind {
	case Kill:
		return p.restart(syscall.SIGKILL, e.Length, false)
	case Wipe:
		return p.restart(syscall.SIGKILL, e.Length, true)
	case Stop:
		return p.restart(syscall.SIGTERM, e.Length, false)
	case Pause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(e.Length)
		p.signal(syscall.SIGCONT)
	case Reload:
		p.signal(syscall.SIGHUP)
	case KillControl:
		var group sync.WaitGroup
		errs := make(chan error, len(r.controls))
		for _, c := range r.controls {
			group.Go(func() { errs <- c.restart(syscall.SIGKILL, e.Length, false) })
		}
		group.Wait()
		for range r.controls {
			if err := <-errs; err != nil {
				return err
			}
		}
	case Replace:
		r.upstreams[e.Target].next(e.Length > time.Second)
	case Leave:
		r.upstreams[e.Target].leave()
	default:
		r.disturb(e)
	}
	return nil
}

// disturb connections of callers to a node, or of the node to its upstream.
func (r *run) disturb(e Event) {
	k := r.upstreams[e.Target].link
	if e.Callers {
		k = r.entries[e.Target]
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
	for _, k := range r.entries {
		k.close()
	}
	if len(r.checks.problems()) == 0 {
		_ = os.RemoveAll(r.options.Dir) // logs matter only when something broke
	}
}
