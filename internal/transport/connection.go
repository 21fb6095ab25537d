package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
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
	lastByteAt     atomic.Int64 // time of the last byte from the peer, in microseconds
	partialBytes   atomic.Int64 // received after the last whole frame
}

// maxArrivalUS bounds how long a call waits for frames that are arriving, in microseconds: a peer
// gives up writing one after that time.
const maxArrivalUS = int64(writeTimeout / time.Microsecond)

func newConnection(parent context.Context) *connection {
	c := &connection{writeQueue: make(chan queuedFrame, writeQueueFrames), pending: map[uint64]chan *fb.FrameT{}}
	c.ctx, c.cancel = context.WithCancelCause(parent)
	return c
}

// read passes each response to the pending request with the same reference number, until
// the connection fails. Duplicate responses, and those to no pending request, are dropped.
func (c *connection) read(conn net.Conn) {
	reader := newReader(arrivalConn{conn, c}, dialedBufferBytes)
	for {
		frame, err := codec.ReadFrame(reader)
		if err != nil {
			return
		}
		c.partialBytes.Store(int64(reader.Buffered()))
		framesReceived.Add(1)
		c.lastReceivedAt.Store(clock.Now())
		if response := c.takePending(frame.Ref); response != nil {
			response <- frame
		}
	}
}

// arrivalConn records on a connection when bytes arrive.
type arrivalConn struct {
	net.Conn
	connection *connection
}

func (a arrivalConn) Read(b []byte) (int, error) {
	n, err := a.Conn.Read(b)
	a.connection.partialBytes.Add(int64(n))
	a.connection.lastByteAt.Store(clock.Now())
	return n, err
}

// awaitResponse waits for the response to a request that was sent at sentAt: timeoutUS, and again
// that long as long as a part of a frame has arrived meanwhile, up to maxArrivalUS.
func (c *connection) awaitResponse(ctx context.Context, responses <-chan *fb.FrameT, sentAt, timeoutUS int64) (*fb.FrameT, bool) {
	waitUntil := sentAt + timeoutUS
	for {
		now := clock.Now()
		timer, stop := context.WithTimeout(ctx, clock.Duration(max(0, waitUntil-now)))
		response, ok := taskgroup.Receive(timer, responses)
		stop()
		if ok || ctx.Err() != nil {
			return response, ok
		}
		arriving := c.partialBytes.Load() > 0 && c.lastByteAt.Load() >= waitUntil-timeoutUS
		if !arriving || waitUntil >= sentAt+maxArrivalUS {
			return nil, false
		}
		waitUntil = min(waitUntil+timeoutUS, max(sentAt+maxArrivalUS, waitUntil))
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
