package sim

import (
	"errors"

	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/wal"
)

// Parts of the log in use, in thousandths, and records of a checkpoint, as in the daemon
// (internal/app/control).
const (
	checkpointPermille = 350
	checkpointBatch    = 40 // records that are written with one sync
)

// sync begins a sync of the disk, unless one is under way.
func (n *ControlNode) sync() {
	if n.syncing {
		return
	}
	n.syncing = true
	n.After(400+n.cluster.world.Rng.Int63n(3000)+n.Disk.SyncDelayUS, n.syncDone)
}

// syncDone syncs the log, tells the voter, and begins the next sync if records came meanwhile.
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
		return // a day ended the process
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
// its start, if the process ended in the midst of one.
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

// advanceCheckpoint writes a part of one with each sync, as the daemon does between changes.
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

// fail ends the process for good after an error of its disk. A full log makes it start
// anew, as the daemon's voter does, with a checkpoint first.
func (n *ControlNode) fail(err error) {
	if errors.Is(err, wal.ErrFull) && n.node != nil {
		n.cluster.world.Notef("%s begins anew: %v", n.Name, err)
		n.node = nil
		n.Kill()
		n.Start()
		return
	}
	n.Failure = err
	n.cluster.world.Notef("%s ends: %v", n.Name, err)
	if errors.Is(err, wal.ErrCorrupt) {
		n.cluster.world.Violation("ring", "%s can't read its ring: %v", n.Name, err)
	}
	n.node = nil
	n.Kill()
}

// LosePower cuts a node's power and loses what its disk had not synced.
func (n *ControlNode) LosePower() {
	n.Kill()
	n.Disk.PowerLoss()
	n.cluster.world.Notef("%s lost its power", n.Name)
}

// loseDisk ends the machine, which comes back with an empty disk.
func (n *ControlNode) loseDisk() {
	n.Kill()
	n.Disk.Wipe()
	n.incarnation, n.voterSet = n.cluster.newIncarnation(), quorum.VoterSet{}
}
