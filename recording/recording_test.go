package recording_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"violetthread/recording"
)

var header = recording.Header{Component: recording.ComponentIndexNode, Name: "node", Zone: "north", Incarnation: 7}

func create(t *testing.T, maxBytes int64) (*recording.Writer, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "recording")
	w, err := recording.Create(path, header, maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	return w, path
}

// read returns a summary of each event of a recording.
func read(t *testing.T, path string) []string {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var events []string
	err = recording.Read(file, func(got recording.Header) error {
		want := header
		want.Version = recording.Version
		if got != want {
			t.Errorf("header %+v, want %+v", got, want)
		}
		return nil
	}, func(line int, event recording.Event) error {
		events = append(events, fmt.Sprintf("%d %d %s %s %s", line, event.TimeUS, event.Type, event.Input, event.Output))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return events
}

func TestWriteAndRead(t *testing.T) {
	w, path := create(t, 1<<20)
	w.Record(5, "tick", nil, []int{1})
	w.Record(6, "plan", map[string]int{"rev": 2}, nil)
	w.Record(7, "not JSON", func() {}, nil) // can't be encoded: not recorded
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	const want = `[2 5 tick  [1] 3 6 plan {"rev":2} ]`
	if got := fmt.Sprint(read(t, path)); got != want {
		t.Fatalf("%s, want %s", got, want)
	}
}

// TestBound: a recording ends with the last event that fits below the limit, and OnFull is
// called once.
func TestBound(t *testing.T) {
	w, path := create(t, 200)
	full := 0
	w.OnFull = func() { full++ }
	for i := range int64(100) {
		w.Record(i, "tick", nil, nil)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	events := read(t, path)
	if full != 1 || len(content) > 200 || len(events) < 3 || !strings.HasPrefix(events[0], "2 0 tick") {
		t.Fatalf("%d bytes, %d events, %d calls of OnFull", len(content), len(events), full)
	}
}

func TestNilWriter(t *testing.T) {
	var w *recording.Writer
	w.Record(1, "tick", nil, nil)
	w.Flush()
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestReadErrors(t *testing.T) {
	const first = `{"tape":2,"part":"desk"}` + "\n"
	for _, test := range []struct {
		name, content string
		want          func(err error) bool
	}{
		{"nothing", "", func(err error) bool { return errors.Is(err, recording.ErrEmpty) }},
		{"a header cut off", `{"tape":2`, func(err error) bool { return errors.Is(err, recording.ErrEmpty) }},
		{"another file", "PK\n", func(err error) bool { return errors.Is(err, recording.ErrNotRecording) }},
		{"another JSON file", "{}\n", func(err error) bool { return errors.Is(err, recording.ErrNotRecording) }},
		{"another version", `{"tape":1}` + "\n", func(err error) bool {
			var version *recording.VersionError
			return errors.As(err, &version) && version.Recorded == 1
		}},
		{"a damaged line", first + "{}\nx\n", func(err error) bool {
			var line *recording.LineError
			return errors.As(err, &line) && line.Line == 3 && line.Err != nil
		}},
		{"a last line cut off", first + "{}\nx", func(err error) bool { return err == nil }},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := recording.Read(strings.NewReader(test.content),
				func(recording.Header) error { return nil },
				func(int, recording.Event) error { return nil })
			if !test.want(err) {
				t.Fatalf("%v (%T)", err, err)
			}
		})
	}
}
