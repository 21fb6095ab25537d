package proxy

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"violetthread/internal/clock"
)

// connPool keeps connections to engines. A connection carries one request at a time, and is
// used again only if its last answer was complete and nothing unasked has arrived on it.
type connPool struct {
	mu     sync.Mutex
	idle   map[string][]*engineConn // by id of the engine's incarnation, the one used last at the end
	dialed uint64                   // connections made
	reused uint64                   // connections taken out of the pool

	dialTimeoutUS int64
}

const (
	maxIdleUS        = 4_000_000 // a connection idle for longer is not used again
	keepAliveSlackUS = 400_000   // and one is given up so long before its engine does
	maxIdlePerEngine = 24        // idle connections kept to one engine

	defaultDialTimeoutUS = 350_000
	keepAliveUS          = 1_000_000 // between two probes of an idle connection
	keepAliveProbes      = 2         // unanswered, after which it is broken
	userTimeoutMS        = 2000      // for data that is not acknowledged
)

func newConnPool() *connPool {
	return &connPool{idle: map[string][]*engineConn{}, dialTimeoutUS: defaultDialTimeoutUS}
}

// get takes an idle connection to an engine's incarnation; nil if there is none.
func (p *connPool) get(id string) *engineConn {
	for {
		p.mu.Lock()
		idle := p.idle[id]
		if len(idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := idle[len(idle)-1] // the one used last
		p.idle[id] = idle[:len(idle)-1]
		p.mu.Unlock()
		if clock.Now() < c.usableUntil && c.quiet() {
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c
		}
		c.kill()
	}
}

// dial makes a new connection. An engine that falls silent is noticed by the kernel.
func (p *connPool) dial(ctx context.Context, addr string) (*engineConn, error) {
	dialer := net.Dialer{
		Timeout: clock.Duration(p.dialTimeoutUS),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     clock.Duration(keepAliveUS),
			Interval: clock.Duration(keepAliveUS),
			Count:    keepAliveProbes,
		},
		Control: setUserTimeout,
	}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return &engineConn{Conn: c, br: bufio.NewReaderSize(c, maxAnswerHeadBytes)}, nil
}

// setUserTimeout has the kernel give a connection up whose data is not acknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMS)
	})
}

// put gives a connection back after a complete answer with these headers.
func (p *connPool) put(id string, c *engineConn, header http.Header) {
	keep := keepAlive(header)
	if c.br.Buffered() > 0 || keep <= 0 {
		c.kill()
		return
	}
	c.used++
	c.usableUntil = clock.Now() + keep
	_ = c.SetDeadline(noDeadline)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdlePerEngine {
		c.kill()
		return
	}
	p.idle[id] = append(p.idle[id], c)
}

// keepAlive is for how long a connection may be idle, in microseconds, going by the engine's
// Keep-Alive header.
func keepAlive(header http.Header) int64 {
	keep := int64(maxIdleUS)
	for _, directive := range strings.Split(header.Get("Keep-Alive"), ",") {
		if seconds, ok := strings.CutPrefix(strings.TrimSpace(directive), "timeout="); ok {
			if timeout, err := strconv.ParseInt(seconds, 10, 64); err == nil {
				keep = min(keep, timeout*1_000_000-keepAliveSlackUS)
			}
		}
	}
	return keep
}

// sweep drops connections to engines that are gone, and those idle for too long.
func (p *connPool) sweep(live func(id string) bool) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, idle := range p.idle {
		keep := idle[:0]
		for _, c := range idle {
			if live(id) && now < c.usableUntil {
				keep = append(keep, c)
			} else {
				c.kill()
			}
		}
		if p.idle[id] = keep; len(keep) == 0 {
			delete(p.idle, id)
		}
	}
}

// closeIdle drops all idle connections.
func (p *connPool) closeIdle() { p.sweep(func(string) bool { return false }) }
