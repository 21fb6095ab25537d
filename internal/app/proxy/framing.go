package proxy

import (
	"bytes"
	"strconv"

	"github.com/gravitational/trace"
)

// net/http reads leniently where one message might be taken for two: it drops a length
// beside chunks and joins folded lines. What lies between callers and engines must not, so
// each head is looked at as it came (RFC 9112 §6.3, §11.2).

// framing is how a message tells where its body ends.
type framing struct {
	length  int64 // of the body in bytes, unless it is chunked
	chunked bool
}

// maxHeadBytes bounds the head of a caller's request, whatever the configuration allows.
const maxHeadBytes = 1 << 20

// ambiguous is the error of a message that others may end elsewhere.
func ambiguous(what string) error {
	return trace.BadParameter("where the message ends is in doubt: %s; send one Content-Length or one Transfer-Encoding", what)
}

// headEnd is the length of the head that b begins with, or 0 if its end has not come.
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

// framingOf reads a whole head's framing. An ambiguous one is an error.
func framingOf(head []byte) (framing, error) {
	var f framing
	fields := 0
	lines := bytes.Split(head, []byte("\n"))
	for i, line := range lines[:len(lines)-1] {
		line, crlf := bytes.CutSuffix(line, []byte("\r"))
		if !crlf || bytes.ContainsAny(line, "\r\x00") {
			return f, ambiguous("a line that does not end in CR LF")
		}
		if i == 0 || len(line) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return f, ambiguous("a folded line, or a name that is none")
		}
		value = bytes.Trim(value, " \t")
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			length, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil {
				return f, ambiguous("a length that is no number")
			}
			f.length = int64(length)
			fields++
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			if !bytes.EqualFold(value, []byte("chunked")) || !bytes.Contains(lines[0], []byte("HTTP/1.1")) {
				return f, ambiguous("an encoding that is not known")
			}
			f.chunked = true
			fields++
		}
	}
	if fields > 1 {
		return f, ambiguous("it is told more than once")
	}
	return f, nil
}
