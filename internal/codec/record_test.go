package codec

import (
	"math/rand"
	"testing"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

// diskRecords is one record of each type, as they lie on a disk.
func diskRecords() [][]byte {
	voterSet := quorum.VoterSet{Revision: quorum.FirstRevision(5), Voters: []quorum.Voter{{Name: "a", Addr: "10.0.0.1:1", Incarnation: 3, Number: 1}}}
	entry := quorum.Entry{Key: "plan", Position: quorum.Position{Term: 3, Index: 9}, Revision: 4, Value: []byte("{}")}
	return [][]byte{
		PackRecord(quorum.Record{Type: quorum.RecordPromise, Slot: 1, Term: 65537}),
		PackRecord(quorum.Record{Type: quorum.RecordEntry, Slot: 2, Term: 3, Last: quorum.Position{Term: 3, Index: 9}, Committed: quorum.Position{Term: 3, Index: 8}, Entry: entry}),
		PackRecord(quorum.Record{Type: quorum.RecordDelete, Slot: 2, Entry: quorum.Entry{Key: "gone"}}),
		PackRecord(quorum.Record{Type: quorum.RecordLogState, Slot: 2, Term: 4, Last: quorum.Position{Term: 4}}),
		PackRecord(quorum.Record{Type: quorum.RecordVoterSet, VoterSet: &voterSet}),
		PackIdentity(PackVoterSet(voterSet, 3)),
		PackIdentity(&fb.VoterSetT{Incarnation: 8}),
	}
}

// readRecord reads a record of any content, and the voter set in it.
func readRecord(b []byte) error {
	rec, identity, err := UnpackRecord(b)
	if err != nil {
		return err
	}
	if identity != nil {
		_ = UnpackVoterSet(identity)
		_ = PackIdentity(identity)
		return nil
	}
	_ = PackRecord(rec)
	return nil
}

// TestDamagedRecords: records that were cut at any byte or have any byte changed end in
// a record or an error, never in a panic; cut ones mostly in an error.
func TestDamagedRecords(t *testing.T) {
	rng := rand.New(rand.NewSource(5))
	for i, whole := range diskRecords() {
		if err := readRecord(whole); err != nil {
			t.Fatalf("record %d: %v", i, err)
		}
		for n := range whole {
			cut := append([]byte(nil), whole[:n]...)
			_ = readRecord(cut)
			if err := readRecord(cut); n < 4 && err == nil {
				t.Fatalf("record %d cut to %d bytes was read", i, n)
			}
			flipped := append([]byte(nil), whole...)
			flipped[n] ^= byte(1 + rng.Intn(255))
			_ = readRecord(flipped)
		}
	}
}

func FuzzUnpackRecord(f *testing.F) {
	for _, b := range diskRecords() {
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) { _ = readRecord(b) })
}
