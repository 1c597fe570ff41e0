package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
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

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

func newProcess(binary, role, dir string, h platformtest.Host) (*process, error) {
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
	}
	return &process{binary: binary, role: role, dir: dir, host: h, log: log}, nil
}

// start writes the settings and starts the process. It does nothing while the
// process runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
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
	p.command, p.ended = c, ended
	go func() {
		_ = c.Wait() // the log and the checks show a failure
		p.mu.Lock()
		p.command = nil
		p.mu.Unlock()
		close(ended)
	}()
	return nil
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

// restart ends the process with a signal, waits for the time down and starts it
// again. With wipe it deletes the data directory before the start.
func (p *process) restart(s syscall.Signal, down time.Duration, wipe bool) error {
	<-p.signal(s)
	if wipe {
		if err := os.RemoveAll(p.host.DataDir); err != nil {
			return eris.Wrap(err, "delete the data directory")
		}
	}
	time.Sleep(down)
	p.host.FirstStart = false
	return p.start()
}

// close kills the process and closes its log.
func (p *process) close() {
	<-p.signal(syscall.SIGKILL)
	_ = p.log.Close()
}
