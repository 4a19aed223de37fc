package datafolder

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"sort"
	"syscall"
)

const (
	folderMode fs.FileMode = 0o700
	fileMode   fs.FileMode = 0o600
)

// ErrLocked is returned when another process holds the lock of the folder.
var ErrLocked = errors.New("datafolder: locked by another process")

// FS is the part of a file system that the storage packages use. It is minimal so
// that a test can replace it and make each call fail or crash.
type FS interface {
	// MkdirAll creates a directory and its parents.
	MkdirAll(dir string) error
	// List returns the names in a directory in ascending order.
	List(dir string) ([]string, error)
	// ReadFile returns the content of a file; fs.ErrNotExist when there is none.
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	// Rename renames a file, replacing an existing file of the new name.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes the entries of a directory durable.
	SyncDir(dir string) error
	// Lock acquires an exclusive lock, which is released by Close or when the
	// process ends. It returns ErrLocked when another process holds it.
	Lock(name string) (io.Closer, error)
}

// File is a file open for appending.
type File interface {
	io.Writer
	// Sync makes everything written so far durable.
	Sync() error
	io.Closer
}

// Disk is the file system of the operating system.
type Disk struct{}

// MkdirAll implements FS.
func (Disk) MkdirAll(dir string) error { return os.MkdirAll(dir, folderMode) }

// List implements FS.
func (Disk) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	sort.Strings(names)
	return names, nil
}

// ReadFile implements FS.
func (Disk) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// Create implements FS.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
}

// Rename implements FS.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (Disk) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (Disk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	if err := d.Sync(); err != nil {
		_ = d.Close()
		return err
	}
	return d.Close()
}

// Lock implements FS by flock.
func (Disk) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrLocked
	}
	return nil, err
}
