package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// readBufferBytes is the size of a Reader's buffer; longer events are assembled from several reads.
const readBufferBytes = 4096

// reserveStepBytes is the least that a Reader reserves at once.
const reserveStepBytes = 64 << 10

// Reader reads the events of one stream and validates them and their order.
type Reader struct {
	source    *bufio.Reader
	extension ExtensionField
	lastID    uint64
	started   bool // an event has been read

	// Reserve, if set, is called before an event takes more bytes than any before it, with the
	// difference. Its error ends the stream.
	Reserve  func(bytes int) error
	reserved int
}

// NewReader returns a reader of the stream in body. extension may be nil.
func NewReader(body io.Reader, extension ExtensionField) *Reader {
	return &Reader{source: bufio.NewReaderSize(body, readBufferBytes), extension: extension}
}

// Next returns the next event. The error is io.EOF after the last event of a stream that ended
// with its body, a Violation, or the error of the body.
func (r *Reader) Next() (Event, error) {
	for {
		raw, err := r.readBlock()
		switch {
		case errors.Is(err, io.EOF) && len(raw) > 0:
			return Event{}, IncompleteEvent
		case err != nil:
			return Event{}, err
		}
		if isComment(raw) {
			continue
		}
		event, err := Parse(raw, r.extension)
		switch {
		case err != nil:
			return Event{}, err
		case r.started && event.ID <= r.lastID:
			return Event{}, IDNotRising
		}
		r.lastID, r.started = event.ID, true
		return event, nil
	}
}

// readBlock returns the bytes up to and including the next blank line. With io.EOF it returns the
// bytes that are left over.
func (r *Reader) readBlock() (block []byte, err error) {
	lineStart := 0
	for {
		part, err := r.source.ReadSlice('\n')
		if err := r.reserve(len(block) + len(part)); err != nil {
			return nil, err
		}
		block = append(block, part...)
		if len(block) > MaxEventBytes {
			return nil, TooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return block, err
		}
		if line, _ := trimLineEnd(block[lineStart:]); len(line) == 0 {
			return block, nil
		}
		lineStart = len(block)
	}
}

// reserve reserves the memory of an event of this length.
func (r *Reader) reserve(length int) error {
	size := 2 * length // a block's capacity about doubles as it grows
	if r.Reserve == nil || size <= max(r.reserved, 2*readBufferBytes) {
		return nil
	}
	more := max(size-r.reserved, reserveStepBytes)
	r.reserved += more
	return r.Reserve(more)
}

// isComment reports whether a block consists of valid comment lines alone.
func isComment(block []byte) bool {
	if !isText(block) || block[0] != ':' {
		return false
	}
	for line := range bytes.Lines(block) {
		if text, _ := trimLineEnd(line); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}
