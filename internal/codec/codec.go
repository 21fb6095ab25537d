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

func ver(v quorum.Position) *fb.VerT {
	if v == (quorum.Position{}) {
		return nil
	}
	return &fb.VerT{Epoch: v.Term, Seq: v.Index}
}

func unver(v *fb.VerT) quorum.Position {
	if v == nil {
		return quorum.Position{}
	}
	return quorum.Position{Term: v.Epoch, Index: v.Seq}
}

func entry(e quorum.Entry) *fb.EntryT {
	return &fb.EntryT{Key: e.Key, Ver: ver(e.Position), Rev: e.Revision, Val: e.Value}
}

func unentry(e *fb.EntryT) quorum.Entry {
	if e == nil {
		return quorum.Entry{}
	}
	return quorum.Entry{Key: e.Key, Position: unver(e.Ver), Revision: e.Rev, Value: e.Val}
}

// Settle packs a voters' message.
func PackMessage(m quorum.Message) *fb.FrameT {
	return &fb.FrameT{Settle: &fb.SettleT{Kind: byte(m.Type), From: m.From, Inc: m.Incarnation, Roster: m.VoterSetRevision,
		Slot: m.Slot, Epoch: m.Term, At: m.Time, Prev: ver(m.Previous), Mark: ver(m.Last), Settled: ver(m.Committed),
		Joined: m.LogTerm, First: m.Joining, Keys: m.Keys, Promised: m.Promised, Era: m.Generation, More: m.More,
		Entries: lo.Map(m.Entries, func(e quorum.Entry, _ int) *fb.EntryT { return entry(e) }),
		Marks: lo.Map(m.Progress, func(k quorum.SlotProgress, _ int) *fb.MarkT {
			return &fb.MarkT{Slot: k.Slot, Epoch: k.Term, Last: ver(k.Last), Settled: ver(k.Committed), Firm: k.Recovered}
		})}}
}

// Unsettle unpacks a voters' message.
func UnpackMessage(t *fb.SettleT) quorum.Message {
	return quorum.Message{Type: quorum.MessageType(t.Kind), From: t.From, Incarnation: t.Inc, VoterSetRevision: t.Roster,
		Slot: t.Slot, Term: t.Epoch, Time: t.At, Previous: unver(t.Prev), Last: unver(t.Mark), Committed: unver(t.Settled),
		LogTerm: t.Joined, Joining: t.First, Keys: t.Keys, Promised: t.Promised, Generation: t.Era, More: t.More,
		Entries: lo.Map(t.Entries, func(e *fb.EntryT, _ int) quorum.Entry { return unentry(e) }),
		Progress: lo.Map(t.Marks, func(k *fb.MarkT, _ int) quorum.SlotProgress {
			return quorum.SlotProgress{Slot: k.Slot, Term: k.Epoch, Last: unver(k.Last), Committed: unver(k.Settled), Recovered: k.Firm}
		})}
}

// Rec packs a record for the disk.
func PackRecord(r quorum.Record) []byte {
	t := &fb.RecT{Kind: byte(r.Type), Slot: r.Slot, Epoch: r.Term, Mark: ver(r.Last), Settled: ver(r.Committed)}
	if r.Type == quorum.RecordEntry || r.Type == quorum.RecordDelete {
		t.Entry = entry(r.Entry)
	}
	if r.VoterSet != nil {
		t.Founding = PackVoterSet(*r.VoterSet, 0)
	}
	return packRec(t)
}

func packRec(t *fb.RecT) []byte {
	b := flatbuffers.NewBuilder(256)
	b.Finish(t.Pack(b))
	return b.FinishedBytes()
}

// kindFounding marks the record that tells which fleet a ring belongs to.
const kindFounding = 200

// Founding packs the record that tells which fleet a ring belongs to.
func PackFounding(f *fb.FoundingT) []byte { return packRec(&fb.RecT{Kind: kindFounding, Founding: f}) }

// Unrec unpacks what the disk held; founding is set on that record alone.
func UnpackRecord(d []byte) (r quorum.Record, founding *fb.FoundingT, err error) {
	if err := Verify(d, recType); err != nil {
		return r, nil, err
	}
	t := fb.GetRootAsRec(d, 0).UnPack()
	if t.Kind == kindFounding {
		if t.Founding == nil {
			return r, nil, bad("founding")
		}
		return r, t.Founding, nil
	}
	if t.Founding != nil {
		ro := UnpackVoterSet(t.Founding)
		r.VoterSet = &ro
	}
	return quorum.Record{VoterSet: r.VoterSet, Type: quorum.RecordType(t.Kind), Slot: t.Slot, Term: t.Epoch, Last: unver(t.Mark),
		Committed: unver(t.Settled), Entry: unentry(t.Entry)}, nil, nil
}

// Roster packs a roster, with the incarnation of the disk it lies on.
func PackVoterSet(ro quorum.VoterSet, inc uint64) *fb.FoundingT {
	return &fb.FoundingT{Fleet: ro.Fleet(), Inc: inc, Rev: ro.Revision, Seats: ro.Seats, Voters: lo.Map(ro.Voters, func(v quorum.Voter, _ int) *fb.VoterT {
		return &fb.VoterT{Name: v.Name, Addr: v.Addr, Inc: v.Incarnation, Num: v.Number}
	})}
}

// Unroster unpacks a roster.
func UnpackVoterSet(f *fb.FoundingT) quorum.VoterSet {
	return quorum.VoterSet{Revision: f.Rev, Seats: f.Seats, Voters: lo.Map(f.Voters, func(v *fb.VoterT, _ int) quorum.Voter {
		return quorum.Voter{Name: v.Name, Addr: v.Addr, Incarnation: v.Inc, Number: v.Num}
	})}
}
