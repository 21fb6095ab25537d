package proxy_test

import (
	"strings"
	"testing"

	"violetthread/internal/eventstream"
)

// invalidEvents are bytes that an engine may not put into a stream after its second event.
var invalidEvents = []struct {
	name, bytes string
	violation   eventstream.Violation
}{
	{"an event without an id", "data: junk\n\n", eventstream.MissingID},
	{"a blank line", "\n", eventstream.MissingID},
	{"random text", "kq2 #x9\n\n", eventstream.InvalidField},
	{"the head of a response", "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n", eventstream.InvalidField},
	{"JSON", "{\"error\":\"out of memory\"}\n\n", eventstream.InvalidField},
	{"binary bytes", "\x16\x03\x01\x02\x00\n\n", eventstream.InvalidText},
	{"a lone CR", "id: 3\ndata: a\r\rdata: junk\n\n", eventstream.InvalidText},
	{"an id that is no number", "id: three\ndata: junk\n\n", eventstream.InvalidID},
	{"two ids", "id: 3\nid: 2\ndata: junk\n\n", eventstream.InvalidID},
	{"an id again", "id: 2\ndata: junk\n\n", eventstream.IDNotRising},
	{"an id that goes back", "id: 1\ndata: junk\n\n", eventstream.IDNotRising},
	{"an event without data", "id: 3\n\n", eventstream.MissingData},
	{"a line before an event", "junk\n", eventstream.InvalidField},
}

// TestInvalidResponseIsReported: the log names the engine that sent what it may not, how it did, and what
// became of the request.
func TestInvalidResponseIsReported(t *testing.T) {
	for _, c := range invalidEvents {
		s := newHarness(t, "reported")
		s.beginSingle(func(conn *engineConn, _ int) {
			r, _, err := conn.readRequest()
			if err != nil {
				return
			}
			conn.send(streamWithAt(conn.engine, r.Header.Get(headerAttempt), 0, 2, c.bytes, true))
		})
		id := s.newID()
		s.call(onceStream, id, body, longWaitMS)
		lines := s.proxy.LoggedWith("\"request\"=\"" + id + "\"")
		if len(lines) != 2 || !strings.Contains(lines[0], "\"engine\"=\"reported-000001\" \"violation\"=\""+string(c.violation)+"\" \"events\"=2 \"reused\"=false") {
			t.Errorf("%s was reported as %q", c.name, lines)
		}
		if counts := s.proxy.InvalidResponses(t); len(counts) != 1 || counts[string(c.violation)] != 1 {
			t.Errorf("%s was counted as %v", c.name, counts)
		}
	}
}
