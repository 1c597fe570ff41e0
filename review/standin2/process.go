package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// platformProgram is the program of the deploy file.
const platformProgram = "target/rattanfield-platform"

// process is a process of the system on a host of its own. The stand-in of the platform starts it again when it ends.
type process struct {
	c        *caseRun
	name     string
	role     string // argument of platformProgram
	settings string // path of its settings file

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// startProcess starts a process for the first time.
func (c *caseRun) startProcess(name, role, settings string) (*process, error) {
	p := &process{c: c, name: name, role: role, settings: filepath.Join(c.temp, name+".toml")}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, p.start()
}

// start starts the process, for the first time or again.
func (p *process) start() error {
	out, err := os.OpenFile(filepath.Join(p.c.temp, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command(platformProgram, p.role)
	command.Env = append(os.Environ(), wire.SettingsVariable+"="+p.settings)
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.ended = command, ended
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// residentBytes returns the memory that the process uses.
func (p *process) residentBytes() int64 {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// clearFirstStart lets the settings of a process state that the system has started before.
func (p *process) clearFirstStart() error {
	b, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, []byte(strings.Replace(string(b), "bootstrap = true", "bootstrap = false", 1)), 0o600)
}
