// Package wire turns messages into frames and back.
package codec

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"slices"

	flatbuffers "github.com/google/flatbuffers/go"
	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

// MaxFrame bounds a frame before anything is allocated for it.
const MaxFrameBytes = 32 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode packs a frame with its length and checksum in front.
func Encode(f *fb.FrameT) []byte {
	b := flatbuffers.NewBuilder(512)
	b.Finish(f.Pack(b))
	d := b.FinishedBytes()
	out := make([]byte, 8, 8+len(d))
	binary.LittleEndian.PutUint32(out, uint32(len(d)))
	binary.LittleEndian.PutUint32(out[4:], crc32.Checksum(d, castagnoli))
	return append(out, d...)
}

// Decode unpacks the body of a frame.
func Decode(d []byte) (*fb.FrameT, error) {
	if err := Verify(d, frameType); err != nil {
		return nil, err
	}
	return fb.GetRootAsFrame(d, 0).UnPack(), nil
}

// Read takes one frame from r.
func ReadFrame(r io.Reader) (*fb.FrameT, error) {
	var h [8]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, err
	}
	n := binary.LittleEndian.Uint32(h[:])
	if n > MaxFrameBytes {
		return nil, trace.LimitExceeded("a frame of %d bytes is over %d; this is no wire of ours", n, MaxFrameBytes)
	}
	d, err := readBody(r, int(n))
	if err != nil {
		return nil, err
	}
	if crc32.Checksum(d, castagnoli) != binary.LittleEndian.Uint32(h[4:]) {
		return nil, bad("checksum")
	}
	return Decode(d)
}

// bodyStep is how much memory a frame's body gets before any of it has come; then it gets
// as much again as came.
const bodyStep = 64 << 10

// readBody reads n bytes, and takes no memory for bytes that do not come.
func readBody(r io.Reader, n int) ([]byte, error) {
	body := make([]byte, 0, min(n, bodyStep))
	for len(body) < n {
		body = slices.Grow(body, min(n-len(body), max(len(body), bodyStep)))
		came := len(body)
		body = body[:min(n, cap(body))]
		if _, err := io.ReadFull(r, body[came:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF // within a frame
			}
			return nil, err
		}
	}
	return body, nil
}

func ver(v quorum.Position) *fb.PositionT {
	if v == (quorum.Position{}) {
		return nil
	}
	return &fb.PositionT{Term: v.Term, Index: v.Index}
}

func unver(v *fb.PositionT) quorum.Position {
	if v == nil {
		return quorum.Position{}
	}
	return quorum.Position{Term: v.Term, Index: v.Index}
}

func entry(e quorum.Entry) *fb.EntryT {
	return &fb.EntryT{Key: e.Key, Position: ver(e.Position), Revision: e.Revision, Value: e.Value}
}

func unentry(e *fb.EntryT) quorum.Entry {
	if e == nil {
		return quorum.Entry{}
	}
	return quorum.Entry{Key: e.Key, Position: unver(e.Position), Revision: e.Revision, Value: e.Value}
}

// Settle packs a voters' message.
func PackMessage(m quorum.Message) *fb.FrameT {
	return &fb.FrameT{VoterMessage: &fb.VoterMessageT{Type: byte(m.Type), From: m.From, Incarnation: m.Incarnation, VoterSetRevision: m.VoterSetRevision,
		Slot: m.Slot, Term: m.Term, Time: m.Time, Previous: ver(m.Previous), Last: ver(m.Last), Committed: ver(m.Committed),
		LogTerm: m.LogTerm, Joining: m.Joining, Keys: m.Keys, Promised: m.Promised, Generation: m.Generation, More: m.More,
		Entries: lo.Map(m.Entries, func(e quorum.Entry, _ int) *fb.EntryT { return entry(e) }),
		Progress: lo.Map(m.Progress, func(k quorum.SlotProgress, _ int) *fb.SlotProgressT {
			return &fb.SlotProgressT{Slot: k.Slot, Term: k.Term, Last: ver(k.Last), Committed: ver(k.Committed), Recovered: k.Recovered}
		})}}
}

