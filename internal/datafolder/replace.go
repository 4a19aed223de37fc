package datafolder

import (
	"path/filepath"
	"strings"
)

// TemporarySuffix marks files that were not yet renamed into place. One that
// is found at a start was left by a crash and holds nothing that counts.
const TemporarySuffix = ".tmp"

// Replace makes data the durable content of a file in one step: after a crash
// at any point the file holds either all of the old content or all of the new.
func Replace(disk FS, name string, data []byte) error {
	f, err := ReplaceOpen(disk, name, data)
	if err != nil {
		return err
	}
	return Failed("close", name, f.Close())
}

// ReplaceOpen is Replace for a file to which more will be appended.
//
// The data is synced before the rename: otherwise a crash could leave the new
// name on a file whose content never reached the disk. The directory is synced
// after it: otherwise the old file could come back after a crash, and with it
// a state that the caller already promised to have left.
func ReplaceOpen(disk FS, name string, data []byte) (File, error) {
	temporary := name + TemporarySuffix
	f, err := disk.Create(temporary)
	if err != nil {
		return nil, Failed("create", temporary, err)
	}
	if err := fill(disk, f, name, data); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

func fill(disk FS, f File, name string, data []byte) error {
	temporary := name + TemporarySuffix
	if _, err := f.Write(data); err != nil {
		return Failed("write", temporary, err)
	}
	if err := f.Sync(); err != nil {
		return Failed("sync", temporary, err)
	}
	if err := disk.Rename(temporary, name); err != nil {
		return Failed("rename", temporary, err)
	}
	dir := filepath.Dir(name)
	return Failed("sync", dir, disk.SyncDir(dir))
}

// RemoveTemporary deletes what a crash left behind half written in dir.
func RemoveTemporary(disk FS, dir string) error {
	names, err := disk.List(dir)
	if err != nil {
		return Failed("list", dir, err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, TemporarySuffix) {
			continue
		}
		file := filepath.Join(dir, name)
		if err := disk.Remove(file); err != nil {
			return Failed("remove", file, err)
		}
	}
	return nil
}
