package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// caseRun is one run of a case: its record, its temporary folder and the processes that it started.
type caseRun struct {
	trouble bool // whether the disruption is played
	start   time.Time
	temp    string
	subnet  string // first three bytes of the loopback addresses of this run

	mu        sync.Mutex
	file      *os.File
	processes []*process
}

func newCaseRun(folder string) (*caseRun, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	return &caseRun{
		trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), temp: temp, file: f,
		subnet: fmt.Sprintf("127.%d.%d", 64+pid/251%100, 1+pid%251),
	}, nil
}

// record writes a line to record.txt and to the standard output.
func (c *caseRun) record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(c.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(c.file, line)
}

// close ends all processes and removes the temporary folder.
func (c *caseRun) close() {
	c.mu.Lock()
	list := c.processes
	c.mu.Unlock()
	for _, p := range list {
		p.kill()
	}
	_ = os.RemoveAll(c.temp)
	_ = c.file.Close()
}

// ip returns the loopback address of a host.
func (c *caseRun) ip(host int) string { return fmt.Sprintf("%s.%d", c.subnet, host) }

// freePorts returns the first of n consecutive ports that are free on the addresses of some hosts.
func (c *caseRun) freePorts(hosts, n int) (int, error) {
	const first, last, step = 20000, 30000, 32
	for port := first + step*(os.Getpid()%200); port < last+step*200; port += step {
		if c.allFree(hosts, port, n) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports", n)
}

func (c *caseRun) allFree(hosts, port, n int) bool {
	for h := 1; h <= hosts; h++ {
		for p := port; p < port+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", c.ip(h), p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}
