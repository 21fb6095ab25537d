package proxy

import (
	"bufio"
	"errors"
	"net"
	"net/http"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// maxResponseHeaderBytes bounds the head of an engine's response.
const maxResponseHeaderBytes = 16 << 10

// engineConn is a connection to one engine.
type engineConn struct {
	net.Conn
	br          *bufio.Reader
	used        int   // complete responses received
	usableUntil int64 // monotonic microseconds; not reused after this time
	idleSince   int64 // monotonic microseconds at which the last response ended
	idledUS     int64 // how long it was idle before it was reused
}

// nothingReceived reports whether the connection is open and has no unread data.
func (c *engineConn) nothingReceived() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var first [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

// readHead reads the head of the next response, which answers a request of this method. A response
// with ambiguous framing is an error.
func (c *engineConn) readHead(request *http.Request) (*http.Response, error) {
	for {
		received, _ := c.br.Peek(c.br.Buffered())
		if end := headEnd(received); end > 0 {
			if _, err := framingOf(received[:end]); err != nil {
				return nil, err
			}
			return http.ReadResponse(c.br, request)
		}
		if len(received) == c.br.Size() {
			return nil, trace.LimitExceeded("the head of a response exceeds %d bytes", c.br.Size())
		}
		if _, err := c.br.Peek(len(received) + 1); err != nil {
			return nil, err
		}
	}
}

// reset closes the connection with a TCP reset: data not sent yet is discarded.
func (c *engineConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
