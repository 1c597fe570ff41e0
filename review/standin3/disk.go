package main

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// watchInterval is the interval at which a watched folder is listed.
const watchInterval = 5 * time.Millisecond

// diskWatcher stands in for the disk of a control host. It keeps the files that were removed since anything was last created or
// renamed in the folder, which the program syncs the folder for. After a loss of power such a file may be there again.
type diskWatcher struct {
	dir, shadow string // the data folder, and the folder of links to its files
	stop, done  chan struct{}

	mu      sync.Mutex
	present map[string]uint64 // inodes by name
	removed []string
}

// watchDisk watches the data folder of a control host until it is closed.
func watchDisk(h *host) (*diskWatcher, error) {
	w := &diskWatcher{
		dir: h.dataDir(), shadow: h.dataDir() + "-links", present: make(map[string]uint64), stop: make(chan struct{}), done: make(chan struct{}),
	}
	if err := os.MkdirAll(w.shadow, 0o700); err != nil {
		return nil, err
	}
	go func() {
		defer close(w.done)
		for {
			w.look()
			select {
			case <-w.stop:
				return
			case <-time.After(watchInterval):
			}
		}
	}()
	return w, nil
}

// look lists the folder once.
func (w *diskWatcher) look() {
	entries, err := os.ReadDir(w.dir)
	if err != nil {
		return // not created yet
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := make(map[string]uint64)
	changed := false
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			continue // removed meanwhile
		}
		inode := info.Sys().(*syscall.Stat_t).Ino
		now[e.Name()] = inode
		if w.present[e.Name()] != inode {
			changed = true
			w.link(e.Name())
		}
	}
	if changed {
		w.removed = nil
	}
	for name := range w.present {
		if _, ok := now[name]; !ok && strings.HasPrefix(name, "wal-") {
			w.removed = append(w.removed, name)
		}
	}
	slices.Sort(w.removed)
	w.present = now
}

func (w *diskWatcher) link(name string) {
	to := filepath.Join(w.shadow, name)
	if strings.HasPrefix(name, "wal-") {
		_ = os.Remove(to)
		_ = os.Link(filepath.Join(w.dir, name), to)
	}
}

// removedNames returns the segments that were removed since the folder last changed otherwise.
func (w *diskWatcher) removedNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.removed)
}

func (w *diskWatcher) close() {
	close(w.stop)
	<-w.done
}

// losePower puts the first removed segment back, as a loss of power may: its removal was not synced. It returns its name.
func (w *diskWatcher) losePower() (string, error) {
	names := w.removedNames()
	if len(names) == 0 {
		return "", errors.New("no removal is pending")
	}
	return names[0], os.Link(filepath.Join(w.shadow, names[0]), filepath.Join(w.dir, names[0]))
}
