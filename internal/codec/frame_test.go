package codec

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math/rand"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

func sampleFrames() []*fb.FrameT {
	entry := quorum.Entry{Key: "plan", Position: quorum.Position{Term: 3, Index: 9}, Revision: 4, Value: []byte(`{"weights":"w1"}`)}
	return []*fb.FrameT{
		PackMessage(quorum.Message{Type: quorum.MsgVoteGranted, From: "a", Incarnation: 7, VoterSetRevision: 1, Slot: 3, Term: 65537, Last: quorum.Position{Term: 1, Index: 2}, Entries: []quorum.Entry{entry, entry}, Keys: []string{"x", "yy"}}),
		PackMessage(quorum.Message{Type: quorum.MsgHeartbeat, From: "b", Time: -5, Progress: []quorum.SlotProgress{{Slot: 1, Term: 2, Last: quorum.Position{Term: 2, Index: 1}}}}),
		{Ref: 5, CapacityResponse: &fb.CapacityResponseT{IndexNode: "c", Grants: []*fb.GrantT{{Engine: "e", Addr: "1.2.3.4:5", Capacity: 3, TransferScores: []*fb.TransferScoreT{{Peer: 1, Permille: 2}}}}, Updates: []*fb.CacheUpdateT{{Hi: 1, Lo: 2, Op: 1}}}},
		{HeartbeatResponse: &fb.HeartbeatResponseT{Revision: 3, Plan: []byte("{}"), Nodes: []*fb.NodeT{{Name: "n", LeasedRoles: []string{"duty/shard/1"}}}, ControlNodes: []string{"a", "b"}}},
		{UpdatesRequest: &fb.UpdatesRequestT{From: "x", Shards: []uint16{1, 2, 3}}},
	}
}

// TestRoundTrip: voter messages and records are decoded to the values that were encoded.
func TestRoundTrip(t *testing.T) {
	entry := quorum.Entry{Key: "k", Position: quorum.Position{Term: 1, Index: 2}, Revision: 3, Value: []byte{0, 255}}
	message := quorum.Message{Type: quorum.MsgSnapshotChunk, From: "a", Incarnation: 1, VoterSetRevision: 2, Slot: 3, Term: 4, Time: -5, Previous: quorum.Position{Term: 1}, Last: quorum.Position{Index: 2},
		Committed: quorum.Position{Term: 8, Index: 8}, LogTerm: 6, Joining: true, Entries: []quorum.Entry{entry}, Keys: []string{"q"},
		Progress: []quorum.SlotProgress{{Slot: 1, Term: 2, Last: quorum.Position{Term: 1, Index: 1}, Committed: quorum.Position{Term: 1, Index: 0}}}, Promised: 9}
	frame, err := ReadFrame(bytes.NewReader(Encode(PackMessage(message))))
	if err != nil {
		t.Fatal(err)
	}
	if got := UnpackMessage(frame.VoterMessage); !reflect.DeepEqual(got, message) {
		t.Fatalf("%+v became %+v", message, got)
	}
	record := quorum.Record{Type: quorum.RecordEntry, Slot: 5, Term: 6, Last: quorum.Position{Term: 1, Index: 2}, Committed: quorum.Position{Term: 1, Index: 1}, Entry: entry}
	if got, _, err := UnpackRecord(PackRecord(record)); err != nil || !reflect.DeepEqual(got, record) {
		t.Fatalf("%+v became %+v, %v", record, got, err)
	}
}

// TestDecodeMutated: truncated bodies, and bodies with flipped bits, random bytes or huge
// offsets and lengths, are decoded to a frame or cause an error, never a panic.
func TestDecodeMutated(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	rejected := 0
	for _, frame := range sampleFrames() {
		whole := Encode(frame)[8:]
		for i := 0; i < 20_000; i++ {
			body := append([]byte(nil), whole...)
			switch rng.Intn(4) {
			case 0:
				body = body[:rng.Intn(len(body))]
			case 1:
				body[rng.Intn(len(body))] ^= 1 << rng.Intn(8)
			case 2:
				at := rng.Intn(len(body) - 4)
				copy(body[at:], []byte{0xff, 0xff, 0xff, 0x7f})
			default:
				for j := 0; j < 8; j++ {
					body[rng.Intn(len(body))] = byte(rng.Intn(256))
				}
			}
			if _, err := Decode(body); err != nil {
				rejected++
			}
		}
	}
	if rejected < 20_000 {
		t.Fatalf("only %d mutations were rejected", rejected)
	}
}

