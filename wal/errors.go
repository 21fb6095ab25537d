package wal

import (
	"errors"
	"fmt"
	"syscall"
)

// Errors that callers tell apart with errors.Is.
var (
	// ErrRingFull means that a record finds no room before the next checkpoint.
	ErrFull = errors.New("the ring is full")
	// ErrCorrupt means that something synced can't be read back. It does not pass.
	ErrCorrupt = errors.New("the ring can't be read back")
	// ErrFormat means that another version of the program wrote the ring.
	ErrVersion = errors.New("the ring is of another format")
	// ErrSizes means that the files are not those that the plan names.
	ErrLayout = errors.New("the ring has other sizes")
	// ErrDisk means that the disk refused a read, a write or a sync. It may pass:
	// Open and Reopen tell.
	ErrDisk = errors.New("the disk refused an operation")
)

// DiskError is an operation that the disk refused; errors.Is finds ErrDisk in it.
type DiskError struct {
	Op  string // open, read, write or sync
	Err error
}

// Error names the remedy.
func (e *DiskError) Error() string {
	return fmt.Sprintf("disk %s failed: %v; %s", e.Op, e.Err, e.remedy())
}

func (e *DiskError) remedy() string {
	if errors.Is(e.Err, syscall.ENOSPC) || errors.Is(e.Err, syscall.EDQUOT) {
		return "free space where data_dir lies"
	}
	return "check the disk below data_dir, and replace it if this goes on"
}

// Unwrap gives the cause, and ErrDisk.
func (e *DiskError) Unwrap() []error { return []error{ErrDisk, e.Err} }

// ringError is a ring that can't be used as it is found.
type ringError struct {
	kind   error
	detail string
	remedy string
}

func (e *ringError) Error() string { return fmt.Sprintf("%v: %s; %s", e.kind, e.detail, e.remedy) }

func (e *ringError) Unwrap() error { return e.kind }

const rejoin = "move data_dir aside and rejoin as an empty node"

func corrupt(file int, offset int64, detail string) error {
	return &ringError{ErrCorrupt, fmt.Sprintf("file %d offset %d %s", file, offset, detail), rejoin}
}

func otherSizes(file int, detail string) error {
	return &ringError{ErrLayout, fmt.Sprintf("file %d %s", file, detail),
		"set ring_files and ring_bytes as they were; if they were not changed, a file was cut: " + rejoin}
}

func otherFormat(file int, found string) error {
	return &ringError{ErrVersion, fmt.Sprintf("file %d is marked %q, not %q", file, found, magic), "start the version that wrote it"}
}

func ringFull(detail, remedy string) error { return &ringError{ErrFull, detail, remedy} }