// Unsettle unpacks a voters' message.
func UnpackMessage(t *fb.VoterMessageT) quorum.Message {
	return quorum.Message{Type: quorum.MessageType(t.Type), From: t.From, Incarnation: t.Incarnation, VoterSetRevision: t.VoterSetRevision,
		Slot: t.Slot, Term: t.Term, Time: t.Time, Previous: unver(t.Previous), Last: unver(t.Last), Committed: unver(t.Committed),
		LogTerm: t.LogTerm, Joining: t.Joining, Keys: t.Keys, Promised: t.Promised, Generation: t.Generation, More: t.More,
		Entries: lo.Map(t.Entries, func(e *fb.EntryT, _ int) quorum.Entry { return unentry(e) }),
		Progress: lo.Map(t.Progress, func(k *fb.SlotProgressT, _ int) quorum.SlotProgress {
			return quorum.SlotProgress{Slot: k.Slot, Term: k.Term, Last: unver(k.Last), Committed: unver(k.Committed), Recovered: k.Recovered}
		})}
}

// Rec packs a record for the disk.
func PackRecord(r quorum.Record) []byte {
	t := &fb.RecordT{Type: byte(r.Type), Slot: r.Slot, Term: r.Term, Last: ver(r.Last), Committed: ver(r.Committed)}
	if r.Type == quorum.RecordEntry || r.Type == quorum.RecordDelete {
		t.Entry = entry(r.Entry)
	}
	if r.VoterSet != nil {
		t.VoterSet = PackVoterSet(*r.VoterSet, 0)
	}
	return packRec(t)
}

func packRec(t *fb.RecordT) []byte {
	b := flatbuffers.NewBuilder(256)
	b.Finish(t.Pack(b))
	return b.FinishedBytes()
}

// kindFounding marks the record that tells which fleet a ring belongs to.
const kindFounding = 200

// Founding packs the record that tells which fleet a ring belongs to.
func PackIdentity(f *fb.VoterSetT) []byte {
	return packRec(&fb.RecordT{Type: kindFounding, VoterSet: f})
}

// Unrec unpacks what the disk held; founding is set on that record alone.
func UnpackRecord(d []byte) (r quorum.Record, founding *fb.VoterSetT, err error) {
	if err := Verify(d, recType); err != nil {
		return r, nil, err
	}
	t := fb.GetRootAsRecord(d, 0).UnPack()
	if t.Type == kindFounding {
		if t.VoterSet == nil {
			return r, nil, bad("founding")
		}
		return r, t.VoterSet, nil
	}
	if t.VoterSet != nil {
		ro := UnpackVoterSet(t.VoterSet)
		r.VoterSet = &ro
	}
	return quorum.Record{VoterSet: r.VoterSet, Type: quorum.RecordType(t.Type), Slot: t.Slot, Term: t.Term, Last: unver(t.Last),
		Committed: unver(t.Committed), Entry: unentry(t.Entry)}, nil, nil
}

// Roster packs a roster, with the incarnation of the disk it lies on.
func PackVoterSet(ro quorum.VoterSet, inc uint64) *fb.VoterSetT {
	return &fb.VoterSetT{Fleet: ro.Fleet(), Incarnation: inc, Revision: ro.Revision, Seats: ro.Seats, Voters: lo.Map(ro.Voters, func(v quorum.Voter, _ int) *fb.VoterT {
		return &fb.VoterT{Name: v.Name, Addr: v.Addr, Incarnation: v.Incarnation, Number: v.Number}
	})}
}

// Unroster unpacks a roster.
func UnpackVoterSet(f *fb.VoterSetT) quorum.VoterSet {
	return quorum.VoterSet{Revision: f.Revision, Seats: f.Seats, Voters: lo.Map(f.Voters, func(v *fb.VoterT, _ int) quorum.Voter {
		return quorum.Voter{Name: v.Name, Addr: v.Addr, Incarnation: v.Incarnation, Number: v.Number}
	})}
}
