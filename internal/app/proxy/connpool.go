package proxy

import (
	"bufio"
	"context"
	"net"
	"net/http"
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
	limits map[string]*idleLimit    // by pool of engines
	dialed uint64                   // connections made
	reused uint64                   // connections taken out of the pool

	dialTimeoutUS int64
	longKeepAlive bool // connections are kept for as long as engines say
}

const (
	maxIdlePerEngine = 24 // idle connections kept to one engine

	defaultDialTimeoutUS = 350_000
	keepAliveUS          = 1_000_000 // between two probes of an idle connection
	keepAliveProbes      = 2         // unanswered, after which it is broken
	userTimeoutMS        = 2000      // for data that is not acknowledged
)

func newConnPool() *connPool {
	return &connPool{
		idle:          map[string][]*engineConn{},
		limits:        map[string]*idleLimit{},
		dialTimeoutUS: defaultDialTimeoutUS,
		longKeepAlive: true,
	}
}

// limit is what is known of idle connections to a pool's engines. Called under the lock.
func (p *connPool) limit(pool string) *idleLimit {
	limit := p.limits[pool]
	if limit == nil {
		limit = &idleLimit{}
		p.limits[pool] = limit
	}
	return limit
}

// connected reports whether there is an idle connection to an engine's incarnation.
func (p *connPool) connected(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[id]
	return len(idle) > 0 && clock.Now() < idle[len(idle)-1].usableUntil
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
		now := clock.Now()
		if now < c.usableUntil && c.quiet() {
			c.idledUS = now - c.idleSince
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

// lost takes in that a connection to a pool's engine, which had been idle, broke without an
// answer.
func (p *connPool) lost(pool string, c *engineConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit(pool).lost(c.idledUS)
}

// keepUS is for how long a connection to a pool's engine may be idle. Called under the lock.
func (p *connPool) keepUS(pool string, header http.Header) int64 {
	keep := keepAlive(header)
	if !p.longKeepAlive {
		return min(keep, shortIdleUS)
	}
	return p.limit(pool).apply(keep)
}

// put gives a connection to a pool's engine back after a complete answer with these headers.
func (p *connPool) put(pool, id string, c *engineConn, header http.Header) {
	p.mu.Lock()
	if c.used > 0 {
		p.limit(pool).proved(c.idledUS)
	}
	keep := p.keepUS(pool, header)
	p.mu.Unlock()
	if c.br.Buffered() > 0 || keep <= 0 {
		c.kill()
		return
	}
	c.used++
	c.idleSince = clock.Now()
	c.usableUntil = c.idleSince + keep
	_ = c.SetDeadline(noDeadline)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdlePerEngine {
		c.kill()
		return
	}
	p.idle[id] = append(p.idle[id], c)
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
