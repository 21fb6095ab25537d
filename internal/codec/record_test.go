package codec

import (
	"math/rand"
	"testing"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

// diskRecords returns encoded records of each type.
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

// readRecord decodes a record and encodes it again.
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

// TestDamagedRecords: decoding a record that is truncated at any byte, or has any one byte
// changed, returns a record or an error and never panics. One of less than 4 bytes is an error.
func TestDamagedRecords(t *testing.T) {
	rng := rand.New(rand.NewSource(5))
	for i, whole := range diskRecords() {
		if err := readRecord(whole); err != nil {
			t.Fatalf("record %d: %v", i, err)
		}
		for n := range whole {
			truncated := append([]byte(nil), whole[:n]...)
			_ = readRecord(truncated)
			if err := readRecord(truncated); n < 4 && err == nil {
				t.Fatalf("record %d truncated to %d bytes was decoded", i, n)
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
