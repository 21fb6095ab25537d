package control

import (
	"context"
	"errors"
	"io"
	"path/filepath"
	"sync/atomic"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/wal"
	"violetthread/wal/osdisk"
)

// logFolder is the folder of the write-ahead log in the node's data folder.
const logFolder = "ring"

// Microseconds.
const (
	diskTimeout   = 5_000_000  // an opening that takes longer counts as stalled
	closeTimeout  = 500_000    // when the node stops, for an operation under way
	minRetryDelay = 100_000    // between attempts to use a disk in trouble, doubled each time
	maxRetryDelay = 800_000    // the doubling ends here
	steadyAfter   = 10_000_000 // usable for so long, a disk is tried again at once
)

// maxPendingBatches is how far the voter may be ahead of its disk; one that falls further
// behind is stopped with errBacklog.
const maxPendingBatches = 4096

// storage is this node's write-ahead log and what is known of the disk below it.
//
// A disk that refuses an operation, or does not answer, stops the voter: it gives up the
// slots that it leads and is thrown away, with all that was not synced. Once the disk
// takes writes again, another voter begins from what was synced, exactly as after a
// restart of the process; so a disk in trouble needs no rule of its own (design §5).
type storage struct {
	folder     osdisk.Directory
	fs         wal.FS
	lock       io.Closer
	log        *wal.Log
	operations *taskgroup.Group // operations that a stalled disk may hold up for ever

	// Between the voter's loop and its writer.
	pending          chan batch    // records that the voter wants on disk
	writerDone       chan struct{} // receives one value once the writer of this voter has ended
	activeOperation  atomic.Int64  // number of the writer's operation under way; 0: none
	stall            stallWatch    // of the voter's loop
	recordsLost      bool          // of the voter's loop: a batch was dropped, its records are incomplete
	syncedRecords    atomic.Uint64 // records of this voter on disk
	checkpointWanted atomic.Bool   // the log is full enough for one
	checkpointQueued atomic.Bool   // one is queued or being written
	usedPermille     atomic.Int64  // thousandths of the log in use

	// Of the lifecycle's goroutine.
	usableSince int64 // when the disk last became usable
	retryDelay  int64 // before the next attempt to use a disk in trouble

	status       atomic.Pointer[DiskStatus]
	troubleCount atomic.Uint64 // times that the disk stopped this node
}

func (n *Node) initStorage() {
	s := &n.storage
	s.folder = osdisk.Directory{Path: filepath.Join(n.settings.DataDir, logFolder)}
	s.fs = s.folder
	if n.settings.Disk != nil {
		s.fs = n.settings.Disk(s.fs)
	}
	s.operations = taskgroup.New(context.Background(), n.daemon.Log) // waited for within bounds alone
	s.retryDelay = minRetryDelay
	s.pending = make(chan batch, maxPendingBatches)
	s.status.Store(&DiskStatus{Cause: causeStarting, sinceUS: clock.Now()})
	n.daemon.OnStop(n.closeStorage)
	n.registerDiskMetrics()
}

// closeStorage gives the folder back. While an operation is stalled no other process may
// use the folder: this returns without closing it then, and it is closed when the
// operation ends.
func (n *Node) closeStorage() {
	s := &n.storage
	closed := make(chan struct{}, 1)
	taskgroup.New(context.Background(), n.daemon.Log).Go("disk.close", func(context.Context) {
		s.operations.Stop()
		if s.log != nil {
			_ = s.log.Close()
		}
		if s.lock != nil {
			_ = s.lock.Close()
		}
		closed <- struct{}{}
	})
	ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(closeTimeout))
	defer cancel()
	taskgroup.Receive(ctx, closed)
}

// openStorage opens the log, or opens it anew after trouble, and waits for as long as the
// disk can't be used. It returns false when the node ends.
func (n *Node) openStorage(ctx context.Context) bool {
	for {
		image, err := n.runDiskOperation(ctx, n.readDisk)
		switch {
		case ctx.Err() != nil:
			return false
		case err == nil:
			n.loadImage(image)
			n.reportDiskUsable()
			return true
		// A log without room for a checkpoint at its start gets none by waiting.
		case !isTransient(err) || errors.Is(err, wal.ErrFull):
			n.daemon.Fail(err)
			return false
		}
		n.reportDiskUnusable(err)
		if !n.storage.backOff(ctx) {
			return false
		}
	}
}

// retryAfterTrouble waits before a disk that was usable is tried again, unless it was so for a while.
func (s *storage) retryAfterTrouble(ctx context.Context) bool {
	if clock.Now()-s.usableSince > steadyAfter {
		s.retryDelay = minRetryDelay
		return ctx.Err() == nil
	}
	return s.backOff(ctx)
}

// backOff waits before the disk is tried again, longer each time until it has been usable
// for a while.
func (s *storage) backOff(ctx context.Context) bool {
	ok := taskgroup.Sleep(ctx, s.retryDelay)
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
	return ok
}

// runDiskOperation runs an operation on the disk, and tells operators if it stalls. It returns
// without the operation's end when the node ends.
func (n *Node) runDiskOperation(ctx context.Context, operation func() (*diskImage, error)) (*diskImage, error) {
	type outcome struct {
		image *diskImage
		err   error
	}
	done := make(chan outcome, 1)
	n.startDiskOperation("disk.try", func() {
		image, err := operation()
		done <- outcome{image, err}
	})
	for {
		patience, cancel := context.WithTimeout(ctx, clock.Duration(diskTimeout))
		ended, ok := taskgroup.Receive(patience, done)
		cancel()
		if ok {
			return ended.image, ended.err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		n.reportDiskUnusable(errStalled)
	}
}

// startDiskOperation runs an operation in a goroutine of storage.operations. A stalled disk
// may hold it up for ever, so whoever waits for it sets a bound.
func (n *Node) startDiskOperation(name string, operation func()) {
	n.storage.operations.Go(name, func(context.Context) { operation() })
}

// resetWriter forgets the writer of a voter that has stopped.
func (s *storage) resetWriter() {
	s.recordsLost = false
	s.stall = stallWatch{}
	s.syncedRecords.Store(0)
	s.activeOperation.Store(0)
	s.checkpointWanted.Store(false)
	s.checkpointQueued.Store(false)
}
