package control

import (
	"context"

	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/wal"
)

const (
	// checkpointPartRecords is how many records of a checkpoint are written per sync, so that
	// changes can be written between the parts.
	checkpointPartRecords = 1024
	// checkpointThresholdPermille is the used part of the log above which a checkpoint is written.
	checkpointThresholdPermille = 350
	// lowSpaceThresholdPermille is the used part of the log above which new changes are rejected
	// until a checkpoint has freed space.
	lowSpaceThresholdPermille = 750
	// maxBatchesPerSync limits how many batches one sync covers, and so how long it takes.
	maxBatchesPerSync = 512
)

// batch is a unit of work for the writer: records to append, or a checkpoint to begin.
type batch struct {
	records    [][]byte
	checkpoint []quorum.Record // if not nil: the whole state at this point, to be written as a checkpoint
}

// queueRecords queues records for the disk. The voter never blocks on its disk: if
// maxPendingBatches are already queued, it is stopped.
func (n *Node) queueRecords(records []quorum.Record) {
	if len(records) == 0 || n.storage.recordsLost {
		return
	}
	b := batch{records: make([][]byte, 0, len(records))}
	for _, record := range records {
		b.records = append(b.records, codec.PackRecord(record))
	}
	if !taskgroup.TrySend(n.storage.pending, b) {
		n.storage.recordsLost = true
		n.stopVoter(errBacklog)
	}
}

// startWriter starts the loop that writes the voter's records.
func (n *Node) startWriter(ctx context.Context) {
	s := &n.storage
	done := make(chan struct{}, 1)
	s.writerDone = done
	w := &writer{log: s.log, node: n}
	n.startDiskOperation("disk.write", func() {
		if err := w.run(ctx); err != nil {
			n.stopVoter(err)
		}
		done <- struct{}{}
	})
}

// writer appends the queued batches, syncs once for all of them (group commit), and notifies the
// voter. A checkpoint is written in parts in between, so that it does not delay changes for long.
type writer struct {
	node          *Node
	log           *wal.Log
	remaining     []quorum.Record // of the checkpoint, not yet written
	checkpointing bool            // a checkpoint is in progress
	operation     int64           // number of the last operation; see storage.activeOperation
}

// run writes batches until ctx ends or the disk fails.
func (w *writer) run(ctx context.Context) error {
	for {
		batches, ok := w.collectBatches(ctx)
		if !ok {
			return nil
		}
		w.operation++
		w.node.storage.activeOperation.Store(w.operation)
		err := w.write(batches)
		w.node.storage.activeOperation.Store(0)
		if err != nil {
			return err
		}
	}
}

// collectBatches returns the queued batches. It waits for one unless a checkpoint is in progress.
func (w *writer) collectBatches(ctx context.Context) ([]batch, bool) {
	var batches []batch
	pending := w.node.storage.pending
	if !w.checkpointing {
		b, ok := taskgroup.Receive(ctx, pending)
		if !ok {
			return nil, false
		}
		batches = append(batches, b)
	}
	for len(pending) > 0 && len(batches) < maxBatchesPerSync {
		batches = append(batches, <-pending)
	}
	return batches, ctx.Err() == nil
}

// write appends batches and the next part of a checkpoint, and syncs them.
func (w *writer) write(batches []batch) error {
	var count uint64
	for _, b := range batches {
		if err := w.append(b); err != nil {
			return err
		}
		count += uint64(len(b.records))
	}
	if err := w.continueCheckpoint(); err != nil {
		return err
	}
	if err := w.log.Sync(); err != nil {
		return err
	}
	s := &w.node.storage
	s.syncedRecords.Add(count)
	s.usedPermille.Store(int64(w.log.UsedPermille()))
	if w.log.UsedPermille() > checkpointThresholdPermille && !w.checkpointing {
		s.checkpointWanted.Store(true)
	}
	// If the queue is full, the notification may be dropped: each tick checks as well.
	taskgroup.TrySend(w.node.commands, w.node.recordsSynced)
	return nil
}

func (w *writer) append(b batch) error {
	if b.checkpoint != nil {
		return w.beginCheckpoint(b.checkpoint)
	}
	for _, data := range b.records {
		if err := w.log.Append(data); err != nil {
			return err
		}
	}
	return nil
}

// beginCheckpoint begins a checkpoint of the state. Its first record holds the voter set and the
// disk's incarnation, which are not part of the voter's state.
func (w *writer) beginCheckpoint(state []quorum.Record) error {
	set := *w.node.voterSet.Load()
	set.Incarnation = w.node.Incarnation()
	if err := w.log.BeginCheckpoint(); err != nil {
		return err
	}
	w.remaining, w.checkpointing = state, true
	return w.log.AppendCheckpoint([][]byte{codec.PackIdentity(&set)})
}

// continueCheckpoint writes the next part of a checkpoint in progress.
func (w *writer) continueCheckpoint() error {
	if !w.checkpointing {
		return nil
	}
	count := min(len(w.remaining), checkpointPartRecords)
	part := make([][]byte, 0, count)
	for _, record := range w.remaining[:count] {
		part = append(part, codec.PackRecord(record))
	}
	if err := w.log.AppendCheckpoint(part); err != nil {
		return err
	}
	if w.remaining = w.remaining[count:]; len(w.remaining) > 0 {
		return nil
	}
	return w.endCheckpoint()
}

func (w *writer) endCheckpoint() error {
	if err := w.log.EndCheckpoint(); err != nil {
		return err
	}
	w.checkpointing = false
	w.node.logCheckpoint(w.log.UsedPermille())
	w.node.storage.checkpointWanted.Store(false)
	w.node.storage.checkpointQueued.Store(false)
	return nil
}

// recordsSynced notifies the voter of the synced records, and queues a checkpoint if one is due.
func (n *Node) recordsSynced(now int64) {
	s := &n.storage
	if s.recordsLost {
		return // the count would include later records although a dropped one is missing
	}
	n.processReady(n.voter.RecordsSynced(now, s.syncedRecords.Load()))
	if s.checkpointWanted.Load() && s.checkpointQueued.CompareAndSwap(false, true) {
		// Queued behind all records that the state is derived from.
		if !taskgroup.TrySend(s.pending, batch{checkpoint: n.voter.Checkpoint()}) {
			s.checkpointQueued.Store(false)
		}
	}
}
