package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// add writes one line: the time since the start in seconds, who saw it, and what.
func (r *recorder) add(who, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f %-9s %s\n", time.Since(r.start).Seconds(), who, what)
}

func (r *recorder) addf(who, format string, args ...any) { r.add(who, fmt.Sprintf(format, args...)) }

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
