package datafolder

import (
	"errors"
	"fmt"
	"syscall"
)

// CorruptError says that a file does not hold what was made durable in it.
// The process must not start on such a file: what it lost may be a promise.
type CorruptError struct {
	File   string
	Offset int64
	Why    string
	Remedy string
}

// Error names the file, the place, the finding and what to do.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s; %s", e.File, e.Offset, e.Why, e.Remedy)
}

// StorageError says that the file system refused an operation. After a failed
// write or sync nobody knows what is durable, so the process must end.
type StorageError struct {
	File   string
	Op     string
	Err    error
	Remedy string
}

// Error names the file, the operation, the cause and what to do.
func (e *StorageError) Error() string {
	return fmt.Sprintf("%s %s: %v; %s", e.Op, e.File, e.Err, e.Remedy)
}

// Unwrap returns what the file system said.
func (e *StorageError) Unwrap() error { return e.Err }

const (
	remedyFull = "free space on the file system of the data folder, then start again"
	remedyDisk = "check the disk and the mount of the data folder, then start again; " +
		"if the disk is lost, start with an empty data folder: the node rejoins as a new voter"
	remedyRights = "give the user that runs comfreyloom read and write access to the data folder, then start again"
)

// RemedyRejoin is what to do about a folder whose content cannot be trusted.
const RemedyRejoin = "move the whole data folder away and start with an empty one: " +
	"the node rejoins as a new voter, provided that a majority of the other voters run"

// Failed wraps an error of the file system with the file, the operation and a
// remedy. It returns nil for nil.
func Failed(op, file string, err error) error {
	if err == nil {
		return nil
	}
	return &StorageError{File: file, Op: op, Err: err, Remedy: remedyFor(err)}
}

func remedyFor(err error) string {
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return remedyFull
	case errors.Is(err, syscall.EACCES), errors.Is(err, syscall.EPERM):
		return remedyRights
	default:
		return remedyDisk
	}
}
