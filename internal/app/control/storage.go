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

// logFolder is the name of the write-ahead log's folder inside the node's data folder.
const logFolder = "ring"

// Microseconds.
const (
	diskTimeout       = 5_000_000  // an operation outside the writer that takes longer counts as stalled
	closeTimeout      = 500_000    // for an operation in progress when the node stops
	minRetryDelay     = 100_000    // first delay before a failed disk is retried; doubled each time
	maxRetryDelay     = 800_000    // upper limit of the retry delay
	backoffResetAfter = 10_000_000 // a disk that was usable for longer is retried immediately
)

// maxPendingBatches is how many batches may wait for the disk; a voter that exceeds it is stopped
// with errBacklog.
const maxPendingBatches = 4096

// storage is this node's write-ahead log and the state of the disk that holds it.
//
// When a disk operation fails or stalls, the voter is stopped: it steps down from the slots that
// it leads and is discarded together with everything that was not synced. Once the disk accepts
// writes again, a new voter starts from what was synced, exactly as after a restart of the
// process, so that disk failures need no handling of their own (design §5).
type storage struct {
	folder     osdisk.Directory
	fs         wal.FS
	lock       io.Closer
	log        *wal.Log
	operations *taskgroup.Group // operations that a stalled disk may block for ever

	// Shared by the voter's loop and its writer.
	pending          chan batch    // records and checkpoints queued by the voter
	writerDone       chan struct{} // receives one value once the writer of this voter has ended
	activeOperation  atomic.Int64  // number of the writer's current operation; 0 for none
	stall            stallWatch    // used by the voter's loop
	recordsLost      bool          // used by the voter's loop: a batch was dropped, later records would leave a gap
	syncedRecords    atomic.Uint64 // records of this voter on disk
	checkpointWanted atomic.Bool   // the used part of the log exceeds the checkpoint threshold
	checkpointQueued atomic.Bool   // one is queued or being written
	usedPermille     atomic.Int64  // thousandths of the log in use

	// Used by the lifecycle goroutine.
	usableSince int64 // when the disk last became usable
	retryDelay  int64 // before the next attempt to use a failed disk

	status      atomic.Pointer[DiskStatus]
	outageCount atomic.Uint64 // number of outages of the disk
}

func (n *Node) initStorage() {
	s := &n.storage
	s.folder = osdisk.Directory{Path: filepath.Join(n.settings.DataDir, logFolder)}
	s.fs = s.folder
	if n.settings.Disk != nil {
		s.fs = n.settings.Disk(s.fs)
	}
	s.operations = taskgroup.New(context.Background(), n.daemon.Log) // never waited for without a timeout
	s.retryDelay = minRetryDelay
	s.pending = make(chan batch, maxPendingBatches)
	s.status.Store(&DiskStatus{Cause: causeStarting, sinceUS: clock.Now()})
	n.daemon.OnStop(n.closeStorage)
	n.registerDiskMetrics()
}

// closeStorage closes the log and releases the lock on its folder. While an operation is stalled,
// no other process may use the folder: closeStorage then returns after closeTimeout, and the
// folder is released when the operation ends.
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

// openStorage opens the log, or reopens it after a failure, and retries while the disk can't be
// used. It returns false when the node stops or the failure is permanent.
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
		// Waiting does not free space in a log that has no room for a checkpoint at startup.
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

// backOffUnlessStable waits before a failed disk is retried, unless it was usable for longer than
// backoffResetAfter. It returns false when the node stops.
func (s *storage) backOffUnlessStable(ctx context.Context) bool {
	if clock.Now()-s.usableSince > backoffResetAfter {
		s.retryDelay = minRetryDelay
		return ctx.Err() == nil
	}
	return s.backOff(ctx)
}

// backOff waits before the disk is retried, with exponential backoff. It returns false when the
// node stops.
func (s *storage) backOff(ctx context.Context) bool {
	ok := taskgroup.Sleep(ctx, s.retryDelay)
	s.retryDelay = min(2*s.retryDelay, maxRetryDelay)
	return ok
}

// runDiskOperation runs an operation on the disk and reports the disk as unusable while the
// operation is stalled. It returns before the operation ends if the node stops.
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
		waitCtx, cancel := context.WithTimeout(ctx, clock.Duration(diskTimeout))
		result, ok := taskgroup.Receive(waitCtx, done)
		cancel()
		if ok {
			return result.image, result.err
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		n.reportDiskUnusable(errStalled)
	}
}

// startDiskOperation runs an operation in a goroutine of storage.operations. A stalled disk may
// block it for ever, so that callers must wait for it with a timeout.
func (n *Node) startDiskOperation(name string, operation func()) {
	n.storage.operations.Go(name, func(context.Context) { operation() })
}

// resetWriter clears the state shared with the writer of a voter that has stopped.
func (s *storage) resetWriter() {
	s.recordsLost = false
	s.stall = stallWatch{}
	s.syncedRecords.Store(0)
	s.activeOperation.Store(0)
	s.checkpointWanted.Store(false)
	s.checkpointQueued.Store(false)
}
