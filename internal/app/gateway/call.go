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

// call is one caller's request on its way, with the answer to it.
type call struct {
	ref     uint64
	done    chan struct{}
	final   dispatch.Action               // set before done is closed
	cancels map[string]context.CancelFunc // by attempt, under the gateway's lock

	// The attempt writes its pieces itself: handing each to the caller's own goroutine
	// would cost a wake-up for each piece.
	mu      sync.Mutex // guards what follows
	flusher http.Flusher
	encoder *json.Encoder
	pieces  int
	closed  bool // the last frame went out
}

// writeFrame writes a frame, and reports whether it could; after the last one nothing more
// goes out.
func (c *call) writeFrame(frame callerapi.Frame, last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeFrameLocked(frame, last)
}

// writeFrameLocked is writeFrame for a holder of the lock.
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

// finish writes the last frame, which says the outcome.
func (c *call) finish(id string) {
	last := callerapi.Frame{Frame: string(c.final.Outcome), RequestID: id}
	if c.final.Outcome != attempt.Done {
		last.Reason, last.Remedy, last.RetryAfterUS = c.final.Reason, callerapi.Remedy(c.final.Reason), c.final.RetryAfterUS
	}
	c.writeFrame(last, true)
}
