package proxy

import (
	"bytes"
	"strconv"
)

// splitter finds the ends of the requests in what comes on a connection.
type splitter struct {
	part      part
	head      []byte // so far, of the request whose head is coming
	line      []byte // so far, of a chunk's line or a trailer
	left      int64  // bytes of the body, or of the chunk, still to come
	ambiguity error  // of the request whose head came last
}

// part is which part of a request the next byte belongs to.
type part uint8

const (
	partHead part = iota
	partBody
	partChunkLine
	partChunk
	partChunkEnd
	partTrailer
	partUnknown // where the request ends is ambiguous
)

// take is how many of the first bytes of b belong to the request under way; at least one,
// if there is one. What lies beyond its end is for a later call.
func (s *splitter) take(b []byte) (taken int) {
	for taken < len(b) {
		taken += s.step(b[taken:])
		if s.part == partHead && len(s.head) == 0 {
			return taken // it is complete
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

// takeHead takes bytes of a head, and learns from the whole head where the body ends.
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

// bodyPartEnded goes on to what follows a body or a chunk.
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
	line, complete := bytes.CutSuffix(s.line, []byte("\n"))
	if !complete {
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

// lineEnded goes on to what follows a line between chunks or behind them.
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

// giveUp takes the rest of the connection for part of the request.
func (s *splitter) giveUp(err error) {
	s.part, s.head, s.line, s.ambiguity = partUnknown, nil, nil, err
}
