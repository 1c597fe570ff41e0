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
	stopTimeout  = 10 * time.Second // of one process after SIGTERM
	logTailBytes = 2000
)

// process is one child of the demo.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{} // closed when the process has ended
	err  error         // valid after done

	mu       sync.Mutex
	expected bool // the demo asked it to end
}

// processes starts and ends the children; every one is ended by its own id.
type processes struct {
	bin, dir string
	start    chan func()

	mu  sync.Mutex
	all []*process
}

// newProcesses starts the goroutine that creates all children. It keeps its
// thread, because the kernel kills a child when the thread that created it ends.
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

// run starts a program.
func (p *processes) run(name, program string, args ...string) (*process, error) {
	path := filepath.Join(p.dir, name+".log")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, settingsMode)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c := &process{name: name, log: path, done: make(chan struct{}), cmd: exec.Command(filepath.Join(p.bin, program), args...)}
	c.cmd.Stdout, c.cmd.Stderr = out, out
	// A group of its own keeps an interrupt at the terminal away from the children, which the demo ends in order.
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

// kill ends the process without notice.
func (c *process) kill() {
	c.expect()
	_ = c.cmd.Process.Kill() // fails only when it has ended already
	<-c.done
}

func (c *process) expect() {
	c.mu.Lock()
	c.expected = true
	c.mu.Unlock()
}

// stop asks the process to end and waits; it is killed when it takes too long.
func (c *process) stop() error {
	c.expect()
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

// unexpected returns the processes that ended although nobody asked them to.
func (p *processes) unexpected() []*process {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*process
	for _, c := range p.all {
		c.mu.Lock()
		if c.ended() && !c.expected {
			found = append(found, c)
		}
		c.mu.Unlock()
	}
	return found
}

// stopAll ends the processes whose names have a prefix, all at once.
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

// killAll ends whatever still runs.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.all {
		if !c.ended() {
			c.kill()
		}
	}
}

// tail returns the last lines of the process's log.
func (c *process) tail() string {
	data, err := os.ReadFile(c.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailBytes):])
}
