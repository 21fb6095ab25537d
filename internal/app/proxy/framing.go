package proxy

import (
	"bytes"
	"strconv"

	"github.com/gravitational/trace"
)

// The library reads leniently where one message might be taken for two: it drops a length
// beside chunks and joins folded lines. What lies between callers and engines must not, so
// each head is looked at as it came (RFC 9112 §6.3, §11.2).

// framing is how a message tells where its body ends.
type framing struct {
	length  int64
	chunked bool
}

// maxHeadBytes bounds the head of a caller's request, whatever the configuration allows.
const maxHeadBytes = 1 << 20

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

// framingOf reads a whole head's framing. A head that leaves a doubt about it is an error.
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

// splitter finds the ends of the requests in what comes on a connection.
type splitter struct {
	part      part
	head      []byte // so far, of the request whose head is coming
	line      []byte // so far, of a chunk's line or a trailer
	left      int64  // bytes of the body, or of the chunk, still to come
	ambiguity error  // of the request whose head came last
}

// part is the part of a request that comes next.
type part uint8

const (
	partHead part = iota
	partBody
	partChunkLine
	partChunk
	partChunkEnd
	partTrailer
	partUnknown // where the request ends is in doubt
)

// take is how many of the first bytes of b belong to the request under way; at least one,
// if there is one. What lies beyond its end is for a later call.
func (s *splitter) take(b []byte) (taken int) {
	for taken < len(b) {
		taken += s.step(b[taken:])
		if s.part == partHead && len(s.head) == 0 {
			return taken // it is whole
		}
	}
	return taken
}

// step takes bytes of one part.
func (s *splitter) step(b []byte) int {
	switch s.part {
	case partHead:
		return s.takeHead(b)
	case partBody, partChunk:
		n := min(s.left, int64(len(b)))
		if s.left -= n; s.left == 0 {
			s.bodyPartEnded()
		}
		return int(n)
	case partUnknown:
		return len(b)
	}
	return s.takeLine(b)
}

func (s *splitter) takeHead(b []byte) int {
	before := len(s.head)
	s.head = append(s.head, b...)
	end := headEnd(s.head)
	if end == 0 {
		if len(s.head) > maxHeadBytes {
			s.giveUp(ambiguous("its head does not end"))
		}
		return len(b)
	}
	f, err := framingOf(s.head[:end])
	s.head = s.head[:0]
	s.ambiguity = err
	switch {
	case err != nil:
		s.giveUp(err)
	case f.chunked:
		s.part = partChunkLine
	case f.length > 0:
		s.part, s.left = partBody, f.length
	}
	return end - before
}

func (s *splitter) bodyPartEnded() {
	if s.part == partChunk {
		s.part = partChunkEnd
		return
	}
	s.part = partHead
}

// takeLine takes bytes of a line between chunks or behind them.
func (s *splitter) takeLine(b []byte) int {
	n := bytes.IndexByte(b, '\n') + 1
	if n == 0 {
		n = len(b)
	}
	s.line = append(s.line, b[:n]...)
	if len(s.line) > maxHeadBytes {
		s.giveUp(ambiguous("a line of its chunks does not end"))
		return n
	}
	line, whole := bytes.CutSuffix(s.line, []byte("\n"))
	if !whole {
		return n
	}
	line, crlf := bytes.CutSuffix(line, []byte("\r"))
	if !crlf {
		s.giveUp(ambiguous("a line of its chunks does not end in CR LF"))
		return n
	}
	s.lineEnded(line)
	s.line = s.line[:0]
	return n
}

func (s *splitter) lineEnded(line []byte) {
	switch s.part {
	case partChunkLine:
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
		switch {
		case err != nil:
			s.giveUp(ambiguous("a chunk without a length"))
		case size == 0:
			s.part = partTrailer
		default:
			s.part, s.left = partChunk, int64(size)
		}
	case partChunkEnd:
		s.part = partChunkLine
		if len(line) > 0 {
			s.giveUp(ambiguous("a chunk longer than its length"))
		}
	case partTrailer:
		if len(line) == 0 {
			s.part = partHead
		}
	}
}

// giveUp leaves the rest of the connection in doubt.
func (s *splitter) giveUp(err error) {
	s.part, s.head, s.line, s.ambiguity = partUnknown, nil, nil, err
}
