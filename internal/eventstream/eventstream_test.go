package eventstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"
)

// testExtension accepts the field "x-version" with a value that is not empty.
func testExtension(name, value string) bool { return name == "x-version" && value != "" }

// readAll returns the events of a stream, joined, and the error that ended it.
func readAll(body io.Reader) (string, error) {
	var events strings.Builder
	reader := NewReader(body, testExtension)
	for {
		event, err := reader.Next()
		if err != nil {
			return events.String(), err
		}
		events.Write(event.Raw)
	}
}

func TestReader(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	long := "id: 2\ndata: " + strings.Repeat("x", 3*readBufferBytes) + "\n\n"
	for _, c := range []struct {
		name, body, events string
		err                error
	}{
		{"empty", "", "", io.EOF},
		{"one event", first, first, io.EOF},
		{"ids with gaps", first + "id: 7\ndata: b\n\n", first + "id: 7\ndata: b\n\n", io.EOF},
		{"ids from 0", "id: 0\ndata: b\n\n" + first, "id: 0\ndata: b\n\n" + first, io.EOF},
		{"longer than the buffer", first + long, first + long, io.EOF},
		{"CRLF", "id:1\r\ndata:a\r\n\r\n", "id:1\r\ndata:a\r\n\r\n", io.EOF},
		{"all standard fields", "event: e\nid: 1\nretry: 5\ndata: a\ndata\n\n", "event: e\nid: 1\nretry: 5\ndata: a\ndata\n\n", io.EOF},
		{"extension field first", "x-version: 2\nid: 1\ndata: a\n\n", "x-version: 2\nid: 1\ndata: a\n\n", io.EOF},
		{"comments are dropped", ": wait\n\n" + first + ":\n:\n\n", first, io.EOF},
		{"no id", first + "data: b\n\n", first, MissingID},
		{"blank line alone", first + "\n", first, MissingID},
		{"id of another form", first + "id: two\ndata: b\n\n", first, InvalidID},
		{"negative id", "id: -1\ndata: b\n\n", "", InvalidID},
		{"id out of range", "id: 9223372036854775808\ndata: b\n\n", "", InvalidID},
		{"empty id", first + "id\ndata: b\n\n", first, InvalidID},
		{"two ids", first + "id: 2\nid: 3\ndata: b\n\n", first, InvalidID},
		{"id again", first + first, first, IDNotRising},
		{"id that goes back", "id: 4\ndata: a\n\n" + first, "id: 4\ndata: a\n\n", IDNotRising},
		{"no data", first + "id: 2\n\n", first, MissingData},
		{"a head", first + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", first, InvalidField},
		{"a line before the event", first + "junk\nid: 2\ndata: b\n\n", first, InvalidField},
		{"a comment within the event", first + "id: 2\n:junk\ndata: b\n\n", first, InvalidField},
		{"extension field last", first + "id: 2\ndata: b\nx-version: 2\n\n", first, InvalidField},
		{"extension field without a value", first + "x-version:\nid: 2\ndata: b\n\n", first, InvalidField},
		{"blank before the colon", first + "id : 2\ndata: b\n\n", first, InvalidField},
		{"byte order mark", "\ufeffid: 1\ndata: b\n\n", "", InvalidField},
		{"CR alone", first + "id: 2\ndata: b\r\rdata: c\n\n", first, InvalidText},
		{"NUL", first + "id: 2\ndata: \x00\n\n", first, InvalidText},
		{"not UTF-8", first + "id: 2\ndata: \xff\n\n", first, InvalidText},
		{"binary comment", first + ": \x01\n\n" + long, first, InvalidText},
		{"ends within an event", first + "id: 2\ndata: b\n", first, IncompleteEvent},
		{"ends within a line", first + "id: 2\nda", first, IncompleteEvent},
		{"ends within a comment", first + ": a\n", first, IncompleteEvent},
		{"endless line", first + "data: " + strings.Repeat("x", MaxEventBytes), first, TooLong},
		{"endless event", first + strings.Repeat("data: x\n", MaxEventBytes/8+1), first, TooLong},
	} {
		for how, body := range map[string]io.Reader{"whole": strings.NewReader(c.body), "byte by byte": iotest.OneByteReader(strings.NewReader(c.body))} {
			events, err := readAll(body)
			if events != c.events || !errors.Is(err, c.err) {
				t.Errorf("%s, %s: got %.80q and %v, want %.80q and %v", c.name, how, events, err, c.events, c.err)
			}
		}
	}
}

// TestReaderReturnsErrorOfBody: a body that breaks off is no end, and what was read of an event is not
// returned.
func TestReaderReturnsErrorOfBody(t *testing.T) {
	broken := errors.New("broken")
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for offset := range len(events) {
		got, err := readAll(io.MultiReader(strings.NewReader(events[:offset]), iotest.ErrReader(broken)))
		if !errors.Is(err, broken) || !strings.HasPrefix(events, got) || len(got) > offset || len(got)%15 != 0 {
			t.Errorf("after %d bytes: %q, %v", offset, got, err)
		}
	}
}

// soundStream returns a stream of n events.
func soundStream(n int) (events []string) {
	for i := range n {
		events = append(events, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1))
	}
	return events
}

