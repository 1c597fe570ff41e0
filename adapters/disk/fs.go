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
	// A process that is just ending may still hold the lock for a moment.
	lockAttempts = 20
	lockPause    = 25 * time.Millisecond
)

// File is what the store needs of an open file.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// FS is the part of a file system that the store uses; tests inject faults through it.
type FS interface {
	// Lock holds the directory against other processes until the returned file is closed.
	Lock(dir string) (io.Closer, error)
	MkdirAll(dir string) error
	ReadDir(dir string) ([]string, error) // names, sorted
	ReadFile(name string) ([]byte, error)
	Create(name string) (File, error) // empty
	Append(name string) (File, error)
	Truncate(name string, size int64) error // and sync
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(dir string) error
}

// OS is the file system of the host.
type OS struct{}

// Lock takes an exclusive lock on the file lock in the directory.
func (OS) Lock(dir string) (io.Closer, error) {
	f, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	for range lockAttempts {
		if err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return f, nil
		}
		time.Sleep(lockPause)
	}
	_ = f.Close()
	return nil, eris.Wrapf(err, "data directory %s is used by another process", dir)
}

// MkdirAll creates a directory and its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// ReadDir returns the sorted names in a directory.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	sort.Strings(names)
	return names, err
}

// ReadFile reads a whole file.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create opens a new or emptied file.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append opens a file to add to it.
func (OS) Append(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
}

// Truncate cuts a file and syncs it.
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

// Rename replaces a file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the names in a directory durable.
func (OS) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}
