package control

import (
	"context"

	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/wal"
)

const (
	// checkpointPartRecords is how much of a checkpoint is written between other changes.
	checkpointPartRecords = 1024
	// checkpointAtPermille is the part of the log in use from which on a checkpoint is due.
	checkpointAtPermille = 350
	// tightAtPermille is that from which on new changes are refused until a checkpoint made
	// room.
	tightAtPermille = 750
	// maxBatchesPerSync bounds what one sync covers, and so how long it takes.
	maxBatchesPerSync = 512
)

// batch is what the voter wants on disk.
type batch struct {
	records    [][]byte
	checkpoint []quorum.Record // or: the state at this point, to be restated
}

// queueRecords queues records for the disk. The voter never waits for its disk: with
// maxPendingBatches waiting it is stopped.
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

// writer appends the batches that have gathered, syncs once for all of them, and notifies
// the voter. A checkpoint is written in parts between, so that it delays no change for
// long.
type writer struct {
	node          *Node
	log           *wal.Log
	remaining     []quorum.Record // still to be written
	checkpointing bool            // a checkpoint has begun
	operation     int64           // number of the last one; see storage.activeOperation
}

// run writes until ctx ends, or the disk refuses.
func (w *writer) run(ctx context.Context) error {
	for {
		batches, ok := w.gather(ctx)
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

// gather waits for batches, unless a checkpoint is to go on.
func (w *writer) gather(ctx context.Context) ([]batch, bool) {
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
	if w.log.UsedPermille() > checkpointAtPermille && !w.checkpointing {
		s.checkpointWanted.Store(true)
	}
	// A notification that finds no room is not missed: each tick looks as well.
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

// beginCheckpoint restates the state from here on. It begins with the voter set and the
// disk's incarnation, which the voter's state does not hold.
func (w *writer) beginCheckpoint(state []quorum.Record) error {
	set := *w.node.voterSet.Load()
	set.Incarnation = w.node.Incarnation()
	if err := w.log.BeginCheckpoint(); err != nil {
		return err
	}
	w.remaining, w.checkpointing = state, true
	return w.log.AppendCheckpoint([][]byte{codec.PackIdentity(&set)})
}

// continueCheckpoint writes the next part of a checkpoint that has begun.
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

// recordsSynced tells the voter what is synced, and queues a checkpoint that is wanted.
func (n *Node) recordsSynced(now int64) {
	s := &n.storage
	if s.recordsLost {
		return // what was dropped never reaches the disk, whatever is written after it
	}
	n.processReady(n.voter.RecordsSynced(now, s.syncedRecords.Load()))
	if s.checkpointWanted.Load() && s.checkpointQueued.CompareAndSwap(false, true) {
		// Behind all records that the state follows from.
		if !taskgroup.TrySend(s.pending, batch{checkpoint: n.voter.Checkpoint()}) {
			s.checkpointQueued.Store(false)
		}
	}
}