// FuzzGarbageIsNotPassedOn puts arbitrary bytes at an arbitrary place of a sound stream. Whatever is
// returned must be, event by event, what a strict second reading of the bytes allows.
func FuzzGarbageIsNotPassedOn(f *testing.F) {
	const alphabet = "\r\n\n\n:: 12idata\x00\xffx"
	random := rand.New(rand.NewPCG(1, 1))
	for _, garbage := range []string{"\n", "\n\n", "\r\n\r\n", "\r\r", "data: x\n\n", "id: 2\ndata: x\n\n", "HTTP/1.1 200 OK\r\n\r\n", ":x\n\n", "\x00\xff", "0\r\n\r\n", "id", "id: 9\n"} {
		for place := 0; place < 80; place += 3 {
			f.Add([]byte(garbage), place)
		}
	}
	for range 400 {
		garbage := make([]byte, random.IntN(48))
		for i := range garbage {
			garbage[i] = alphabet[random.IntN(len(alphabet))]
		}
		f.Add(garbage, random.IntN(80))
	}
	f.Fuzz(func(t *testing.T, garbage []byte, place int) {
		stream := strings.Join(soundStream(5), "")
		place = int(uint(place) % uint(len(stream)+1))
		body := stream[:place] + string(garbage) + stream[place:]
		events, _ := readAll(strings.NewReader(body))
		checkEvents(t, events)
		if !inOrder(body, events) {
			t.Errorf("%q was read as %q", body, events)
		}
	})
}

// checkEvents fails unless the text consists of events as a receiver reads them that follows the
// standard to the letter: each with one id, above the one before, and data.
func checkEvents(t *testing.T, events string) {
	t.Helper()
	last := -1
	text := strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(events)
	if text != "" && !strings.HasSuffix(text, "\n\n") {
		t.Fatalf("the last event has no end: %q", events)
	}
	for block := range strings.SplitSeq(strings.TrimSuffix(text, "\n\n"), "\n\n") {
		if text == "" {
			return
		}
		id, ids, data := 0, 0, 0
		for line := range strings.SplitSeq(block, "\n") {
			switch name, value, _ := strings.Cut(line, ":"); name {
			case "id":
				ids++
				if n, err := fmt.Sscanf(value, "%d", &id); n != 1 || err != nil {
					t.Fatalf("no number: %q in %q", line, events)
				}
			case "data":
				data++
			case "event", "retry", "x-version":
			default:
				t.Fatalf("not a field: %q in %q", line, events)
			}
		}
		if ids != 1 || data == 0 || id <= last {
			t.Fatalf("%d ids, %d data, id %d after %d in %q", ids, data, id, last, events)
		}
		last = id
	}
}

// inOrder reports whether the events are whole parts of the body, in its order.
func inOrder(body, events string) bool {
	reader := NewReader(strings.NewReader(events), testExtension)
	rest := []byte(body)
	for {
		event, err := reader.Next()
		if err != nil {
			return errors.Is(err, io.EOF)
		}
		at := bytes.Index(rest, event.Raw)
		if at < 0 {
			return false
		}
		rest = rest[at+len(event.Raw):]
	}
}
