package datafolder

import (
	"errors"
	"path/filepath"
	"syscall"
)

const (
	// roomFile is written to see whether the disk takes bytes; its name marks
	// it as left over if a crash keeps it.
	roomFile = "room" + TemporarySuffix
	// roomBytes is more than a process writes before it takes part in anything.
	roomBytes = 256 << 10
)

// IsFull says whether an error means that the disk takes no more bytes.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// HasRoom writes some bytes into a folder and removes them again. The error
// says what failed; IsFull tells whether waiting can help.
func HasRoom(disk FS, dir string) error {
	if err := disk.MkdirAll(dir); err != nil {
		return Failed("make", dir, err)
	}
	name := filepath.Join(dir, roomFile)
	f, err := disk.Create(name)
	if err != nil {
		return Failed("create", name, err)
	}
	_, err = f.Write(make([]byte, roomBytes))
	if err == nil {
		err = f.Sync()
	}
	_ = f.Close()
	if removed := disk.Remove(name); err == nil {
		err = removed
	}
	return Failed("write", name, err)
}
