package limits

import (
	"bytes"
	"container/list"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// ErrOverloaded means that a port can't hold more at the moment.
var ErrOverloaded = trace.LimitExceeded("this process holds as much as its memory allows; retry shortly")

const (
	// Memory that parsing a message head takes: copies of its text, and the entries of its fields.
	headCopies     = 4
	headFieldBytes = 220

	// headStepBytes is how much the cost of a head grows between two reservations.
	headStepBytes = 8 << 10

	// largeBufferBytes replaces kernelBufferBytes while a large message is transferred. With smaller
	// buffers, a sender waits for the delayed acknowledgement of nearly each segment.
	largeBufferBytes = 64 << 10
	// expandedBytes is what a connection holds more when one of its buffers is large.
	expandedBytes = 2 * largeBufferBytes

	// largeWriteBytes is the size from which a write is worth a large buffer: more than a small one takes.
	largeWriteBytes = 2 * kernelBufferBytes
)

// Conn is an accepted connection whose peer's use of memory is bounded.
type Conn struct {
	net.Conn
	port         *Port
	readingHead  atomic.Bool  // the bytes read belong to the head of a request
	writingSince atomic.Int64 // start of a write in progress, in Unix nanoseconds; 0 for none

	// Only the goroutine that serves the connection's requests uses these.
	headCost     int64
	headReserved int64
	expanded     bool // the kernel's receive buffer has largeBufferBytes

	// sendExpanded is changed under port.mu.
	sendExpanded atomic.Bool // the kernel's send buffer has largeBufferBytes, and expandedBytes are held for it

	// Guarded by port.mu.
	held      int64         // bytes beyond connectionBytes
	waiting   *list.Element // in waitingIn; nil while the connection does not wait for its peer
	waitingIn *list.List
	holding   *list.Element // in port.holding
	proven    bool
	evicted   bool
	inGroup   bool
	group     string

	waitingSince time.Time
}

// Listen listens on a TCP address. The connections are accounted to a port.
func Listen(addr string, port *Port) (net.Listener, error) {
	config := net.ListenConfig{Control: setKernelBuffers}
	inner, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return listener{inner, port}, nil
}

// setKernelBuffers fixes the sizes of a listening socket's buffers, which accepted connections inherit.
// It is not an error if a system has no such buffers.
func setKernelBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) { setBuffers(int(fd), kernelBufferBytes) })
}

func setBuffers(fd, size int) {
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size)
}

type listener struct {
	net.Listener
	port *Port
}

// Accept returns the next connection that fits into the port's bound. Others are closed at once, so that
// no connections pile up in the kernel.
func (l listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: inner, port: l.port}
		c.readingHead.Store(true)
		if l.port.add(c) {
			return c, nil
		}
		c.closeWithReset()
	}
}

// closeWithReset closes the connection without its owner's doing. What was not sent yet is discarded, so
// that the kernel keeps nothing of it.
func (c *Conn) closeWithReset() {
	_ = c.SetLinger(0)
	_ = c.Conn.Close()
}

// Close closes the connection for its owner, and releases all that it held.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.port.remove(c)
	return err
}

// SetLinger sets the behavior of Close, as that of a net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the writing side, as that of a net.TCPConn.
func (c *Conn) CloseWrite() error {
	if c == nil {
		return nil
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Read reads from the connection. It fails if the head of a request takes more memory than the port has.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.readingHead.Load() && !c.countHead(b[:n]) {
		return 0, ErrOverloaded
	}
	return n, err
}

// countHead accounts bytes of a head.
func (c *Conn) countHead(b []byte) bool {
	c.headCost += int64(headCopies*len(b) + headFieldBytes*bytes.Count(b, []byte("\n")))
	beyond := c.headCost - Allowance - c.headReserved
	if beyond <= 0 {
		return true
	}
	n := beyond + headStepBytes
	c.headReserved += n
	return c.Reserve(n)
}

// Reserve accounts n more bytes to the connection until its request ends. It returns false if the port
// has no memory for them. They must be reserved before they are allocated.
func (c *Conn) Reserve(n int64) bool {
	if c == nil || n <= 0 {
		return true
	}
	return c.port.reserve(c, n, false)
}

// ReserveOrWait is Reserve, but waits for useful connections to release memory, rather than having them
// evicted at once. It returns false only if the connection ends.
func (c *Conn) ReserveOrWait(n int64) bool {
	if c == nil || n <= 0 {
		return true
	}
	return c.port.reserve(c, n, true)
}

// Release undoes a part of earlier reservations.
func (c *Conn) Release(n int64) {
	if c == nil {
		return
	}
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	c.port.release(c, n)
}

// EnterGroup accounts what the connection holds to a group of peers, such as a tenant. A group can hold
// at most half of a port's bytes; false if it would hold more.
func (c *Conn) EnterGroup(group string) bool {
	return c == nil || c.port.enterGroup(c, group)
}

// Prove records that the connection has been useful, so that connections that have not are evicted first.
func (c *Conn) Prove() {
	if c == nil {
		return
	}
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	c.proven = true
}

// Receiving records that the connection waits for the rest of a message.
func (c *Conn) Receiving() {
	if c == nil {
		return
	}
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	c.port.startWaiting(c)
}

// HeadReceived records that the head of a request is complete.
func (c *Conn) HeadReceived() {
	if c != nil {
		c.readingHead.Store(false)
	}
}

// Serving records that the connection does not wait for its peer, because a complete request is being
// handled. It returns false if the connection has been evicted.
func (c *Conn) Serving() bool {
	if c == nil {
		return true
	}
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	c.port.stopWaiting(c)
	return !c.evicted
}

// Idle records that a request has been answered. All that it held is released, but for a large
// send buffer, and the connection waits for the next request.
func (c *Conn) Idle() {
	if c == nil {
		return
	}
	c.headCost, c.headReserved = 0, 0
	c.readingHead.Store(true)
	c.shrink()
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	c.port.leaveGroup(c)
	c.port.releaseRequest(c)
	c.port.startWaiting(c)
}

// Expand enlarges the kernel's receive buffer for a large message if the port has the memory. Idle
// undoes it.
func (c *Conn) Expand() {
	if c == nil || c.expanded || !c.port.tryReserve(c, expandedBytes) {
		return
	}
	c.expanded = true
	c.setBuffer(unix.SO_RCVBUF, largeBufferBytes)
}

// Shrink undoes Expand before the connection is idle.
func (c *Conn) Shrink() {
	if c == nil || !c.expanded {
		return
	}
	c.shrink()
	c.Release(expandedBytes)
}

// shrink restores the kernel's receive buffer.
func (c *Conn) shrink() {
	if c.expanded {
		c.expanded = false
		c.setBuffer(unix.SO_RCVBUF, kernelBufferBytes)
	}
}

// setBuffer sets the size of one of the kernel's buffers.
func (c *Conn) setBuffer(option, size int) {
	c.control(func(fd int) { _ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, size) })
}

// control calls use with the connection's descriptor, if it has one.
func (c *Conn) control(use func(fd int)) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { use(int(fd)) })
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// WithConn stores a connection in the context of its requests; it is an http.Server's ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	limited, ok := c.(*Conn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, limited)
}

// ConnOf returns the connection of a request; nil if it is not accounted to a port.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// TrackState records net/http's state of a connection; it is an http.Server's ConnState.
func TrackState(c net.Conn, state http.ConnState) {
	if limited, ok := c.(*Conn); ok {
		limited.TrackState(state)
	}
}

// TrackState records net/http's state of the connection.
func (c *Conn) TrackState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.Receiving()
	case http.StateIdle:
		c.Idle()
	}
}
