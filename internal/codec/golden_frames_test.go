package codec_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"testing"

	"violetthread/internal/codec"
	"violetthread/schema/fb"
)

// goldenFrames holds one frame of each message with all its fields. Messages and their fields
// count by their place in the schema, not by their names.
const goldenFrames = "testdata/golden_frames.bin"

// olderGoldenFrames holds the same as commit f8592ad encoded them, before fields were added to
// the ends of the messages about maps and loads.
const olderGoldenFrames = "testdata/golden_frames_f8592ad.bin"

// formerGoldenFrames holds the same as commit 87570e5 encoded them, before announced versions and
// the loads of a proxy got a field each.
const formerGoldenFrames = "testdata/golden_frames_87570e5.bin"

// goldenFiller sets all fields of a message to values that follow from their place.
type goldenFiller struct{ place uint64 }

func (f *goldenFiller) fill(v reflect.Value) {
	f.place++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.String:
		v.SetString(fmt.Sprint("text ", f.place))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int64:
		v.SetInt(-int64(f.place) << 33)
	default:
		v.SetUint(f.place % (1 << (v.Type().Bits() - 1)))
	}
}

// expectedGoldenFrames are the messages that the file holds, in their order.
func expectedGoldenFrames() []*fb.FrameT {
	var frames []*fb.FrameT
	fields := reflect.TypeFor[fb.FrameT]()
	for i := range fields.NumField() {
		if fields.Field(i).Type.Kind() != reflect.Pointer {
			continue
		}
		frame := &fb.FrameT{Ref: uint64(1000 + i)}
		filler := goldenFiller{uint64(i * 1000)}
		filler.fill(reflect.ValueOf(frame).Elem().Field(i))
		frames = append(frames, frame)
	}
	return frames
}

// TestGoldenFrames decodes stored frames, checks every value, and encodes them to the
// same bytes.
func TestGoldenFrames(t *testing.T) {
	stored, err := os.ReadFile(goldenFrames)
	if err != nil {
		t.Fatal(err)
	}
	reader := bytes.NewReader(stored)
	for i, want := range expectedGoldenFrames() {
		begin := len(stored) - reader.Len()
		got, err := codec.ReadFrame(reader)
		if err != nil {
			t.Fatalf("frame %d: %v", i, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("frame %d is decoded as %+v, not %+v", i, got, want)
		}
		end := len(stored) - reader.Len()
		if !bytes.Equal(codec.Encode(got), stored[begin:end]) {
			t.Errorf("frame %d is encoded to other bytes", i)
		}
	}
	if reader.Len() > 0 {
		t.Errorf("%d bytes of frames are left that no message stands for", reader.Len())
	}
}

// TestOlderGoldenFrames decodes what earlier versions sent: frames of messages that have not
// grown are the same to the byte, in the others what was known is read and what is new is zero.
func TestOlderGoldenFrames(t *testing.T) {
	stored, err := os.ReadFile(olderGoldenFrames)
	if err != nil {
		t.Fatal(err)
	}
	reader := bytes.NewReader(stored)
	for i, want := range expectedGoldenFrames() {
		got, err := codec.ReadFrame(reader)
		if err != nil {
			t.Fatalf("frame %d: %v", i, err)
		}
		switch {
		case want.MapRequest != nil:
			request := got.MapRequest
			if !reflect.DeepEqual(request.Node, want.MapRequest.Node) || request.Hold != want.MapRequest.Hold || len(request.Loads) != 2 || request.LoadsSequence != 0 || request.LoadsSince != 0 {
				t.Errorf("frame %d is decoded as %+v", i, request)
			}
		case want.MapResponse != nil:
			response := got.MapResponse
			if !reflect.DeepEqual(response.Engines, want.MapResponse.Engines) || len(response.Loads) != 2 || response.LoadsRevision != 0 || response.LoadsChangedOnly {
				t.Errorf("frame %d is decoded as %+v", i, response)
			}
		case want.LoadUpdate != nil:
			update := got.LoadUpdate
			if len(update.Proxies) != 2 || update.Direct || update.Proxies[0].Name != want.LoadUpdate.Proxies[0].Name || update.Proxies[0].Loads[0].Active != want.LoadUpdate.Proxies[0].Loads[0].Active || update.Proxies[0].Sequence != 0 {
				t.Errorf("frame %d is decoded as %+v", i, update)
			}
		case !reflect.DeepEqual(got, want):
			t.Errorf("frame %d is decoded as %+v, not %+v", i, got, want)
		}
	}
	if reader.Len() > 0 {
		t.Errorf("%d bytes are left", reader.Len())
	}
}

// TestFormerGoldenFrames decodes what the version before sent, by the same rule.
func TestFormerGoldenFrames(t *testing.T) {
	stored, err := os.ReadFile(formerGoldenFrames)
	if err != nil {
		t.Fatal(err)
	}
	reader := bytes.NewReader(stored)
	for i, want := range expectedGoldenFrames() {
		got, err := codec.ReadFrame(reader)
		if err != nil {
			t.Fatalf("frame %d: %v", i, err)
		}
		switch {
		case want.MapResponse != nil:
			known := *want.MapResponse.Announced[0]
			known.TotalAge = 0
			response := got.MapResponse
			if !reflect.DeepEqual(response.Engines, want.MapResponse.Engines) || len(response.Announced) != 2 || *response.Announced[0] != known || response.LoadsRevision == 0 {
				t.Errorf("frame %d is decoded as %+v", i, response)
			}
		case want.LoadUpdate != nil:
			known := *want.LoadUpdate.Proxies[0]
			known.Incarnation = 0
			update := got.LoadUpdate
			if len(update.Proxies) != 2 || !update.Direct || !reflect.DeepEqual(*update.Proxies[0], known) {
				t.Errorf("frame %d is decoded as %+v", i, update)
			}
		case !reflect.DeepEqual(got, want):
			t.Errorf("frame %d is decoded as %+v, not %+v", i, got, want)
		}
	}
	if reader.Len() > 0 {
		t.Errorf("%d bytes are left", reader.Len())
	}
}

// TestGoldenFramesCutShort reads each stored frame cut short at every offset.
func TestGoldenFramesCutShort(t *testing.T) {
	stored, err := os.ReadFile(goldenFrames)
	if err != nil {
		t.Fatal(err)
	}
	for i, frame := range expectedGoldenFrames() {
		size := len(codec.Encode(frame))
		for cut := range size {
			want := io.ErrUnexpectedEOF
			if cut == 0 {
				want = io.EOF
			}
			if _, err := codec.ReadFrame(bytes.NewReader(stored[:cut])); !errors.Is(err, want) {
				t.Fatalf("frame %d cut at %d: %v, not %v", i, cut, err, want)
			}
			if _, err := codec.Decode(stored[min(8, cut):cut]); err == nil && cut < size-8 {
				t.Fatalf("the body of frame %d cut at %d is decoded", i, cut)
			}
		}
		stored = stored[size:]
	}
}
