package proxy

import (
	"bytes"
	"strconv"

	"github.com/gravitational/trace"
)

// net/http is lenient about ambiguous framing: it ignores a Content-Length beside chunked encoding,
// and joins folded lines. A proxy must not be, or callers and engines might take one message for
// two (request smuggling). So each message head is checked as it was received (RFC 9112 §6.3,
// §11.2).

// framing is how the end of a message's body is found.
type framing struct {
	length  int64 // of the body in bytes, unless it is chunked
	chunked bool
}

const (
	// maxHeadBytes bounds the head of a caller's request, whatever the configuration allows.
	maxHeadBytes = 8 << 20
	// maxLineBytes bounds a chunk-size or trailer line of its body.
	maxLineBytes = 1 << 20
)

// ambiguous returns the error for a message whose end other parties may find elsewhere.
func ambiguous(what string) error {
	return trace.BadParameter("ambiguous message framing: %s; send exactly one Content-Length or Transfer-Encoding header", what)
}

// headEnd returns the length of the message head that b begins with, or 0 if it is incomplete.
func headEnd(b []byte) int {
	for from := 0; ; {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return 0
		}
		from += i + 1
		switch rest := b[from:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return from + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return from + 2
		}
	}
}

// framingOf returns the framing that a complete message head declares. Ambiguous framing is an
// error.
func framingOf(head []byte) (framing, error) {
	var f framing
	fields := 0
	lines := bytes.Split(head, []byte("\n"))
	for i, line := range lines[:len(lines)-1] {
		line, crlf := bytes.CutSuffix(line, []byte("\r"))
		if !crlf || bytes.ContainsAny(line, "\r\x00") {
			return f, ambiguous("a header line that does not end in CRLF")
		}
		if i == 0 || len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return f, ambiguous("a folded line or an invalid header name")
		}
		value = bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			length, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil {
				return f, ambiguous("an invalid Content-Length")
			}
			f.length = int64(length)
			fields++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if !bytes.EqualFold(value, []byte("chunked")) || !bytes.Contains(lines[0], []byte("HTTP/1.1")) {
				return f, ambiguous("an unsupported Transfer-Encoding")
			}
			f.chunked = true
			fields++
		}
	}
	if fields > 1 {
		return f, ambiguous("more than one Content-Length or Transfer-Encoding")
	}
	return f, nil
}
