package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattanfield/rattanfield/platform/platformtest"
)

// process is a node or a control host that the soak runs and restarts.
type process struct {
	binary, role, dir string
	host              platformtest.Host
	log               *os.File
	delays            *timerDelays

	mu         sync.Mutex
	command    *exec.Cmd
	ended      chan struct{}
	terminated time.Time // when the first SIGTERM was sent to the process that runs; zero: none
	overdue    bool      // the process was killed at the end of the grace time
	killed     bool      // kill was called for the process that runs
	closed     bool      // the run has ended
	selfEnds   []string  // ends of processes that were neither stopped nor killed
	// restarted is told when the process ended by itself and when it was started again; nil: nobody.
	restarted func(ended, started time.Time)

	delaysBefore time.Duration // sum of the delays when it was sent
}

func newProcess(binary, role, dir string, h platformtest.Host, d *timerDelays) (*process, error) {
	dir = filepath.Join(dir, h.IP)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, eris.Wrap(err, "create the directory of a process")
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, eris.Wrap(err, "create the log of a process")
	}
	if role == "control" {
		h.DataDir = filepath.Join(dir, "data")
		// The data of an earlier run that violated a guarantee would contradict the checks.
		if err := os.RemoveAll(h.DataDir); err != nil {
			return nil, eris.Wrap(err, "delete the data of an earlier run")
		}
	}
	return &process{binary: binary, role: role, dir: dir, host: h, log: log, delays: d}, nil
}

// start writes the settings and starts the process. It does nothing while the
// process runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil || p.closed {
		return nil
	}
	settings := filepath.Join(p.dir, "settings.toml")
	if err := os.WriteFile(settings, p.host.Settings(), 0o600); err != nil {
		return eris.Wrap(err, "write the settings of a process")
	}
	c := exec.Command(p.binary, p.role)
	c.Env = append(os.Environ(), platformtest.SettingsVariable+"="+settings)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return eris.Wrap(err, "start a process")
	}
	ended := make(chan struct{})
	p.command, p.ended, p.terminated, p.overdue, p.killed = c, ended, time.Time{}, false, false
	started := time.Now()
	go func() {
		_ = c.Wait() // the log and the checks show a failure
		p.mu.Lock()
		p.command = nil
		again := p.terminated.IsZero() && !p.killed && !p.closed
		if again && !endedByEarlyReload(c.ProcessState, time.Since(started)) {
			p.selfEnds = append(p.selfEnds, fmt.Sprintf("%s %s ended by itself at %s after %v: %v",
				p.role, p.host.IP, time.Now().Format(time.StampMilli), time.Since(started).Round(time.Millisecond), c.ProcessState))
		}
		p.mu.Unlock()
		close(ended)
		if again {
			ended := time.Now()
			time.Sleep(restartDelay)
			_ = p.start() // an error repeats as a node that does not serve
			if p.restarted != nil {
				p.restarted(ended, time.Now())
			}
		}
	}()
	return nil
}

const (
	// restartDelay is the time after which the platform starts a process again that ended by itself.
	restartDelay = 500 * time.Millisecond
	// handlerDelay is the time from the start of a process until it handles signals, on a busy machine. A reload that
	// comes earlier ends it.
	handlerDelay = 500 * time.Millisecond
)

func endedByEarlyReload(s *os.ProcessState, age time.Duration) bool {
	status, ok := s.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGHUP && age < handlerDelay
}

// signal sends a signal to the process if it runs; after its end its process id may
// belong to another process, so nothing is signalled then. The returned channel is closed
// when the process has ended, or already closed when it does not run.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	_ = p.command.Process.Signal(s)
	return p.ended
}

