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

// connection is one connection to a peer, from its dial on. Its context ends with it; the
// cause says why.
type connection struct {
	ctx  context.Context
	stop context.CancelCauseFunc
	out  chan outgoing

	mu      sync.Mutex
	waiting map[uint64]chan *fb.FrameT // requests without a response yet, by number

	established atomic.Bool
	heardAt     atomic.Int64 // when the peer was last heard, in microseconds
}

func newConnection(parent context.Context) *connection {
	c := &connection{out: make(chan outgoing, writeQueue), waiting: map[uint64]chan *fb.FrameT{}}
	c.ctx, c.stop = context.WithCancelCause(parent)
	return c
}

// read hands each response to the request whose number it bears, once, until the connection
// fails. A response to no request is dropped.
func (c *connection) read(conn net.Conn) {
	reader := newReader(conn)
	for {
		frame, err := codec.ReadFrame(reader)
		if err != nil {
			return
		}
		framesReceived.Add(1)
		c.heardAt.Store(clock.Now())
		if response := c.forget(frame.Ref); response != nil {
			response <- frame
		}
	}
}

// expect returns the channel that the response to a request will come on.
func (c *connection) expect(ref uint64) <-chan *fb.FrameT {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := make(chan *fb.FrameT, 1)
	c.waiting[ref] = response
	return response
}

// forget takes a request off those that wait, and returns its channel if it was one.
func (c *connection) forget(ref uint64) chan<- *fb.FrameT {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := c.waiting[ref]
	delete(c.waiting, ref)
	return response
}
