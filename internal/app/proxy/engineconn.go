package proxy

import (
	"bufio"
	"errors"
	"net"
	"net/http"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// maxAnswerHeadBytes bounds the head of an engine's answer.
const maxAnswerHeadBytes = 16 << 10

// engineConn is a connection to one engine.
type engineConn struct {
	net.Conn
	br          *bufio.Reader
	used        int   // complete answers that it carried
	usableUntil int64 // monotonic microseconds; not used again after it
	idleSince   int64 // monotonic microseconds at which its last answer ended
	idledUS     int64 // for how long it was idle before it was used again
}

// quiet reports whether the engine has neither closed the connection nor sent anything.
func (c *engineConn) quiet() bool {
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
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var first [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && clean
}

// readHead reads the head of the next answer, to a request of this kind. An answer whose end is
// ambiguous is an error.
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
			return nil, trace.LimitExceeded("the head of an answer is over %d bytes", c.br.Size())
		}
		if _, err := c.br.Peek(len(received) + 1); err != nil {
			return nil, err
		}
	}
}

// kill drops a connection at once: what is still on its way is not sent any more.
func (c *engineConn) kill() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
