package proxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"violetthread/internal/limits"
)

// callerConn is a caller's connection. Its reads return the bytes of one request at a time:
// pipelined bytes beyond the end of a request are buffered until the next request is read.
type callerConn struct {
	net.Conn
	limited  *limits.Conn // the same connection; nil if it is not accounted to a port
	mu       sync.Mutex
	requests splitter
	pending  []byte // received beyond the end of the current request
	idle     idleState
	head     headState
}

type callerConnKey struct{}

// callerListener accepts callers' connections. idleLimit returns how long one may stay idle, headLimits
// what bounds the head of a request; both return what is in force at the time.
type callerListener struct {
	net.Listener
	idleLimit  func() time.Duration
	headLimits func() headLimits
}

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limited, _ := c.(*limits.Conn)
	accepted := &callerConn{Conn: c, limited: limited, idle: idleState{limit: l.idleLimit}, head: headState{limits: l.headLimits}}
	accepted.head.begin()
	return accepted, nil
}

// withCallerConn and callerConnOf store and load a request's connection in its context.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// limitedConnOf returns the accounted connection of a request; nil if there is none.
func limitedConnOf(ctx context.Context) *limits.Conn {
	c := callerConnOf(ctx)
	if c == nil {
		return nil
	}
	return c.limited
}

// CloseWrite closes the writing side, so that the caller can read a response before the connection is
// closed.
func (c *callerConn) CloseWrite() error { return c.limited.CloseWrite() }

// Read never reads beyond the end of a request. It must not be called concurrently.
func (c *callerConn) Read(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	taken, tooLong, err := c.readRequest(b)
	if tooLong {
		c.rejectHead()
		return 0, io.EOF // net/http closes the connection without an answer of its own
	}
	return taken, err
}

// readRequest reads bytes of one request. tooLong says that they make its head longer than it may be.
func (c *callerConn) readRequest(b []byte) (taken int, tooLong bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(b, c.pending)
	received := n == 0
	if received {
		c.mu.Unlock()
		n, err = c.receive(b)
		c.mu.Lock()
	}
	if n > 0 {
		c.leaveIdle()
	}
	heads := c.requests.heads
	taken = c.requests.take(b[:n])
	if received {
		c.pending = append([]byte(nil), b[taken:n]...)
	} else {
		c.pending = c.pending[taken:]
	}
	if c.requests.heads > heads {
		c.head.since = time.Time{}
	}
	return taken, c.headTooLong(heads), err
}

// receive reads from the connection until bytes arrive or a limit of the current configuration ends it.
func (c *callerConn) receive(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for n == 0 && c.extendDeadline(err) {
		n, err = c.Conn.Read(b)
	}
	return n, err
}

// ambiguity returns why the end of the latest request is ambiguous; nil if it is not.
func (c *callerConn) ambiguity() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.ambiguity
}

// resetOnClose makes a later Close send a TCP reset, so that the caller sees that the response was
// cut off.
func (c *callerConn) resetOnClose() {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}
