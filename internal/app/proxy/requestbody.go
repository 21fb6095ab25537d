package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"violetthread/internal/clock"
	"violetthread/internal/limits"
)

const (
	bodyReadTimeoutUS = 15_000_000 // longest time to receive a request body
	defaultBodyBytes  = 16 << 20   // limit if the configuration sets none

	minBodyBlockBytes = 4 << 10
	maxBodyBlockBytes = 64 << 10
)

// requestBody is the body of a caller's request. It consists of blocks, so that it grows without being
// copied.
type requestBody struct {
	blocks [][]byte
	length int64

	// discarded is set if the body was read and not kept, as the request would be rejected anyway.
	discarded bool
}

// text returns the content of a short body.
func (b requestBody) text() []byte {
	if len(b.blocks) == 0 {
		return nil
	}
	return b.blocks[0]
}

// isLong reports whether the body is to be sent block by block.
func (b requestBody) isLong() bool { return len(b.blocks) > 1 }

// writeTo writes the whole body.
func (b requestBody) writeTo(w io.Writer) error {
	for _, block := range b.blocks {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// readBody reads the whole request body. If it returns false, it has already responded.
func (s *server) readBody(f *forwardedRequest) (body requestBody, ok bool) {
	w, r := f.writer, f.request
	limit := f.view.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		s.respondError(w, http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return body, false
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(clock.Duration(bodyReadTimeoutUS)))
	reader := bodyReader{forwarded: f, source: http.MaxBytesReader(w, r.Body, limit), announced: r.ContentLength}
	err := reader.read()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		s.respondError(w, http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return body, false
	case err != nil:
		panic(http.ErrAbortHandler) // the body is incomplete: nothing to respond to
	}
	_ = control.SetReadDeadline(noDeadline)
	return reader.body, true
}

// bodyReader reads a body. It reserves memory for what is longer than limits.Allowance.
type bodyReader struct {
	forwarded *forwardedRequest
	source    io.Reader
	announced int64 // length that the caller announced; -1 if unknown
	body      requestBody
}

// read reads the body to its end.
func (b *bodyReader) read() error {
	for {
		if !b.addBlock() {
			return b.discard()
		}
		err := b.fillBlock()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// addBlock allocates the next block. It returns false if the body is not to be kept.
func (b *bodyReader) addBlock() bool {
	size := min(max(b.body.length, minBodyBlockBytes), maxBodyBlockBytes)
	if b.announced >= 0 {
		size = min(size, max(b.announced-b.body.length, 1))
	}
	if b.announced >= 0 && b.announced <= limits.Allowance {
		size = max(b.announced, 1)
	}
	if b.body.length+size > limits.Allowance && !b.reserve(size) {
		return false
	}
	b.body.blocks = append(b.body.blocks, make([]byte, 0, size))
	return true
}

// reserve reserves memory for a block of a long body.
func (b *bodyReader) reserve(size int64) bool {
	conn := b.forwarded.conn
	if b.body.length <= limits.Allowance {
		if b.forwarded.server.findRejection(b.forwarded).reason != "" {
			return false
		}
		conn.Expand()
	}
	return conn.Reserve(size)
}

// fillBlock reads until the last block is full; io.EOF at the end of the body.
func (b *bodyReader) fillBlock() error {
	last := &b.body.blocks[len(b.body.blocks)-1]
	for len(*last) < cap(*last) {
		n, err := b.source.Read((*last)[len(*last):cap(*last)])
		*last = (*last)[:len(*last)+n]
		b.body.length += int64(n)
		if err != nil {
			return err
		}
	}
	return nil
}

// discard drops what has been read and reads the rest of the body, so that the caller gets the response.
func (b *bodyReader) discard() error {
	b.body = requestBody{discarded: true}
	_, err := io.Copy(io.Discard, b.source)
	return err
}
