package wal

import (
	"errors"
	"fmt"
	"syscall"
)

// What went wrong, for errors.Is. The typed errors below hold the details.
var (
	// ErrFull means that a record finds no room before the next checkpoint. Details are
	// in a *FullError.
	ErrFull = errors.New("the write-ahead log is full")
	// ErrCorrupt means that something synced can't be read back. It is permanent.
	// Details are in a *CorruptionError.
	ErrCorrupt = errors.New("the write-ahead log can't be read back")
	// ErrVersion means that another version of the program wrote the files. Details are
	// in a *VersionError.
	ErrVersion = errors.New("the write-ahead log is of another format")
	// ErrLayout means that the files are not those that the Config describes. Details
	// are in a *LayoutError.
	ErrLayout = errors.New("the write-ahead log has other sizes")
	// ErrDisk means that the disk refused to open, read, write or sync. It may be
	// temporary: Open and Reopen tell. Details are in a *DiskError.
	ErrDisk = errors.New("the disk refused an operation")
)

const rejoinRemedy = "move the data folder aside and start again as an empty node"

// DiskError is an operation that the disk refused. It matches ErrDisk and its cause.
type DiskError struct {
	Op  string // open, read, write or sync
	Err error  // what the file system returned
}

// Error names the remedy.
func (e *DiskError) Error() string {
	return fmt.Sprintf("disk %s failed: %v; %s", e.Op, e.Err, e.Remedy())
}

// Remedy is what an operator can do about it.
func (e *DiskError) Remedy() string {
	if errors.Is(e.Err, syscall.ENOSPC) || errors.Is(e.Err, syscall.EDQUOT) {
		return "free space where the data folder lies"
	}
	return "check the disk below the data folder, and replace it if this goes on"
}

// Unwrap gives ErrDisk and the cause.
func (e *DiskError) Unwrap() []error { return []error{ErrDisk, e.Err} }

// CorruptionError is synced data that can't be read back. It matches ErrCorrupt.
type CorruptionError struct {
	File   int   // index of the segment file
	Offset int64 // bytes from its start to where reading stopped
	Detail string
}

// Error names the remedy.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%v: file %d offset %d %s; %s", ErrCorrupt, e.File, e.Offset, e.Detail, rejoinRemedy)
}

// Unwrap gives ErrCorrupt.
func (e *CorruptionError) Unwrap() error { return ErrCorrupt }

// LayoutError is a file that the Config does not describe. It matches ErrLayout.
type LayoutError struct {
	File   int // index of the segment file
	Detail string
}

// Error names the remedy.
func (e *LayoutError) Error() string {
	const remedy = "start with the sizes that the log was made with (ring_files, ring_bytes; fixed under a deploy file); if they were not changed, a file was cut: " + rejoinRemedy
	return fmt.Sprintf("%v: file %d %s; %s", ErrLayout, e.File, e.Detail, remedy)
}

// Unwrap gives ErrLayout.
func (e *LayoutError) Unwrap() error { return ErrLayout }

// VersionError is a file that another version of the program wrote. It matches
// ErrVersion.
type VersionError struct {
	File  int    // index of the segment file
	Found string // format that its header names
}

// Error names the remedy.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%v: file %d is marked %q, not %q; start the version that wrote it", ErrVersion, e.File, e.Found, magic)
}

// Unwrap gives ErrVersion.
func (e *VersionError) Unwrap() error { return ErrVersion }

// FullError is a record that found no room. Nothing was written. It matches ErrFull.
type FullError struct {
	Detail string
	Remedy string // what an operator can do about it
}

// Error names the remedy.
func (e *FullError) Error() string {
	return fmt.Sprintf("%v: %s; %s", ErrFull, e.Detail, e.Remedy)
}

// Unwrap gives ErrFull.
func (e *FullError) Unwrap() error { return ErrFull }
