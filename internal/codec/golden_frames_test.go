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

// goldenFrames contains one frame of each message type with all its fields set. Messages and
// fields are identified by their position in the schema, not by their names.
const goldenFrames = "testdata/golden_frames.bin"

// olderGoldenFrames contains the same frames as encoded by commit f8592ad, before fields were
// appended to the messages about maps and loads.
const olderGoldenFrames = "testdata/golden_frames_f8592ad.bin"

// previousGoldenFrames contains the same frames as encoded by commit 87570e5, before a field was
// appended to the tables of announced versions and of a proxy's loads.
const previousGoldenFrames = "testdata/golden_frames_87570e5.bin"

// goldenFiller sets all fields of a message to values derived from their position.
type goldenFiller struct{ position uint64 }

func (f *goldenFiller) fill(v reflect.Value) {
	f.position++
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
		v.SetString(fmt.Sprint("text ", f.position))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int64:
		v.SetInt(-int64(f.position) << 33)
	default:
		v.SetUint(f.position % (1 << (v.Type().Bits() - 1)))
	}
}

// expectedGoldenFrames returns the frames that goldenFrames contains, in order.
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

// TestGoldenFrames: stored frames are decoded to the expected values and encoded to the same
// bytes again.
func TestGoldenFrames(t *testing.T) {
	stored, err := os.ReadFile(goldenFrames)
	if err != nil {
		t.Fatal(err)
	}
	reader := bytes.NewReader(stored)
	for i, want := range expectedGoldenFrames() {
		start := len(stored) - reader.Len()
		got, err := codec.ReadFrame(reader)
		if err != nil {
			t.Fatalf("frame %d: %v", i, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("frame %d is decoded as %+v, not %+v", i, got, want)
		}
		end := len(stored) - reader.Len()
		if !bytes.Equal(codec.Encode(got), stored[start:end]) {
			t.Errorf("frame %d is encoded to other bytes", i)
		}
	}
	if reader.Len() > 0 {
		t.Errorf("%d bytes are left after the last expected frame", reader.Len())
	}
}

// TestOlderGoldenFrames: frames of an earlier version are decoded. In messages to which fields
// were appended since, the old fields have their values and the new ones are zero; all others
// equal those of this version.
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

// TestPreviousGoldenFrames checks the same for frames of the previous version.
func TestPreviousGoldenFrames(t *testing.T) {
	stored, err := os.ReadFile(previousGoldenFrames)
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

// TestTruncatedGoldenFrames: each stored frame, truncated at any byte, is an error.
func TestTruncatedGoldenFrames(t *testing.T) {
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
				t.Fatalf("frame %d truncated at %d: %v, not %v", i, cut, err, want)
			}
			if _, err := codec.Decode(stored[min(8, cut):cut]); err == nil && cut < size-8 {
				t.Fatalf("the body of frame %d truncated at %d is decoded", i, cut)
			}
		}
		stored = stored[size:]
	}
}
