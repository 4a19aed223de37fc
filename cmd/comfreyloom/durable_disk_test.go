package main

import (
	"bytes"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
)

// durableVariable names the folder in which a process of a test keeps what its
// data folder would hold after a loss of power.
const durableVariable = "COMFREYLOOM_TEST_DURABLE"

// syncTime is how long a sync takes, as on the disks of the grown sites.
const syncTime = 9 * time.Millisecond

// mainInTest is main with a disk that can lose its power and a slow link.
func mainInTest() {
	if folder := os.Getenv(durableVariable); folder != "" {
		environment.Disk = &durableDisk{durable: folder, files: map[string]*durableFile{}}
	}
	if rate, err := strconv.Atoi(os.Getenv(linkVariable)); err == nil {
		environment.Dial = newSlowLink(rate).dial
	}
	main()
}

// durableDisk is the operating system's disk that also keeps a durable copy: the
// content of a file up to its last sync, and names as of the last sync of their
// directory. A new file becomes durable with its own sync. A test that kills the
// process may go on with the durable copy, see losePower.
type durableDisk struct {
	datafolder.Disk
	durable string

	mu    sync.Mutex
	files map[string]*durableFile // by name
}

// durableFile is one file; unsynced is what was written since the last sync.
type durableFile struct {
	store    string
	unsynced []byte
	named    bool
}

// slowFile is a file in the durable folder that holds how long a sync takes while
// it exists.
const slowFile = "slow"

// waitForSync blocks for as long as a sync takes.
func (d *durableDisk) waitForSync() {
	text, err := os.ReadFile(filepath.Join(d.durable, slowFile))
	if err != nil {
		time.Sleep(syncTime)
		return
	}
	if took, err := time.ParseDuration(string(text)); err == nil {
		time.Sleep(took)
	}
}

// path returns where the durable copy of a name is.
func (d *durableDisk) path(name string) string { return filepath.Join(d.durable, "names", name) }

// file returns the file of a name. Of one that an earlier process left, the longest
// durable content that it begins with was synced, perhaps under another name.
func (d *durableDisk) file(name string) *durableFile {
	if f := d.files[name]; f != nil {
		return f
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil
	}
	f := d.newFile()
	if stored, err := os.ReadFile(d.path(name)); err == nil && len(stored) > 0 && bytes.HasPrefix(content, stored) {
		f.store, f.named, content = d.path(name), true, content[len(stored):]
	} else if store, length := syncedStore(d.durable, content); length > 0 {
		f.store, content = store, content[length:]
	}
	f.unsynced = content
	d.files[name] = f
	return f
}

func (d *durableDisk) newFile() *durableFile {
	return &durableFile{store: filepath.Join(d.durable, "files", uuid.NewString())}
}

// syncedStore returns the file that holds the longest durable content with which a
// content begins, and the length of it; 0 when there is none.
func syncedStore(durable string, content []byte) (store string, length int) {
	stores, _ := filepath.Glob(filepath.Join(durable, "files", "*"))
	for _, name := range stores {
		data, err := os.ReadFile(name)
		if err == nil && len(data) > length && bytes.HasPrefix(content, data) {
			store, length = name, len(data)
		}
	}
	return store, length
}

// Create implements datafolder.FS.
func (d *durableDisk) Create(name string) (datafolder.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file, err := d.Disk.Create(name)
	if err != nil {
		return nil, err
	}
	f := d.newFile()
	d.files[name] = f
	return &openDurableFile{File: file, disk: d, file: f, name: name}, nil
}

// Rename implements datafolder.FS.
func (d *durableDisk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.file(from)
	if err := d.Disk.Rename(from, to); err != nil {
		return err
	}
	delete(d.files, from)
	f.named = false
	d.files[to] = f
	return nil
}

// Remove implements datafolder.FS.
func (d *durableDisk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, name)
	return d.Disk.Remove(name)
}

// SyncDir implements datafolder.FS.
func (d *durableDisk) SyncDir(dir string) error {
	d.waitForSync()
	d.mu.Lock()
	defer d.mu.Unlock()
	names, err := d.List(dir)
	if err != nil {
		return err
	}
	kept := map[string]bool{}
	for _, base := range names {
		name := filepath.Join(dir, base)
		kept[base] = true
		if info, err := os.Stat(name); err != nil || info.IsDir() {
			continue
		}
		if err := d.storeName(name, d.file(name)); err != nil {
			return err
		}
	}
	stored, err := d.List(d.path(dir))
	if err != nil {
		return ignoreMissing(err)
	}
	for _, base := range stored {
		if !kept[base] {
			if err := os.RemoveAll(filepath.Join(d.path(dir), base)); err != nil {
				return err
			}
		}
	}
	return nil
}

