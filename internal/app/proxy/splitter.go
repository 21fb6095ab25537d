package proxy

import (
	"bytes"
	"strconv"
)

// splitter finds the end of each request in the bytes received on a connection.
type splitter struct {
	part part
	head []byte // partial head of the current request
	// headLength is the length of the head that is being received, or of the last complete one.
	headLength int
	heads      uint64 // complete ones
	line       []byte // partial chunk-size line or trailer line
	remaining  int64  // bytes left of the body or of the chunk
	ambiguity  error  // of the request whose head was received last
}

// part is the part of a request that the next byte belongs to.
type part uint8

const (
	partHead part = iota
	partBody
	partChunkLine
	partChunk
	partChunkEnd
	partTrailer
	partUnknown // the end of the request is ambiguous
)

// take returns how many of the leading bytes of b belong to the current request; at least one, if b
// is not empty. Bytes beyond the end of the request are left for a later call.
func (s *splitter) take(b []byte) (taken int) {
	for taken < len(b) {
		taken += s.step(b[taken:])
		if s.part == partHead && len(s.head) == 0 {
			return taken // the request is complete
		}
	}
	return taken
}

// step consumes bytes of one part and returns how many.
func (s *splitter) step(b []byte) int {
	switch s.part {
	case partHead:
		return s.takeHead(b)
	case partBody, partChunk:
		n := min(s.remaining, int64(len(b)))
		if s.remaining -= n; s.remaining == 0 {
			s.bodyPartEnded()
		}
		return int(n)
	case partUnknown:
		return len(b)
	}
	return s.takeLine(b)
}

// takeHead consumes bytes of a head. Once the head is complete, it determines the framing of the
// body.
func (s *splitter) takeHead(b []byte) int {
	before := len(s.head)
	s.head = append(s.head, b...)
	s.headLength = len(s.head)
	// The end of the head may begin in the last two bytes of what was there before.
	searched := max(0, before-2)
	end := headEnd(s.head[searched:])
	if end == 0 {
		if len(s.head) > maxHeadBytes {
			s.setAmbiguous(ambiguous("no end of the request head within the size limit"))
		}
		return len(b)
	}
	end += searched
	s.headLength = end
	s.heads++
	f, err := framingOf(s.head[:end])
	s.head = s.head[:0]
	s.ambiguity = err
	switch {
	case err != nil:
		s.setAmbiguous(err)
	case f.chunked:
		s.part = partChunkLine
	case f.length > 0:
		s.part, s.remaining = partBody, f.length
	}
	return end - before
}

// inHead reports whether a part of a head has been received.
func (s *splitter) inHead() bool { return s.part == partHead && len(s.head) > 0 }

// bodyPartEnded moves on to the part that follows a body or a chunk.
func (s *splitter) bodyPartEnded() {
	if s.part == partChunk {
		s.part = partChunkEnd
		return
	}
	s.part = partHead
}

// takeLine consumes bytes of a chunk-size line, of the line end after a chunk, or of a trailer.
func (s *splitter) takeLine(b []byte) int {
	n := bytes.IndexByte(b, '\n') + 1
	if n == 0 {
		n = len(b)
	}
	s.line = append(s.line, b[:n]...)
	if len(s.line) > maxLineBytes {
		s.setAmbiguous(ambiguous("a chunk-size or trailer line over the size limit"))
		return n
	}
	line, complete := bytes.CutSuffix(s.line, []byte("\n"))
	if !complete {
		return n
	}
	line, crlf := bytes.CutSuffix(line, []byte("\r"))
	if !crlf {
		s.setAmbiguous(ambiguous("a line of the chunked body that does not end in CRLF"))
		return n
	}
	s.lineEnded(line)
	s.line = s.line[:0]
	return n
}

// lineEnded moves on to the part that follows a complete line.
func (s *splitter) lineEnded(line []byte) {
	switch s.part {
	case partChunkLine:
		digits, _, _ := bytes.Cut(line, []byte(";"))
		size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
		switch {
		case err != nil:
			s.setAmbiguous(ambiguous("an invalid chunk size"))
		case size == 0:
			s.part = partTrailer
		default:
			s.part, s.remaining = partChunk, int64(size)
		}
	case partChunkEnd:
		s.part = partChunkLine
		if len(line) > 0 {
			s.setAmbiguous(ambiguous("chunk data longer than the chunk size"))
		}
	case partTrailer:
		if len(line) == 0 {
			s.part = partHead
		}
	}
}

// setAmbiguous treats all further bytes of the connection as part of the current request.
func (s *splitter) setAmbiguous(err error) {
	s.part, s.head, s.line, s.ambiguity = partUnknown, nil, nil, err
}
