package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"violetthread/attempt"
	"violetthread/dispatch"
	"violetthread/internal/callerapi"
)

// call is a request in flight, with the state of its response.
type call struct {
	ref     uint64
	done    chan struct{}
	final   dispatch.Action               // set before done is closed
	cancels map[string]context.CancelFunc // by attempt; guarded by the gateway's lock

	// The attempt's goroutine writes the pieces itself: passing them to the goroutine of the
	// caller's request would cost a wake-up for each piece.
	mu      sync.Mutex // guards the fields below
	flusher http.Flusher
	encoder *json.Encoder
	pieces  int
	closed  bool // the last frame has been written
}

// writeFrame writes a frame, and reports whether that succeeded. After the last frame nothing
// more is written.
func (c *call) writeFrame(frame callerapi.Frame, last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeFrameLocked(frame, last)
}

// writeFrameLocked is writeFrame for callers that hold the lock.
func (c *call) writeFrameLocked(frame callerapi.Frame, last bool) bool {
	if c.closed {
		return false
	}
	if frame.Frame == callerapi.FramePiece {
		frame.Index = c.pieces
		c.pieces++
	}
	if last {
		pieces := c.pieces
		frame.Pieces, c.closed = &pieces, true
	}
	err := c.encoder.Encode(frame)
	if c.flusher != nil {
		c.flusher.Flush()
	}
	return err == nil
}

// finish writes the last frame, which has the outcome.
func (c *call) finish(id string) {
	last := callerapi.Frame{Frame: string(c.final.Outcome), RequestID: id}
	if c.final.Outcome != attempt.Done {
		last.Reason, last.Remedy, last.RetryAfterUS = c.final.Reason, callerapi.Remedy(c.final.Reason), c.final.RetryAfterUS
	}
	c.writeFrame(last, true)
}