// storeName makes a name of a file durable.
func (d *durableDisk) storeName(name string, f *durableFile) error {
	if f.named {
		return nil
	}
	to := d.path(name)
	if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(f.store); err != nil {
		if err := f.append(nil); err != nil {
			return err
		}
	}
	link := f.store + ".link"
	if err := os.Link(f.store, link); err != nil {
		return err
	}
	f.named = true
	return os.Rename(link, to)
}

func (f *durableFile) append(data []byte) error {
	if err := os.MkdirAll(filepath.Dir(f.store), 0o700); err != nil {
		return err
	}
	out, err := os.OpenFile(f.store, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err := out.Write(data); err != nil {
		return err
	}
	return out.Close()
}

type openDurableFile struct {
	datafolder.File
	disk *durableDisk
	file *durableFile
	name string
}

// Write implements datafolder.File.
func (o *openDurableFile) Write(data []byte) (int, error) {
	n, err := o.File.Write(data)
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	o.file.unsynced = append(o.file.unsynced, data[:n]...)
	return n, err
}

// Sync implements datafolder.File.
func (o *openDurableFile) Sync() error {
	o.disk.waitForSync()
	o.disk.mu.Lock()
	defer o.disk.mu.Unlock()
	if err := o.file.append(o.file.unsynced); err != nil {
		return err
	}
	o.file.unsynced = nil
	if o.disk.files[o.name] != o.file || o.file.named {
		return nil // it was renamed since: its name becomes durable with the directory
	}
	if _, err := os.Stat(o.disk.path(o.name)); err == nil {
		return nil // the name is that of an older file until the directory is synced
	}
	return o.disk.storeName(o.name, o.file)
}

func ignoreMissing(err error) error {
	if os.IsNotExist(err) {
		return nil
	}
	return err
}

// losePower replaces the data folder of a process that was killed, and its durable
// copy, by what a loss of power leaves: the durable copy and, at half of the losses,
// a part of what was written, renamed and removed since.
func losePower(random *rand.Rand, durable, folder string) error {
	kept, err := readFolder(filepath.Join(durable, "names", folder), folder)
	if err != nil {
		return err
	}
	if random.IntN(2) == 0 {
		written, err := readFolder(folder, folder)
		if err != nil {
			return err
		}
		keepUnsynced(random, kept, written, func(content []byte) []byte {
			_, length := syncedStore(durable, content)
			return content[:length]
		})
	}
	for _, old := range []string{folder, filepath.Join(durable, "names"), filepath.Join(durable, "files")} {
		if err := os.RemoveAll(old); err != nil {
			return err
		}
	}
	for name, data := range kept {
		for _, copied := range []string{name, filepath.Join(durable, "names", name)} {
			if err := os.MkdirAll(filepath.Dir(copied), 0o700); err != nil {
				return err
			}
			if err := os.WriteFile(copied, data, 0o600); err != nil {
				return err
			}
		}
	}
	return nil
}

// readFolder returns the files below a folder, named as if they were below another.
func readFolder(from, to string) (map[string][]byte, error) {
	files := map[string][]byte{}
	err := filepath.WalkDir(from, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return ignoreMissing(err)
		}
		data, err := os.ReadFile(path)
		files[filepath.Join(to, strings.TrimPrefix(path, from))] = data
		return err
	})
	return files, err
}

// keepUnsynced changes the durable files to a random mix with what the process had
// written: each unsynced tail, rename and removal is kept in part or lost by itself.
// syncedPart returns the part of a content that was synced.
func keepUnsynced(random *rand.Rand, durable, written map[string][]byte, syncedPart func([]byte) []byte) {
	synced := maps.Clone(durable)
	for _, name := range slices.Sorted(maps.Keys(synced)) {
		data, present := written[name]
		switch {
		case !present && random.IntN(2) == 0:
			delete(durable, name)
		case present && len(data) > len(synced[name]) && bytes.HasPrefix(data, synced[name]):
			durable[name] = data[:len(synced[name])+random.IntN(len(data)-len(synced[name]))]
		}
	}
	for _, name := range slices.Sorted(maps.Keys(written)) {
		if old, ok := synced[name]; ok && bytes.HasPrefix(written[name], old) {
			continue
		}
		if renamed := syncedPart(written[name]); len(renamed) > 0 && random.IntN(2) == 0 {
			durable[name] = renamed
		}
	}
}
