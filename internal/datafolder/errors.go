package datafolder

import (
	"errors"
	"fmt"
	"syscall"
)

// CorruptError is returned when a file does not hold what was made durable in it.
// The process must not start on such a file: the lost data may include a vote
// or entries that were acknowledged to other voters.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
	Hint   string
}

// Error returns the file, the offset, the reason and what to do.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s; %s", e.File, e.Offset, e.Reason, e.Hint)
}

// StorageError is returned when an operation of the file system failed. After a
// failed write or sync it is unknown what is durable, so the process must end.
type StorageError struct {
	File string
	Op   string
	Err  error
	Hint string
}

// Error returns the operation, the file, the cause and what to do.
func (e *StorageError) Error() string {
	return fmt.Sprintf("%s %s: %v; %s", e.Op, e.File, e.Err, e.Hint)
}

// Unwrap returns the error of the file system.
func (e *StorageError) Unwrap() error { return e.Err }

const (
	hintFull = "free space on the file system of the data folder, then start again"
	hintDisk = "check the disk and the mount of the data folder, then start again; " +
		"if the disk is lost, start with an empty data folder: the node rejoins as a new voter"
	hintPermissions = "give the user that runs comfreyloom read and write access to the data folder, then start again"
)

// HintRejoin tells the operator what to do about a folder whose content can't be
// trusted.
const HintRejoin = "move the whole data folder away and start with an empty one: " +
	"the node rejoins as a new voter, provided that a majority of the other voters run"

// WrapError wraps an error of the file system in a StorageError that tells the
// operator what to do. It returns nil for nil.
func WrapError(op, file string, err error) error {
	if err == nil {
		return nil
	}
	return &StorageError{File: file, Op: op, Err: err, Hint: hintFor(err)}
}

func hintFor(err error) string {
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return hintFull
	case errors.Is(err, syscall.EACCES), errors.Is(err, syscall.EPERM):
		return hintPermissions
	default:
		return hintDisk
	}
}
