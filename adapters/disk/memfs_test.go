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
	// unsynced holds, for each name that was created, renamed or removed since the last SyncDir, the files that it stood
	// for since then; nil: none.
	unsynced   map[string][]*memFile
	op, failAt int // operations so far, and the first one that fails; failAt 0: none fails
	partial    int // bytes that a failing write still appends
	failErr    error
	transient  bool // only operation failAt fails
	writesOnly bool // only Create and Write fail
}

func newMemFS() *memFS {
	return &memFS{
		live: make(map[string]*memFile), durable: make(map[string]*memFile), unsynced: make(map[string][]*memFile), failErr: errInjected,
	}
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

// set changes the file that a name stands for; nil removes the name.
func (m *memFS) set(name string, f *memFile) {
	if m.live[name] = f; f == nil {
		delete(m.live, name)
	}
	m.unsynced[name] = append(m.unsynced[name], f)
}

// clone returns a copy of the file system.
func (m *memFS) clone() *memFS {
	copies := map[*memFile]*memFile{nil: nil}
	copyOf := func(f *memFile) *memFile {
		if _, ok := copies[f]; !ok {
			copies[f] = &memFile{data: slices.Clone(f.data), synced: slices.Clone(f.synced)}
		}
		return copies[f]
	}
	out := newMemFS()
	for n, f := range m.live {
		out.live[n] = copyOf(f)
	}
	for n, f := range m.durable {
		out.durable[n] = copyOf(f)
	}
	for n, files := range m.unsynced {
		for _, f := range files {
			out.unsynced[n] = append(out.unsynced[n], copyOf(f))
		}
	}
	return out
}

// crash keeps synced data. For a file with n bytes that are not synced,
// survivingTail returns the length that the file keeps of them, with 1 for each
// byte whose content is kept too. pick chooses one of n states of a name that was
// created, renamed or removed since the last SyncDir: 0 for that of the SyncDir.
func (m *memFS) crash(survivingTail func(n int) []byte, pick func(n int) int) {
	names := maps.Clone(m.durable)
	for _, n := range slices.Sorted(maps.Keys(m.unsynced)) {
		if i := pick(len(m.unsynced[n]) + 1); i > 0 {
			names[n] = m.unsynced[n][i-1]
		}
		if names[n] == nil {
			delete(names, n)
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
	m.live, m.durable, m.unsynced = names, maps.Clone(names), make(map[string][]*memFile)
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
	m.set(name, &memFile{})
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
	m.set(to, m.live[from])
	m.set(from, nil)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.set(name, nil)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.step(); err != nil {
		return err
	}
	m.durable, m.unsynced = maps.Clone(m.live), make(map[string][]*memFile)
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
