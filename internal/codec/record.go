package codec

import (
	flatbuffers "github.com/google/flatbuffers/go"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

// identityRecord is the type of the record that identifies the fleet, and the incarnation of
// the disk, to which a write-ahead log belongs. The record types of package quorum are
// smaller numbers.
const identityRecord = 200

const recordBuilderBytes = 256 // initial size of a record's builder

// PackRecord encodes a record of the write-ahead log.
func PackRecord(r quorum.Record) []byte {
	t := &fb.RecordT{
		Type:      byte(r.Type),
		Slot:      r.Slot,
		Term:      r.Term,
		Last:      packPosition(r.Last),
		Committed: packPosition(r.Committed),
	}
	if r.Type == quorum.RecordEntry || r.Type == quorum.RecordDelete {
		t.Entry = packEntry(r.Entry)
	}
	if r.VoterSet != nil {
		t.VoterSet = PackVoterSet(*r.VoterSet, 0)
	}
	return encodeRecord(t)
}

// PackIdentity encodes the record that identifies the fleet, and the incarnation of the disk,
// to which a write-ahead log belongs.
func PackIdentity(set *fb.VoterSetT) []byte {
	return encodeRecord(&fb.RecordT{Type: identityRecord, VoterSet: set})
}

func encodeRecord(t *fb.RecordT) []byte {
	builder := flatbuffers.NewBuilder(recordBuilderBytes)
	builder.Finish(t.Pack(builder))
	return builder.FinishedBytes()
}

// UnpackRecord decodes a record of the write-ahead log. For a record of PackIdentity it
// returns identity and an empty r. The error is a *FormatError.
func UnpackRecord(b []byte) (r quorum.Record, identity *fb.VoterSetT, err error) {
	if err := Verify(b, recordType); err != nil {
		return r, nil, err
	}
	t := fb.GetRootAsRecord(b, 0).UnPack()
	if t.Type == identityRecord {
		if t.VoterSet == nil {
			return r, nil, &FormatError{"identity without a voter set"}
		}
		return r, t.VoterSet, nil
	}
	r = quorum.Record{
		Type:      quorum.RecordType(t.Type),
		Slot:      t.Slot,
		Term:      t.Term,
		Last:      unpackPosition(t.Last),
		Committed: unpackPosition(t.Committed),
		Entry:     unpackEntry(t.Entry),
	}
	if t.VoterSet != nil {
		set := UnpackVoterSet(t.VoterSet)
		r.VoterSet = &set
	}
	return r, nil, nil
}