// TestReadFrameRejects: a wrong checksum is an error, and so is a length over the limit, which
// is rejected before the body is allocated.
func TestReadFrameRejects(t *testing.T) {
	b := Encode(sampleFrames()[0])
	b[4] ^= 1
	if _, err := ReadFrame(bytes.NewReader(b)); err == nil {
		t.Fatal("a wrong checksum was accepted")
	}
	b[3] = 0xff
	if n := testing.AllocsPerRun(10, func() { _, _ = ReadFrame(bytes.NewReader(b)) }); n > 20 {
		t.Fatalf("%v allocations", n)
	}
}

func FuzzDecode(f *testing.F) {
	for _, s := range sampleFrames() {
		f.Add(Encode(s)[8:])
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		if x, err := Decode(b); err == nil {
			_ = Encode(x)
		}
	})
}

// TestFalseLengthAllocation: a frame whose declared length is far larger than what arrives
// does not cause an allocation of the declared length.
func TestFalseLengthAllocation(t *testing.T) {
	b := binary.LittleEndian.AppendUint32(nil, MaxFrameBytes)
	b = append(b, 1, 2, 3, 4, 5)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 10 {
		if _, err := ReadFrame(bytes.NewReader(b)); err == nil {
			t.Fatal("a frame of 32 MiB was read from a body of 1 byte")
		}
	}
	runtime.ReadMemStats(&after)
	if n := after.TotalAlloc - before.TotalAlloc; n > MaxFrameBytes {
		t.Fatalf("%d bytes were allocated for frames of which one byte arrived", n)
	}
}

// TestTruncatedFrame: a frame truncated at any byte is an error, which is io.EOF only if not
// even its first byte is there. A frame that arrives byte by byte is read.
func TestTruncatedFrame(t *testing.T) {
	whole := Encode(sampleFrames()[0])
	for n := range whole {
		_, err := ReadFrame(bytes.NewReader(whole[:n]))
		if err == nil || n > 0 && err == io.EOF {
			t.Errorf("after %d of %d bytes: %v", n, len(whole), err)
		}
	}
	large := Encode(&fb.FrameT{CapacityResponse: &fb.CapacityResponseT{IndexNode: strings.Repeat("x", 3<<20)}})
	f, err := ReadFrame(iotest.OneByteReader(bytes.NewReader(large)))
	if err != nil || len(f.CapacityResponse.IndexNode) != 3<<20 {
		t.Fatalf("a frame that arrives byte by byte: %v", err)
	}
}

// FuzzReadFrame: reading never panics, and a frame that was read can be encoded and read
// again without a change.
func FuzzReadFrame(f *testing.F) {
	for _, s := range sampleFrames() {
		f.Add(Encode(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		frame, err := ReadFrame(bytes.NewReader(b))
		if err != nil {
			return
		}
		again, err := ReadFrame(bytes.NewReader(Encode(frame)))
		if err != nil || !bytes.Equal(Encode(frame), Encode(again)) {
			t.Fatalf("%+v became %+v, %v", frame, again, err)
		}
		if frame.VoterMessage != nil {
			_ = PackMessage(UnpackMessage(frame.VoterMessage))
		}
	})
}

// TestErrors: malformed content causes the errors of this package, and errors of the reader are
// passed on.
func TestErrors(t *testing.T) {
	whole := Encode(sampleFrames()[0])
	changed := func(at int, b ...byte) []byte {
		frame := bytes.Clone(whole)
		copy(frame[at:], b)
		return frame
	}
	var format *FormatError
	if _, err := ReadFrame(bytes.NewReader(changed(4, 1, 2, 3, 4))); !errors.As(err, &format) {
		t.Errorf("a wrong checksum: %v", err)
	}
	if _, err := Decode([]byte("no buffer at all")); !errors.As(err, &format) {
		t.Errorf("a wrong body: %v", err)
	}
	if _, _, err := UnpackRecord(nil); !errors.As(err, &format) {
		t.Errorf("an empty record: %v", err)
	}
	if _, _, err := UnpackRecord(PackIdentity(nil)); !errors.As(err, &format) {
		t.Errorf("an identity without a voter set: %v", err)
	}
	var size *FrameSizeError
	if _, err := ReadFrame(bytes.NewReader(changed(0, 1, 0, 0, 2))); !errors.As(err, &size) || size.Bytes != MaxFrameBytes+1 {
		t.Errorf("a frame over the limit: %v", err)
	}
	if _, err := ReadFrame(bytes.NewReader(nil)); !errors.Is(err, io.EOF) {
		t.Errorf("no frame: %v", err)
	}
	if _, err := ReadFrame(bytes.NewReader(whole[:len(whole)-1])); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a truncated frame: %v", err)
	}
}
