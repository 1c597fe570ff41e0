package demo

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	stopTimeout  = 10 * time.Second // for one process to end after SIGTERM
	logTailBytes = 2000
)

// process is a child process of the demo.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{} // closed when the process has ended
	err  error         // result of the process; valid after done is closed

	mu            sync.Mutex
	stoppedByDemo bool // the demo stopped or killed it
}

// processes starts and ends the child processes. Each is signalled by its own
// process id.
type processes struct {
	bin, dir string
	start    chan func() // run by the goroutine that creates the child processes

	mu  sync.Mutex
	all []*process
}

// newProcesses starts the goroutine that creates all child processes. The goroutine
// is locked to its thread: with Pdeathsig the kernel kills a child when the thread
// that created it ends.
func newProcesses(bin, dir string) *processes {
	p := &processes{bin: bin, dir: dir, start: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range p.start {
			f()
		}
	}()
	return p
}

// startProcess starts a program whose output goes to NAME.log.
func (p *processes) startProcess(name, program string, args ...string) (*process, error) {
	path := filepath.Join(p.dir, name+".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, settingsMode)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c := &process{name: name, log: path, done: make(chan struct{}), cmd: exec.Command(filepath.Join(p.bin, program), args...)}
	c.cmd.Stdout, c.cmd.Stderr = out, out
	// Setpgid keeps an interrupt at the terminal away from the child processes, so
	// that the demo ends them in order.
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	p.start <- func() { started <- c.cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	go func() {
		c.err = c.cmd.Wait()
		close(c.done)
	}()
	p.mu.Lock()
	p.all = append(p.all, c)
	p.mu.Unlock()
	return c, nil
}

func (c *process) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// kill sends SIGKILL and waits until the process has ended.
func (c *process) kill() {
	c.markStopped()
	_ = c.cmd.Process.Kill() // fails only when the process has already ended
	<-c.done
}

// markStopped records that the demo ends the process.
func (c *process) markStopped() {
	c.mu.Lock()
	c.stoppedByDemo = true
	c.mu.Unlock()
}

// stop sends SIGTERM and waits until the process has ended. It kills the process and
// returns an error when that takes longer than stopTimeout.
func (c *process) stop() error {
	c.markStopped()
	if c.ended() {
		return nil
	}
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.done:
		if c.err != nil {
			return fmt.Errorf("%s: %w after SIGTERM", c.name, c.err)
		}
		return nil
	case <-time.After(stopTimeout):
		c.kill()
		return fmt.Errorf("%s did not end within %s after SIGTERM", c.name, stopTimeout)
	}
}

// unexpected returns the processes that ended without being stopped by the demo.
func (p *processes) unexpected() []*process {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*process
	for _, c := range p.all {
		c.mu.Lock()
		if c.ended() && !c.stoppedByDemo {
			found = append(found, c)
		}
		c.mu.Unlock()
	}
	return found
}

// stopAll stops the processes whose names have a prefix, all at the same time, and
// returns their errors.
func (p *processes) stopAll(prefix string) []error {
	p.mu.Lock()
	all := append([]*process(nil), p.all...)
	p.mu.Unlock()
	errs := make([]error, len(all))
	var wait sync.WaitGroup
	for i, c := range all {
		if strings.HasPrefix(c.name, prefix) && !c.ended() {
			wait.Go(func() { errs[i] = c.stop() })
		}
	}
	wait.Wait()
	var found []error
	for _, err := range errs {
		if err != nil {
			found = append(found, err)
		}
	}
	return found
}

// killAll kills the processes that still run.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.all {
		if !c.ended() {
			c.kill()
		}
	}
}

// tail returns the last logTailBytes of the process's log.
func (c *process) tail() string {
	data, err := os.ReadFile(c.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailBytes):])
}
