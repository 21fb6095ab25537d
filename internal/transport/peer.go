package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

const (
	dialTimeout   = 500 * time.Millisecond
	redialDelayUS = 100_000 // after a failed dial
)

// Peer is a client of another process. It dials when a message is sent and no connection is
// open, and keeps at most one connection.
type Peer struct {
	group *taskgroup.Group
	addr  string
	dial  func(ctx context.Context, addr string) (net.Conn, error)

	mu              sync.Mutex
	current         *connection
	lastRef         uint64 // not reset when the connection is replaced
	redialNotBefore int64  // microseconds
}

// NewPeer returns a peer at an IP:port without dialing it.
func NewPeer(group *taskgroup.Group, addr string) *Peer {
	return &Peer{group: group, addr: addr, dial: dialTCP}
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// Addr is the IP:port on which the peer listens.
func (p *Peer) Addr() string { return p.addr }

// connection returns the current connection, or starts dialing a new one and returns that
// without waiting. It fails within redialDelayUS of a failed dial.
func (p *Peer) connection() (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && p.current.ctx.Err() == nil {
		return p.current, nil
	}
	if clock.Now() < p.redialNotBefore {
		return nil, trace.ConnectionProblem(nil, "%s was unreachable at the last dial; it is dialed again shortly", p.addr)
	}
	c := newConnection(p.group.Context())
	p.current = c
	p.group.Go("transport.peer", func(context.Context) { p.run(c) })
	return c, nil
}

// run dials a connection and reads from it until it ends.
func (p *Peer) run(c *connection) {
	conn, err := p.dial(c.ctx, p.addr)
	if err != nil {
		p.mu.Lock()
		p.redialNotBefore = clock.Now() + redialDelayUS
		p.mu.Unlock()
		c.cancel(trace.ConnectionProblem(err, "can't connect to %s; check that the process runs and that the address is right", p.addr))
		return
	}
	c.established.Store(true)
	p.group.Go("transport.peer_close", func(context.Context) {
		<-c.ctx.Done()
		_ = conn.Close()
	})
	p.group.Go("transport.peer_write", func(context.Context) {
		writeFrames(c.ctx, func() { c.cancel(errConnectionLost) }, conn, c.writeQueue)
	})
	c.read(conn)
	c.cancel(errConnectionLost)
}

// Send queues a one-way message without waiting. The message is dropped when the write queue
// is full; senders must tolerate the loss of any one-way message.
func (p *Peer) Send(message *fb.FrameT) {
	c, err := p.connection()
	if err == nil {
		taskgroup.TrySend(c.writeQueue, queuedFrame{frame: codec.Encode(message), ctx: c.ctx})
	}
}

// Call sends a request once and waits for its response: at most timeoutUS microseconds, and longer
// only while a frame is arriving, since a large one takes its time on a slow link. A *RemoteError
// is the peer's own response; after any other error it is unknown whether the peer handled the
// request. When the request times out and no frame at all has arrived since it was sent, the
// connection is closed, and the next request dials a new one.
func (p *Peer) Call(ctx context.Context, request *fb.FrameT, timeoutUS int64) (*fb.FrameT, error) {
	c, err := p.connection()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(c.ctx, stop)() // no response can arrive once the connection has ended
	ref, sentAt := p.nextRef(), clock.Now()
	responses := c.addPending(ref)
	defer c.takePending(ref)
	timer, stopTimer := context.WithTimeout(ctx, clock.Duration(timeoutUS))
	defer stopTimer()
	if taskgroup.Send(timer, c.writeQueue, queuedFrame{frame: encodeWithRef(request, ref), ctx: ctx}) {
		if response, ok := c.awaitResponse(ctx, responses, sentAt, timeoutUS); ok {
			return checkResponse(response)
		}
	}
	if len(responses) > 0 { // arrived at the same moment as the time-out or the end of the connection
		return checkResponse(<-responses)
	}
	return nil, p.noResponseError(ctx, c, sentAt)
}

func (p *Peer) nextRef() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRef++
	return p.lastRef
}

func checkResponse(response *fb.FrameT) (*fb.FrameT, error) {
	if e := response.Error; e != nil {
		return nil, &RemoteError{Kind: e.Kind, Text: e.Text}
	}
	return response, nil
}

// noResponseError returns why a request has no response, and closes a connection on which the
// peer has stopped responding.
func (p *Peer) noResponseError(ctx context.Context, c *connection, sentAt int64) error {
	if c.ctx.Err() != nil {
		return trace.ConnectionProblem(context.Cause(c.ctx), "the connection to %s ended; the request may have been handled", p.addr)
	}
	timedOut := ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded)
	if timedOut && c.established.Load() && c.lastReceivedAt.Load() < sentAt {
		c.cancel(errConnectionLost)
	}
	return trace.ConnectionProblem(ctx.Err(), "%s did not respond in time; the request may have been handled", p.addr)
}
