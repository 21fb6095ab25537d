package control

import (
	"errors"

	"violetthread/wal"
)

// Reasons why the voter stops. What an operator may read names the remedy.
var (
	// errStalled: one write and sync took longer than stallTicks, or an opening longer than
	// diskTimeout.
	errStalled = errors.New("the disk does not answer; check it, and what else uses it")
	// errBacklog: maxPendingBatches batches of records wait for the disk.
	errBacklog = errors.New("the disk is slower than the records that come; check it, and what else uses it")
	// errRemoved is no fault of the disk: its seat was given to another one. The node
	// discards its state and joins anew by itself.
	errRemoved = errors.New("a newer voter set does not include this disk; the node joins anew as an empty one")
)

// isTransient tells whether a failure may pass by itself, so that waiting is worth it.
func isTransient(err error) bool {
	return errors.Is(err, wal.ErrDisk) || errors.Is(err, errStalled) || errors.Is(err, errBacklog) || errors.Is(err, wal.ErrFull)
}

// joinError is why a node is in no voter set yet, as /readyz shows it.
type joinError struct {
	Reason string // what is waited for or missing
	Remedy string // what an operator can do about it
}

func (e *joinError) Error() string { return e.Reason + "; " + e.Remedy }
