// Package fakedisk is an in-memory file system for crash tests: it loses unsynced
// data, makes selected calls fail, and can be full. It is imported by tests only.
//
// It behaves as badly as a real file system may. After a crash each name in a
// directory that was not synced is either the old or the new one, independent of
// the others; unsynced bytes are lost, kept in part, or kept with whole sectors
// zeroed. After a failed sync the bytes can be read and the next sync
// reports success, but they are lost in the next crash.
package fakedisk

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"sync"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
)

// ErrCrash is returned by a Fault to crash the machine in the middle of a call;
// every later call fails with it too.
var ErrCrash = errors.New("fakedisk: the machine crashed")

// Kind is the kind of a call that changes the disk or makes changes durable.
type Kind string

// The kinds of calls that are passed to a Fault.
const (
	Create  Kind = "create"
	Write   Kind = "write"
	Sync    Kind = "sync"
	Rename  Kind = "rename"
	Remove  Kind = "remove"
	SyncDir Kind = "sync dir"
)

// Op describes one call. Number counts from 1.
type Op struct {
	Number int
	Kind   Kind
	File   string
}

// Fault returns nil to let a call succeed, or the error with which it fails.
type Fault func(Op) error

// Disk implements datafolder.FS.
type Disk struct {
	mu   sync.Mutex
	dirs map[string]bool
	// names holds the files as calls see them, durable those whose names
	// survive a crash.
	names   map[string]*inode
	durable map[string]*inode
	locked  map[string]bool
	fault   Fault
	ops     int
	crashed bool
}

type inode struct {
	data []byte
	// synced is the number of bytes at the start that survive a crash.
	synced int
	// syncFailed is set by a failed sync; no further data becomes durable.
	syncFailed bool
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{
		dirs:    map[string]bool{},
		names:   map[string]*inode{},
		durable: map[string]*inode{},
		locked:  map[string]bool{},
	}
}

// SetFault sets the fault that decides about every later call; with nil all calls
// succeed.
func (d *Disk) SetFault(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// OpCount returns the number of calls so far.
func (d *Disk) OpCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// beginOp counts a call and asks the fault for its result. A call that crashes the
// machine may still take effect; apply reports whether the caller should apply it.
func (d *Disk) beginOp(kind Kind, file string) (apply bool, err error) {
	if d.crashed {
		return false, ErrCrash
	}
	d.ops++
	if d.fault == nil {
		return true, nil
	}
	err = d.fault(Op{Number: d.ops, Kind: kind, File: file})
	d.crashed = errors.Is(err, ErrCrash)
	return err == nil || d.crashed, err
}

// MkdirAll implements datafolder.FS; directories are durable at once.
func (d *Disk) MkdirAll(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return ErrCrash
	}
	d.dirs[filepath.Clean(dir)] = true
	return nil
}

// List implements datafolder.FS.
func (d *Disk) List(dir string) ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrash
	}
	var names []string
	for name := range d.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	for name := range d.dirs {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile implements datafolder.FS.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrash
	}
	n, ok := d.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Create implements datafolder.FS.
func (d *Disk) Create(name string) (datafolder.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply, err := d.beginOp(Create, name)
	if !apply {
		return nil, err
	}
	n := &inode{}
	d.names[name] = n
	return &file{disk: d, name: name, inode: n}, err
}

// Rename implements datafolder.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply, err := d.beginOp(Rename, to)
	if !apply {
		return err
	}
	n, ok := d.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = n
	return err
}

// Remove implements datafolder.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	apply, err := d.beginOp(Remove, name)
	if apply {
		delete(d.names, name)
	}
	return err
}

// SyncDir implements datafolder.FS.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.beginOp(SyncDir, dir); err != nil {
		return err
	}
	inDir := func(name string, _ *inode) bool { return filepath.Dir(name) == filepath.Clean(dir) }
	maps.DeleteFunc(d.durable, inDir)
	for name, n := range d.names {
		if inDir(name, n) {
			d.durable[name] = n
		}
	}
	return nil
}

// Lock implements datafolder.FS.
func (d *Disk) Lock(name string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashed {
		return nil, ErrCrash
	}
	if d.locked[name] {
		return nil, datafolder.ErrLocked
	}
	d.locked[name] = true
	return &lock{disk: d, name: name}, nil
}

type lock struct {
	disk *Disk
	name string
}

// Close releases the lock.
func (l *lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	delete(l.disk.locked, l.name)
	return nil
}

type file struct {
	disk  *Disk
	name  string
	inode *inode
}

// Write appends data; a write that fails without a crash appends half of it.
func (f *file) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	apply, err := f.disk.beginOp(Write, f.name)
	written := len(data)
	if err != nil && !apply {
		written /= 2
	}
	if f.disk.crashed && !apply {
		return 0, err
	}
	f.inode.data = append(f.inode.data, data[:written]...)
	return written, err
}

// Sync makes the written data durable, unless an earlier sync failed.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if _, err := f.disk.beginOp(Sync, f.name); err != nil {
		f.inode.syncFailed = true
		return err
	}
	if !f.inode.syncFailed {
		f.inode.synced = len(f.inode.data)
	}
	return nil
}

// Close does nothing.
func (f *file) Close() error { return nil }
