package control

import (
	"errors"
	"fmt"
	"testing"

	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/schema/fb"
	"violetthread/wal"
)

// newStoppedNode creates a node and stops its loops and its storage.
func newStoppedNode(t *testing.T) *Node {
	t.Helper()
	settings := Defaults()
	settings.Name, settings.Zone = "a", "north"
	settings.HTTPAddr, settings.TransportAddr = "127.0.0.1:0", "127.0.0.1:0"
	settings.DataDir = t.TempDir()
	settings.LogSegments, settings.LogSegmentBytes = 8, 64<<10
	node, err := NewNode(settings)
	if err != nil {
		t.Fatal(err)
	}
	node.Daemon().Group.Stop()
	node.closeStorage()
	return node
}

// fillDuringCheckpoint begins a checkpoint in a node's log and appends records until the log is
// full, as a voter may do during a checkpoint. It returns the number of append attempts.
func fillDuringCheckpoint(t *testing.T, node *Node, voterSet *fb.VoterSetT) int {
	t.Helper()
	config := wal.Config{SegmentCount: node.settings.LogSegments, SegmentBytes: node.settings.LogSegmentBytes}
	log, _, err := wal.Open(node.storage.fs, config)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append(codec.PackIdentity(voterSet)); err != nil {
		t.Fatal(err)
	}
	if err := log.BeginCheckpoint(); err != nil {
		t.Fatal(err)
	}
	written := 0
	for err == nil {
		written++
		position := quorum.Position{Term: 1, Index: uint64(written)}
		entry := quorum.Entry{Key: fmt.Sprint("key", written%10), Position: position, Revision: uint64(written), Value: make([]byte, 2000)}
		err = log.Append(codec.PackRecord(quorum.Record{Type: quorum.RecordEntry, Slot: 3, Term: 1, Last: position, Entry: entry}))
	}
	if !errors.Is(err, wal.ErrFull) {
		t.Fatal(err)
	}
	if err := errors.Join(log.Sync(), log.Close()); err != nil {
		t.Fatal(err)
	}
	return written
}

// TestCheckpointOnStartWithFullLog: a process may end during a checkpoint after concurrent
// appends have used up the space that is reserved for it. It must still start, write a checkpoint
// before anything else, and lose no state.
func TestCheckpointOnStartWithFullLog(t *testing.T) {
	node := newStoppedNode(t)
	voterSet := &fb.VoterSetT{Incarnation: 7, Revision: quorum.FirstRevision(9), Voters: []*fb.VoterT{{Name: "a", Addr: node.settings.TransportAddr, Incarnation: 7, Number: 1}}}
	written := fillDuringCheckpoint(t, node, voterSet)

	node.storage.log, node.storage.lock = nil, nil
	image, err := node.readDisk()
	if err != nil {
		t.Fatalf("a log filled with %d records does not open: %v", written, err)
	}
	if used := node.storage.log.UsedPermille(); used > lowSpaceThresholdPermille {
		t.Fatalf("%d thousandths of the log are used after the start", used)
	}
	if err := node.persistVoterSet(voterSet); err != nil {
		t.Fatal(err)
	}
	data, err := node.storage.log.Reopen()
	if err != nil {
		t.Fatal(err)
	}
	after, err := decodeImage(data)
	if err != nil || after.incarnation != image.incarnation || after.voterSet == nil {
		t.Fatalf("%+v, %v", after, err)
	}
	before := node.newVoter(image.voterSet, image.incarnation, image.records).Status(0)
	for i, slot := range node.newVoter(after.voterSet, after.incarnation, after.records).Status(0) {
		if slot.Keys != before[i].Keys || slot.Last != before[i].Last {
			t.Fatalf("slot %d is %+v after the checkpoint, was %+v", i, slot, before[i])
		}
	}
}
