package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/schema/fb"
)

// connection is one client connection to a peer; it exists from the start of the dial. Its
// context ends when the connection does, with the reason as the cause.
type connection struct {
	ctx        context.Context
	cancel     context.CancelCauseFunc
	writeQueue chan queuedFrame

	mu      sync.Mutex
	pending map[uint64]chan *fb.FrameT // response channels of pending requests, by reference number

	established    atomic.Bool
	lastReceivedAt atomic.Int64 // time of the last frame from the peer, in microseconds
}

func newConnection(parent context.Context) *connection {
	c := &connection{writeQueue: make(chan queuedFrame, writeQueueFrames), pending: map[uint64]chan *fb.FrameT{}}
	c.ctx, c.cancel = context.WithCancelCause(parent)
	return c
}

// read passes each response to the pending request with the same reference number, until
// the connection fails. Duplicate responses, and those to no pending request, are dropped.
func (c *connection) read(conn net.Conn) {
	reader := newReader(conn, dialedBufferBytes)
	for {
		frame, err := codec.ReadFrame(reader)
		if err != nil {
			return
		}
		framesReceived.Add(1)
		c.lastReceivedAt.Store(clock.Now())
		if response := c.takePending(frame.Ref); response != nil {
			response <- frame
		}
	}
}

// addPending registers a request and returns the channel that receives its response.
func (c *connection) addPending(ref uint64) <-chan *fb.FrameT {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := make(chan *fb.FrameT, 1)
	c.pending[ref] = response
	return response
}

// takePending removes a pending request and returns its response channel, nil if there is
// no such request.
func (c *connection) takePending(ref uint64) chan<- *fb.FrameT {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := c.pending[ref]
	delete(c.pending, ref)
	return response
}
