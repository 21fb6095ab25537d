package control

import (
	"context"

	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/wal"
)

const (
	checkpointPartRecords = 1024 // records written between other changes
	checkpointAtPermille  = 350  // thousandths of the ring in use
	tightAtPermille       = 750  // from here on new changes are refused until a checkpoint made room
	maxBatchesPerSync     = 512  // that one sync covers
	stallTicks            = 80   // ticks of the voter, two seconds, that one write and sync may take
)

// batch is what the voter wants on disk.
type batch struct {
	records    [][]byte
	checkpoint []quorum.Record // or: the state at this point, to be restated
}

// record queues records for the disk. The voter never waits for it: one that falls this
// far behind is stopped.
func (n *Node) queueRecords(recs []quorum.Record) {
	if len(recs) == 0 || n.storage.recordsLost {
		return
	}
	b := batch{records: make([][]byte, 0, len(recs))}
	for _, rec := range recs {
		b.records = append(b.records, codec.PackRecord(rec))
	}
	if !taskgroup.TrySend(n.storage.pending, b) {
		n.storage.recordsLost = true
		n.stopVoter(errBacklog)
	}
}

// startWriter starts the loop that keeps the voter's records.
func (n *Node) startWriter(ctx context.Context) {
	st := &n.storage
	done := make(chan struct{}, 1)
	st.writerDone = done
	w := &writer{log: st.log, node: n}
	n.startDiskOperation("disk.write", func() {
		if err := w.run(ctx); err != nil {
			n.stopVoter(err)
		}
		done <- struct{}{}
	})
}

// writer appends what has gathered, syncs once for all of it, and says so. A checkpoint
// goes out in parts between, so that it holds no change up for long.
type writer struct {
	node          *Node
	log           *wal.Log
	remaining     []quorum.Record // still to be written
	checkpointing bool            // a checkpoint has begun
	operation     int64
}

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
	st := &w.node.storage
	st.syncedRecords.Add(count)
	st.usedPermille.Store(int64(w.log.UsedPermille()))
	if w.log.UsedPermille() > checkpointAtPermille && !w.checkpointing {
		st.checkpointWanted.Store(true)
	}
	// A word that finds no room is not missed: each tick looks as well.
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

func (w *writer) beginCheckpoint(state []quorum.Record) error {
	founding := *w.node.voterSet.Load()
	founding.Inc = w.node.Incarnation()
	if err := w.log.BeginCheckpoint(); err != nil {
		return err
	}
	w.remaining, w.checkpointing = state, true
	return w.log.AppendCheckpoint([][]byte{codec.PackFounding(&founding)})
}

func (w *writer) continueCheckpoint() error {
	if !w.checkpointing {
		return nil
	}
	count := min(len(w.remaining), checkpointPartRecords)
	part := make([][]byte, 0, count)
	for _, rec := range w.remaining[:count] {
		part = append(part, codec.PackRecord(rec))
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
	w.node.daemon.Log.Info("checkpoint", "used_permille", w.log.UsedPermille())
	w.node.storage.checkpointWanted.Store(false)
	w.node.storage.checkpointQueued.Store(false)
	return nil
}

// onDisk tells the voter what is synced, and queues a checkpoint that is wanted.
func (n *Node) recordsSynced(now int64) {
	st := &n.storage
	if st.recordsLost {
		return // what was dropped never comes to lie on the disk, whatever is written after it
	}
	n.processReady(n.voter.RecordsSynced(now, st.syncedRecords.Load()))
	if st.checkpointWanted.Load() && st.checkpointQueued.CompareAndSwap(false, true) {
		// Behind all records that the state follows from.
		if !taskgroup.TrySend(st.pending, batch{checkpoint: n.voter.Checkpoint()}) {
			st.checkpointQueued.Store(false)
		}
	}
}

// stallWatch counts ticks of the voter during one operation of the disk. It counts ticks
// and not time: a frozen process does not wait for its disk.
type stallWatch struct {
	operation int64
	ticks     int
}

// stalled tells whether the operation under way has taken too long.
func (s *stallWatch) stalled(operation int64) bool {
	if operation == 0 || operation != s.operation {
		s.operation, s.ticks = operation, 0
		return false
	}
	s.ticks++
	return s.ticks >= stallTicks
}
