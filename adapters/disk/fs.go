package disk

import (
	"io"
	"os"
	"path/filepath"
	"sort"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	dirMode  = 0o750
	fileMode = 0o640
	// Lock is retried for up to 500 ms, because a process that is terminating may still hold it.
	lockAttempts      = 20
	lockRetryInterval = 25 * time.Millisecond
)

// File is the part of an open file that the store uses.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// FS is the part of a file system that the store uses. Tests implement it to inject faults.
type FS interface {
	// Lock locks the directory against other processes until the returned closer is closed.
	Lock(dir string) (io.Closer, error)
	MkdirAll(dir string) error
	ReadDir(dir string) ([]string, error) // file names, sorted
	ReadFile(name string) ([]byte, error)
	// Create creates a file, or truncates an existing one. Writes go to the end of the file, also after Truncate.
	Create(name string) (File, error)
	Append(name string) (File, error)
	Truncate(name string, size int64) error // includes a sync
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error // makes created, renamed and removed names durable
}

// OS implements FS with the file system of the host.
type OS struct{}

// Lock takes an exclusive lock on the file named lock in the directory. It fails
// when another process keeps the lock for 500 ms.
func (OS) Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	for range lockAttempts {
		if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return f, nil
		}
		time.Sleep(lockRetryInterval)
	}
	_ = f.Close()
	return nil, eris.Wrapf(err, "data directory %s is used by another process", dir)
}

// MkdirAll creates a directory and its missing parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// ReadDir returns the sorted file names of a directory.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	sort.Strings(names)
	return names, err
}

// ReadFile returns the content of a file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create creates a file, or truncates an existing one, and opens it for appending.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, fileMode)
}

// Append opens a file for appending; it creates a missing file.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
}

// Truncate shortens a file to size bytes and syncs it.
func (OS) Truncate(name string, size int64) error {
	f, err := os.OpenFile(name, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// Rename renames a file; it replaces an existing one at the new name.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir syncs a directory, which makes created, renamed and removed names durable.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}
