package datafolder

import (
	"errors"
	"path/filepath"
	"syscall"
)

const (
	// probeFile is written to check whether the disk is full. Its suffix makes
	// RemoveTemporary delete it when a crash leaves it behind.
	probeFile = "room" + TemporarySuffix
	// probeBytes is the size of the file: more than a process writes before it
	// takes part in the site.
	probeBytes = 256 << 10
)

// IsFull reports whether an error means that the disk or the quota is full.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// CheckDiskSpace checks for free disk space by writing a small file to a folder and
// removing it again. It returns the error of the step that failed; when IsFull
// reports true for it, waiting may help.
func CheckDiskSpace(disk FS, dir string) error {
	if err := disk.MkdirAll(dir); err != nil {
		return WrapError("make", dir, err)
	}
	name := filepath.Join(dir, probeFile)
	f, err := disk.Create(name)
	if err != nil {
		return WrapError("create", name, err)
	}
	_, err = f.Write(make([]byte, probeBytes))
	if err == nil {
		err = f.Sync()
	}
	_ = f.Close()
	if removeErr := disk.Remove(name); err == nil {
		err = removeErr
	}
	return WrapError("write", name, err)
}
