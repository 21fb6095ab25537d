package wal

import (
	"errors"
	"fmt"
	"syscall"
)

// Kinds of error, for errors.Is. The typed errors below contain the details.
var (
	// ErrFull means that there is no space for a record before the next checkpoint.
	// Details are in a *FullError.
	ErrFull = errors.New("write-ahead log is full")
	// ErrCorrupt means that synced data can't be read back. It is permanent.
	// Details are in a *CorruptionError.
	ErrCorrupt = errors.New("write-ahead log is corrupt")
	// ErrVersion means that another version of the program wrote the files. Details are
	// in a *VersionError.
	ErrVersion = errors.New("write-ahead log has another format version")
	// ErrLayout means that the number or length of the files differs from the Config.
	// Details are in a *LayoutError.
	ErrLayout = errors.New("write-ahead log files do not match the configured sizes")
	// ErrDisk means that an open, read, write or sync failed. The cause may be temporary,
	// so Open and Reopen may be retried. Details are in a *DiskError.
	ErrDisk = errors.New("disk operation failed")
)

const rejoinRemedy = "move the data folder aside and start again as an empty node"

// DiskError is a failed disk operation. It matches ErrDisk and its cause.
type DiskError struct {
	Op  string // open, read, write or sync
	Err error  // what the file system returned
}

// Error returns the details and the remedy.
func (e *DiskError) Error() string {
	return fmt.Sprintf("disk %s failed: %v; %s", e.Op, e.Err, e.Remedy())
}

// Remedy tells an operator how to resolve the error.
func (e *DiskError) Remedy() string {
	if errors.Is(e.Err, syscall.ENOSPC) || errors.Is(e.Err, syscall.EDQUOT) {
		return "free space where the data folder lies"
	}
	return "check the disk below the data folder, and replace it if this goes on"
}

// Unwrap returns ErrDisk and the cause.
func (e *DiskError) Unwrap() []error { return []error{ErrDisk, e.Err} }

// CorruptionError is synced data that can't be read back. It matches ErrCorrupt.
type CorruptionError struct {
	File   int   // index of the segment file
	Offset int64 // in the file, at which valid data ends
	Detail string
}

// Error returns the details and the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%v: file %d offset %d %s; %s", ErrCorrupt, e.File, e.Offset, e.Detail, rejoinRemedy)
}

// Unwrap returns ErrCorrupt.
func (e *CorruptionError) Unwrap() error { return ErrCorrupt }

// LayoutError is a file that does not match the Config. It matches ErrLayout.
type LayoutError struct {
	File   int // index of the segment file
	Detail string
}

// Error returns the details and the remedy.
func (e *LayoutError) Error() string {
	const remedy = "start with the sizes that the log was made with (ring_files, ring_bytes; fixed under a deploy file); if they were not changed, a file was cut: " + rejoinRemedy
	return fmt.Sprintf("%v: file %d %s; %s", ErrLayout, e.File, e.Detail, remedy)
}

// Unwrap returns ErrLayout.
func (e *LayoutError) Unwrap() error { return ErrLayout }

// VersionError is a file that another version of the program wrote. It matches
// ErrVersion.
type VersionError struct {
	File  int    // index of the segment file
	Found string // format and version in its header
}

// Error returns the details and the remedy.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%v: file %d has format %q, expected %q; start the version that wrote it", ErrVersion, e.File, e.Found, magic)
}

// Unwrap returns ErrVersion.
func (e *VersionError) Unwrap() error { return ErrVersion }

// FullError is a record for which there is no space. Nothing was written. It matches
// ErrFull.
type FullError struct {
	Detail string
	Remedy string // tells an operator how to resolve the error
}

// Error returns the details and the remedy.
func (e *FullError) Error() string {
	return fmt.Sprintf("%v: %s; %s", ErrFull, e.Detail, e.Remedy)
}

// Unwrap returns ErrFull.
func (e *FullError) Unwrap() error { return ErrFull }
