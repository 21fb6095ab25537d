package proxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"violetthread/internal/clock"
)

// pool keeps connections to engines. A connection carries one request at a time, and
// is used again only if its last answer was whole and nothing lies on it unasked.
type connPool struct {
	mu     sync.Mutex
	idle   map[string][]*engineConn // by engine's life
	dialed uint64
	reused uint64

	dialTimeoutUS int64
}

// engineConn is a connection to one engine.
type engineConn struct {
	net.Conn
	br          *bufio.Reader
	used        int
	usableUntil int64 // not used again after it
}

const (
	maxAnswerHeadBytes = 16 << 10

	maxIdleUS        = 4_000_000 // a connection idle for longer is not used again
	maxIdlePerEngine = 24        // idle connections kept to one engine

	defaultDialTimeoutUS = 350_000
)

func newConnPool() *connPool {
	return &connPool{idle: map[string][]*engineConn{}, dialTimeoutUS: defaultDialTimeoutUS}
}

// get is an idle connection to an engine's life, or none.
func (p *connPool) get(id string) *engineConn {
	for {
		p.mu.Lock()
		l := p.idle[id]
		if len(l) == 0 {
			p.mu.Unlock()
			return nil
		}
		w := l[len(l)-1] // the one used last
		p.idle[id] = l[:len(l)-1]
		p.mu.Unlock()
		if clock.Now() < w.usableUntil && w.quiet() {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return w
		}
		w.kill()
	}
}

// quiet reports whether the far end has neither closed nor said anything.
func (c *engineConn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	rc, err := t.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		clean = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && clean
}

// dial makes a new connection. A far end that falls silent is noticed by the kernel.
func (p *connPool) dial(ctx context.Context, addr string) (*engineConn, error) {
	d := net.Dialer{Timeout: clock.Duration(p.dialTimeoutUS), KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: clock.Duration(1_000_000), Interval: clock.Duration(1_000_000), Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 2000)
			})
		}}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return &engineConn{Conn: c, br: bufio.NewReaderSize(c, maxAnswerHeadBytes)}, nil
}

// put gives a connection back after a whole answer.
func (p *connPool) put(id string, w *engineConn, h http.Header) {
	keep := keepAlive(h)
	if w.br.Buffered() > 0 || keep <= 0 {
		w.kill()
		return
	}
	w.used++
	w.usableUntil = clock.Now() + keep
	_ = w.SetDeadline(noTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdlePerEngine {
		w.kill()
		return
	}
	p.idle[id] = append(p.idle[id], w)
}

// keepAlive is for how long a connection may lie idle, going by the engine's word.
func keepAlive(h http.Header) int64 {
	keep := int64(maxIdleUS)
	for _, f := range strings.Split(h.Get("Keep-Alive"), ",") {
		if s, ok := strings.CutPrefix(strings.TrimSpace(f), "timeout="); ok {
			if n, err := strconv.ParseInt(s, 10, 64); err == nil {
				keep = min(keep, n*1_000_000-400_000)
			}
		}
	}
	return keep
}

// readHead reads the head of the next answer, to a request of this kind. An answer that
// leaves a doubt about its end is an error.
func (c *engineConn) readHead(request *http.Request) (*http.Response, error) {
	for {
		came, _ := c.br.Peek(c.br.Buffered())
		if end := headEnd(came); end > 0 {
			if _, err := framingOf(came[:end]); err != nil {
				return nil, err
			}
			return http.ReadResponse(c.br, request)
		}
		if len(came) == c.br.Size() {
			return nil, trace.LimitExceeded("the head of an answer is over %d bytes", c.br.Size())
		}
		if _, err := c.br.Peek(len(came) + 1); err != nil {
			return nil, err
		}
	}
}

// kill drops a connection at once: what is still on its way is not sent any more.
func (c *engineConn) kill() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// sweep drops connections to engines that are gone, and those idle for too long.
func (p *connPool) sweep(live func(id string) bool) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.idle {
		keep := l[:0]
		for _, w := range l {
			if live(id) && now < w.usableUntil {
				keep = append(keep, w)
			} else {
				w.kill()
			}
		}
		if p.idle[id] = keep; len(keep) == 0 {
			delete(p.idle, id)
		}
	}
}

// closeIdle drops all idle connections.
func (p *connPool) closeIdle() { p.sweep(func(string) bool { return false }) }
