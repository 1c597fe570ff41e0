package main

import (
	"os"
	"os/exec"
	"syscall"
)

// process is a process of the project.
type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

func startProcess(program, role, settings, log string) (*process, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire.SettingsVariable + "=" + settings}
	cmd.Stdout, cmd.Stderr = f, f
	if err := cmd.Start(); err != nil {
		_ = f.Close()
		return nil, err
	}
	p := &process{cmd: cmd, log: f, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		_ = cmd.Wait()
		_ = f.Close()
	}()
	return p, nil
}

func (p *process) id() int { return p.cmd.Process.Pid }

func (p *process) signal(n syscall.Signal) error { return p.cmd.Process.Signal(n) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