// stop ends the process as the platform does: with SIGTERM, and with SIGKILL if it still runs at
// the end of the grace time, which begins with the first SIGTERM. The returned signalled is the
// time of that SIGTERM, or zero if the process did not run. Of concurrent calls, one returns
// killed for a process that had to be killed.
func (p *process) stop() (signalled time.Time, killed bool) {
	p.mu.Lock()
	if p.command == nil {
		p.mu.Unlock()
		return time.Time{}, false
	}
	if p.terminated.IsZero() {
		p.terminated, p.delaysBefore = time.Now(), p.delays.sum()
	}
	signalled, ended := p.terminated, p.ended
	_ = p.command.Process.Signal(syscall.SIGTERM)
	left := p.graceLeft(time.Now())
	p.mu.Unlock()
	for left > 0 {
		select {
		case <-ended:
			return signalled, false
		case <-time.After(left):
		}
		p.mu.Lock()
		if left = p.graceLeft(time.Now()); left <= 0 && p.command != nil && p.ended == ended && !p.overdue {
			p.overdue, killed = true, true
			_ = p.command.Process.Signal(syscall.SIGKILL)
		}
		p.mu.Unlock()
	}
	<-ended
	return signalled, killed
}

// graceLeft returns the time until a process that received SIGTERM is killed. The grace time is extended by
// the delays of timers since then, at most to twice its length. The caller holds mu.
func (p *process) graceLeft(now time.Time) time.Duration {
	return p.terminated.Add(platformtest.Grace + min(p.delays.sum()-p.delaysBefore, platformtest.Grace)).Sub(now)
}

// timerDelays measures how late the timers of the soak are. On a machine that runs much else, processes
// get no processor for hundreds of milliseconds, which is no fault of theirs: at a load of 30 to 50
// on 8 processors, 3 of 8 runs that lost no request had a process killed after 6 s, beside delays of
// 460 to 670 ms.
type timerDelays struct {
	total, longest atomic.Int64 // in nanoseconds

	mu      sync.Mutex
	history []timerDelay
}

// timerDelay is the delay of a timer that ran out at a time.
type timerDelay struct {
	at    time.Time
	delay time.Duration
}

const (
	timerInterval = 10 * time.Millisecond
	minTimerDelay = 5 * time.Millisecond // shorter delays are usual on an idle machine
	// minStall is the least delay that extends the bounds of nodes in touch. Shorter ones add up to seconds on a busy machine
	// and would hide violations: a node applies a plan or an evacuation within a small part of its bound.
	minStall = 100 * time.Millisecond
)

// run measures until the context ends.
func (d *timerDelays) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(timerInterval)
		d.add(time.Since(began) - timerInterval)
	}
}

// add counts one delay. It is not called concurrently.
func (d *timerDelays) add(delay time.Duration) {
	if delay >= minTimerDelay {
		d.total.Add(int64(delay))
		d.longest.Store(max(d.longest.Load(), int64(delay)))
		d.mu.Lock()
		d.history = append(d.history, timerDelay{at: time.Now(), delay: delay})
		d.mu.Unlock()
	}
}

// stalls returns the sum of the delays of at least minStall of timers that ran out between two times.
func (d *timerDelays) stalls(from, to time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := time.Duration(0)
	for _, h := range d.history {
		if h.delay >= minStall && h.at.After(from) && !h.at.After(to) {
			sum += h.delay
		}
	}
	return sum
}

func (d *timerDelays) sum() time.Duration { return time.Duration(d.total.Load()) }

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	<-p.signal(syscall.SIGKILL)
}

// startAgain starts a process that has ended again after the time down. With wipe it deletes the
// data directory before the start.
func (p *process) startAgain(down time.Duration, wipe bool) error {
	if wipe {
		if err := os.RemoveAll(p.host.DataDir); err != nil {
			return eris.Wrap(err, "delete the data directory")
		}
	}
	time.Sleep(down)
	p.mu.Lock()
	p.host.FirstStart = false
	p.mu.Unlock()
	return p.start()
}

// close kills the process and closes its log.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.kill()
	_ = p.log.Close()
}
