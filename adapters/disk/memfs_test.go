package disk

import (
	"errors"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

var errInjected = errors.New("injected fault")

type memFile struct {
	data   []byte
	synced []byte
}

// memFS is a file system that loses at a crash what was not synced. Its
// operations fail from a given one on, as at the crash of a host.
type memFS struct {
	live, durable map[string]*memFile
	op, failAt    int // failAt 0: never
	partial       int // bytes that a failing write leaves
	failErr       error
	transient     bool // only the one operation fails
	writesOnly    bool // syncs and names do not fail
}

func newMemFS() *memFS {
	return &memFS{live: make(map[string]*memFile), durable: make(map[string]*memFile), failErr: errInjected}
}

func (m *memFS) step(write ...bool) error {
	m.op++
	if m.writesOnly && len(write) == 0 {
		return nil
	}
	if m.failAt > 0 && (m.op == m.failAt || (m.op > m.failAt && !m.transient)) {
		return m.failErr
	}
	return nil
}

// crash keeps what is synced; of the rest, tail decides how much survives of a
// file that has so many bytes not synced, and name whether a name change does.
func (m *memFS) crash(tail func(n int) []byte, name func() bool) {
	names := make(map[string]*memFile)
	for n, f := range m.durable {
		names[n] = f
	}
	for _, n := range slices.Sorted(maps.Keys(m.live)) {
		if f := m.live[n]; m.durable[n] != f && name() {
			names[n] = f
		}
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		f := names[n]
		rest := f.data[min(len(f.data), len(f.synced)):]
		f.data = append(slices.Clone(f.synced), tail(len(rest))...)
		for i := range rest {
			if at := len(f.synced) + i; at < len(f.data) && f.data[at] == 1 {
				f.data[at] = rest[i] // 1 marks a byte that reached the disk
			}
		}
		f.synced = slices.Clone(f.data)
	}
	m.live, m.durable = names, make(map[string]*memFile)
	for n, f := range names {
		m.durable[n] = f
	}
	m.op, m.failAt = 0, 0
}

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) ReadDir(dir string) ([]string, error) {
	var names []string
	for n := range m.live {
		if filepath.Dir(n) == dir {
			names = append(names, filepath.Base(n))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if f := m.live[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, os.ErrNotExist
}

func (m *memFS) Create(name string) (File, error) {
	if err := m.step(true); err != nil {
		return nil, err
	}
	m.live[name] = &memFile{}
	return &memHandle{m, m.live[name]}, nil
}

func (m *memFS) Append(name string) (File, error) {
	if m.live[name] == nil {
		return nil, os.ErrNotExist
	}
	return &memHandle{m, m.live[name]}, nil
}

func (m *memFS) Truncate(name string, size int64) error {
	f := m.live[name]
	f.data = f.data[:size:size]
	f.synced = slices.Clone(f.data)
	return nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.live[to] = m.live[from]
	delete(m.live, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	delete(m.live, name)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.durable = make(map[string]*memFile)
	for n, f := range m.live {
		m.durable[n] = f
	}
	return nil
}

// names returns the files with a prefix, sorted.
func (m *memFS) names(prefix string) []string {
	var out []string
	for n := range m.live {
		if strings.HasPrefix(filepath.Base(n), prefix) {
			out = append(out, n)
		}
	}
	slices.Sort(out)
	return out
}

type memHandle struct {
	fs *memFS
	f  *memFile
}

func (h *memHandle) Write(b []byte) (int, error) {
	if err := h.fs.step(true); err != nil {
		n := min(h.fs.partial, len(b))
		h.f.data = append(h.f.data, b[:n]...)
		return n, err
	}
	h.f.data = append(h.f.data, b...)
	return len(b), nil
}

func (h *memHandle) Sync() error {
	if err := h.fs.step(); err != nil {
		return err
	}
	h.f.synced = slices.Clone(h.f.data)
	return nil
}

func (h *memHandle) Close() error { return nil }

var errFull error = syscall.ENOSPC
