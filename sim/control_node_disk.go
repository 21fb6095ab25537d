package sim

import (
	"errors"

	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/wal"
)

// Settings of checkpoints, as in the daemon (internal/app/control): the used part of the log,
// in thousandths, above which one begins, and the records written with one sync.
const (
	checkpointPermille = 350
	checkpointBatch    = 40 // records written with one sync
)

// sync begins a sync of the disk, unless one is under way.
func (n *ControlNode) sync() {
	if n.syncing {
		return
	}
	n.syncing = true
	n.After(400+n.cluster.world.Rng.Int63n(3000)+n.Disk.SyncDelayUS, n.syncDone)
}

// syncDone syncs the log, notifies the voter, and begins the next sync if records were
// appended meanwhile.
func (n *ControlNode) syncDone() {
	n.syncing = false
	issued := n.recordsIssued
	if err := n.log.Sync(); err != nil {
		n.fail(err)
		return
	}
	if err := n.advanceCheckpoint(); err != nil {
		n.fail(err)
		return
	}
	if !n.up {
		return // a hook ended the process
	}
	if n.cluster.beforeSynced != nil && n.cluster.beforeSynced(n) {
		return
	}
	n.handle(n.node.RecordsSynced(n.Clock(), issued))
	if n.Failure == nil && n.recordsIssued > issued {
		n.sync()
	}
}

// checkpointIfFull writes a checkpoint before anything else is written, as the daemon does at
// its start, in case the process ended during a checkpoint.
func (n *ControlNode) checkpointIfFull() error {
	if n.log.UsedPermille() <= checkpointPermille {
		return nil
	}
	return n.log.Checkpoint(packRecords(n.node.Checkpoint()))
}

func packRecords(records []quorum.Record) [][]byte {
	var packed [][]byte
	for _, record := range records {
		packed = append(packed, codec.PackRecord(record))
	}
	return packed
}

// advanceCheckpoint writes a part of the checkpoint with each sync, as the daemon does between
// changes, and begins one if the log is filled far enough.
func (n *ControlNode) advanceCheckpoint() error {
	if n.node == nil {
		return nil
	}
	if !n.checkpointing {
		return n.beginCheckpoint()
	}
	batch := checkpointBatch
	if n.cluster.beforeCheckpointRecord != nil {
		if n.cluster.beforeCheckpointRecord(n, n.checkpointSize-len(n.checkpointRest), n.checkpointSize) {
			return nil
		}
		batch = 1
	}
	batch = min(batch, len(n.checkpointRest))
	packed := packRecords(n.checkpointRest[:batch])
	n.checkpointRest = n.checkpointRest[batch:]
	if err := n.log.AppendCheckpoint(packed); err != nil || len(n.checkpointRest) > 0 {
		return err
	}
	n.checkpointing = false
	return n.log.EndCheckpoint()
}

func (n *ControlNode) beginCheckpoint() error {
	if n.log.UsedPermille() <= checkpointPermille {
		return nil
	}
	n.checkpointing, n.checkpointRest = true, n.node.Checkpoint()
	n.cluster.world.Notef("%s begins a checkpoint of %d", n.Name, len(n.checkpointRest))
	n.Checkpoints++
	n.checkpointSize = len(n.checkpointRest)
	return n.log.BeginCheckpoint()
}

// fail ends the process for good after an error of its disk. If the log is full, the process
// restarts and writes a checkpoint first, as the daemon's voter does.
func (n *ControlNode) fail(err error) {
	if errors.Is(err, wal.ErrFull) && n.node != nil {
		n.cluster.world.Notef("%s restarts: %v", n.Name, err)
		n.node = nil
		n.Kill()
		n.Start()
		return
	}
	n.Failure = err
	n.cluster.world.Notef("%s ends: %v", n.Name, err)
	if errors.Is(err, wal.ErrCorrupt) {
		n.cluster.world.Violation("ring", "%s cannot read its log: %v", n.Name, err)
	}
	n.node = nil
	n.Kill()
}

// LosePower cuts a node's power; writes that its disk had not synced may be lost.
func (n *ControlNode) LosePower() {
	n.Kill()
	n.Disk.PowerLoss()
	n.cluster.world.Notef("%s loses power", n.Name)
}

// loseDisk kills the node and empties its disk. The node comes back with a new incarnation.
func (n *ControlNode) loseDisk() {
	n.Kill()
	n.Disk.Wipe()
	n.incarnation, n.voterSet = n.cluster.newIncarnation(), quorum.VoterSet{}
}
