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

// memFS is an in-memory file system whose crash method drops data that was not
// synced. Operations can be made to fail from a given one on, as when the host
// crashes.
type memFS struct {
	live, durable map[string]*memFile // names now, and names at the last SyncDir
	op, failAt    int                 // operations so far, and the first one that fails; failAt 0: none fails
	partial       int                 // bytes that a failing write still appends
	failErr       error
	transient     bool // only operation failAt fails
	writesOnly    bool // only Create and Write fail
}

func newMemFS() *memFS {
	return &memFS{live: make(map[string]*memFile), durable: make(map[string]*memFile), failErr: errInjected}
}

// step counts an operation and returns its injected error. Create and Write pass an argument.
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

// crash keeps synced data. For a file with n bytes that are not synced,
// survivingTail returns the length that the file keeps of them, with 1 for each
// byte whose content is kept too. keepName decides whether a new name that is not
// synced survives.
func (m *memFS) crash(survivingTail func(n int) []byte, keepName func() bool) {
	names := make(map[string]*memFile)
	for n, f := range m.durable {
		names[n] = f
	}
	for _, n := range slices.Sorted(maps.Keys(m.live)) {
		if f := m.live[n]; m.durable[n] != f && keepName() {
			names[n] = f
		}
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		f := names[n]
		unsynced := f.data[min(len(f.data), len(f.synced)):]
		f.data = append(slices.Clone(f.synced), survivingTail(len(unsynced))...)
		for i := range unsynced {
			if at := len(f.synced) + i; at < len(f.data) && f.data[at] == 1 {
				f.data[at] = unsynced[i] // 1 marks a byte that reached the disk
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

// names returns the sorted paths of the files whose names have a prefix.
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
