package soak

import (
	"cmp"
	"syscall"
	"time"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// inject carries out one event and waits until it ends.
func (r *run) inject(e Event) error {
	p, targets := r.nodes[e.Target], r.targets(e)
	if e.Control {
		p = r.controls[e.Target]
	} else if e.isDisturbance() {
		defer func(from time.Time) { r.losses.recordDisturbance(e.Target, e.Kind, from) }(time.Now())
	}
	if e.stopsProcesses() {
		defer func(from time.Time) { r.touch.record(e.Control, targets, from, time.Now()) }(time.Now())
	}
	switch e.Kind {
	case Kill, Wipe:
		p.kill()
		return p.startAgain(e.Length, e.Kind == Wipe)
	case Stop:
		if e.Control {
			return r.stopControl(p, e.Length)
		}
		return r.stopNodes(e, targets)
	case StopDomain, StopSite:
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
	case Evacuate:
		r.evacuate(e)
	default:
		r.disturbLink(e)
	}
	return nil
}

// targets returns the nodes or control hosts that an event affects.
func (r *run) targets(e Event) []int {
	var out []int
	switch e.Kind {
	case KillAllControls:
		for i := range r.controls {
			out = append(out, i)
		}
	case StopDomain, StopSite:
		for i, n := range r.nodes {
			if e.Kind == StopSite || n.host.FailureDomain == r.nodes[e.Target].host.FailureDomain {
				out = append(out, i)
			}
		}
	default:
		out = []int{e.Target}
	}
	return out
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
		r.checks.add("control host %s had to be killed %v after SIGTERM", p.host.IP, platformtest.Grace)
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
