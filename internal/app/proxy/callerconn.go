package proxy

import (
	"context"
	"net"
	"sync"
	"time"
)

// callerConn is a caller's connection. It hands on one request at a time: what arrived together
// with a request and lies beyond its end stays here until the next one is read.
type callerConn struct {
	net.Conn
	mu       sync.Mutex
	requests splitter
	pending  []byte // beyond the end of a request
	idle     idleState
}

type callerConnKey struct{}

// callerListener accepts callers' connections. idleLimit is how long one may rest.
type callerListener struct {
	net.Listener
	idleLimit func() time.Duration
}

// Accept waits for the next caller.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, idle: idleState{limit: l.idleLimit}}, nil
}

// withCallerConn and callerConnOf carry a request's connection in its context.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// Read never reads beyond the end of a request. One read at a time is under way.
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
	for n == 0 && c.staysIdle(err) {
		n, err = c.Conn.Read(b)
	}
	c.mu.Lock()
	if n > 0 {
		c.idle.since = time.Time{} // the next request has begun
	}
	taken := c.requests.take(b[:n])
	c.pending = append([]byte(nil), b[taken:n]...)
	return taken, err
}

// ambiguity says why it is not clear where the request whose head came last ends; nil if it is.
func (c *callerConn) ambiguity() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests.ambiguity
}

// resetOnClose makes the end of the connection visible as an abnormal one.
func (c *callerConn) resetOnClose() {
	if c == nil {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
