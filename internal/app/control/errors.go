package control

import (
	"errors"

	"violetthread/wal"
)

// Reasons why the voter stops. Operators see these messages, so that each names the remedy.
var (
	// errStalled: one write and sync took longer than stallTicks, or an operation outside the
	// writer, such as opening the log, took longer than diskTimeout.
	errStalled = errors.New("the disk does not answer; check it, and what else uses it")
	// errBacklog: maxPendingBatches batches of records are already waiting for the disk.
	errBacklog = errors.New("the disk is too slow for the rate of new records; check it, and what else uses it")
	// errRemoved is not a disk failure: the disk was removed from the voter set. The node
	// discards its state and joins again without an operator's help.
	errRemoved = errors.New("a newer voter set does not include this disk; the node joins again as an empty node")
)

// isTransient reports whether a failure may end without intervention, so that it is worth
// retrying.
func isTransient(err error) bool {
	return errors.Is(err, wal.ErrDisk) || errors.Is(err, errStalled) || errors.Is(err, errBacklog) || errors.Is(err, wal.ErrFull)
}

// joinError says why a node is in no voter set yet; /readyz shows it.
type joinError struct {
	Reason string // what the node is waiting for or what is missing
	Remedy string // what an operator can do about it
}

func (e *joinError) Error() string { return e.Reason + "; " + e.Remedy }
