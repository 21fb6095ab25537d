package proxy

import (
	"context"
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
}

type callerConnKey struct{}

// callerListener accepts callers' connections. idleLimit returns how long one may stay idle.
type callerListener struct {
	net.Listener
	idleLimit func() time.Duration
}

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limited, _ := c.(*limits.Conn)
	return &callerConn{Conn: c, limited: limited, idle: idleState{limit: l.idleLimit}}, nil
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
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := copy(b, c.pending); n > 0 {
		c.idle.since = time.Time{}
		taken := c.requests.take(b[:n])
		c.pending = c.pending[taken:]
		return taken, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	for n == 0 && c.extendIdle(err) {
		n, err = c.Conn.Read(b)
	}
	c.mu.Lock()
	if n > 0 {
		c.idle.since = time.Time{} // the next request has started
	}
	taken := c.requests.take(b[:n])
	c.pending = append([]byte(nil), b[taken:n]...)
	return taken, err
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
