package datafolder

import (
	"path/filepath"
	"strings"
)

// TemporarySuffix marks files that have not been renamed into place yet. A file
// with this suffix found at startup was left by a crash and can be deleted.
const TemporarySuffix = ".tmp"

// Replace atomically replaces the content of a file with data and makes it durable:
// after a crash at any point the file holds either the old or the new content,
// complete.
func Replace(disk FS, name string, data []byte) error {
	f, err := ReplaceOpen(disk, name, data)
	if err != nil {
		return err
	}
	return WrapError("close", name, f.Close())
}

// ReplaceOpen does the same as Replace and returns the file open for appending.
//
// The data is synced before the rename: otherwise a crash could leave a file with
// the final name whose content never reached the disk. The directory is synced
// after the rename: otherwise the old file could reappear after a crash, and with
// it a state that the caller has already reported as replaced.
func ReplaceOpen(disk FS, name string, data []byte) (File, error) {
	temporary := name + TemporarySuffix
	f, err := disk.Create(temporary)
	if err != nil {
		return nil, WrapError("create", temporary, err)
	}
	if err := writeAndRename(disk, f, name, data); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// ReadDurable reads a file that Replace wrote and makes its name durable. An earlier
// process may have been killed between the rename and the sync of the directory:
// what this process builds on the content must not outlive it in a loss of power.
func ReadDurable(disk FS, name string) ([]byte, error) {
	data, err := disk.ReadFile(name)
	if err != nil {
		return nil, err
	}
	dir := filepath.Dir(name)
	return data, WrapError("sync", dir, disk.SyncDir(dir))
}

// writeAndRename writes data to the temporary file f and renames it to name.
func writeAndRename(disk FS, f File, name string, data []byte) error {
	temporary := name + TemporarySuffix
	if _, err := f.Write(data); err != nil {
		return WrapError("write", temporary, err)
	}
	if err := f.Sync(); err != nil {
		return WrapError("sync", temporary, err)
	}
	if err := disk.Rename(temporary, name); err != nil {
		return WrapError("rename", temporary, err)
	}
	dir := filepath.Dir(name)
	return WrapError("sync", dir, disk.SyncDir(dir))
}

// RemoveTemporary deletes the temporary files that a crash left in dir.
func RemoveTemporary(disk FS, dir string) error {
	names, err := disk.List(dir)
	if err != nil {
		return WrapError("list", dir, err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, TemporarySuffix) {
			continue
		}
		file := filepath.Join(dir, name)
		if err := disk.Remove(file); err != nil {
			return WrapError("remove", file, err)
		}
	}
	return nil
}
