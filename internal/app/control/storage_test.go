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

// TestRoomAtStart: a process that ended during a checkpoint, with the room that is kept
// for it used up by what was appended meanwhile, starts all the same: it restates its
// state before anything else is written, and has all of it.
func TestRoomAtStart(t *testing.T) {
	s := Defaults()
	s.Name, s.Zone, s.HTTPAddr, s.TransportAddr, s.DataDir = "a", "north", "127.0.0.1:0", "127.0.0.1:0", t.TempDir()
	s.LogSegments, s.LogSegmentBytes = 8, 64<<10
	node, err := NewNode(s)
	if err != nil {
		t.Fatal(err)
	}
	node.Daemon().Group.Stop()
	node.closeStorage()

	log, _, err := wal.Open(node.storage.fs, wal.Config{SegmentCount: s.LogSegments, SegmentBytes: s.LogSegmentBytes})
	if err != nil {
		t.Fatal(err)
	}
	founding := &fb.FoundingT{Inc: 7, Rev: quorum.FirstRevision(9), Voters: []*fb.VoterT{{Name: "a", Addr: s.TransportAddr, Inc: 7, Num: 1}}}
	if err := log.Append(codec.PackFounding(founding)); err != nil {
		t.Fatal(err)
	}
	if err := log.BeginCheckpoint(); err != nil {
		t.Fatal(err)
	}
	written := 0
	for err == nil {
		written++
		version := quorum.Position{Term: 1, Index: uint64(written)}
		entry := quorum.Entry{Key: fmt.Sprint("key", written%10), Position: version, Revision: uint64(written), Value: make([]byte, 2000)}
		err = log.Append(codec.PackRecord(quorum.Record{Type: quorum.RecordEntry, Slot: 3, Term: 1, Last: version, Entry: entry}))
	}
	if !errors.Is(err, wal.ErrFull) {
		t.Fatal(err)
	}
	if err := errors.Join(log.Sync(), log.Close()); err != nil {
		t.Fatal(err)
	}

	node.storage.log, node.storage.lock = nil, nil
	image, err := node.readDisk()
	if err != nil {
		t.Fatalf("a ring that is %d records full does not open: %v", written, err)
	}
	if used := node.storage.log.UsedPermille(); used > tightAtPermille {
		t.Fatalf("%d thousandths are used after the start", used)
	}
	if err := node.persistVoterSet(founding); err != nil {
		t.Fatal(err)
	}
	again, err := node.storage.log.Reopen()
	if err != nil {
		t.Fatal(err)
	}
	after, err := decodeImage(again)
	if err != nil || after.incarnation != image.incarnation || after.voterSet == nil {
		t.Fatalf("%+v, %v", after, err)
	}
	before := node.newVoter(image.voterSet, image.incarnation, image.records).Status(0)
	for i, slot := range node.newVoter(after.voterSet, after.incarnation, after.records).Status(0) {
		if slot.Keys != before[i].Keys || slot.Last != before[i].Last {
			t.Fatalf("slot %d has %+v, had %+v", i, slot, before[i])
		}
	}
}
