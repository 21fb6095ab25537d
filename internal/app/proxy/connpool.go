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

// connPool keeps idle connections to engines. A connection carries one request at a time, and is
// reused only if its last response was complete and no unsolicited data has arrived on it.
type connPool struct {
	mu     sync.Mutex
	idle   map[string][]*engineConn    // by id of the engine's incarnation, most recently used last
	limits map[string]*engineIdleLimit // by pool of engines
	dialed uint64                      // connections made
	reused uint64                      // connections taken from the pool

	idleCount     int // connections in idle
	maxIdle       int // most of them
	dialTimeoutUS int64
	longKeepAlive bool // keep connections for as long as the engines announce
}

const (
	maxIdlePerEngine = 24   // idle connections kept per engine
	defaultMaxIdle   = 1024 // idle connections kept for all engines

	defaultDialTimeoutUS = 350_000
	probeIntervalUS      = 1_000_000 // TCP keep-alive: idle time before the first probe, and interval
	maxUnansweredProbes  = 2         // after which the connection is broken
	userTimeoutMS        = 2000      // TCP_USER_TIMEOUT: longest time that sent data may stay unacknowledged

	// Sizes requested for the kernel's buffers of a connection, which it doubles.
	engineReceiveBytes = 16 << 10
	engineSendBytes    = 64 << 10
)

func newConnPool() *connPool {
	return &connPool{
		maxIdle:       defaultMaxIdle,
		idle:          map[string][]*engineConn{},
		limits:        map[string]*engineIdleLimit{},
		dialTimeoutUS: defaultDialTimeoutUS,
		longKeepAlive: true,
	}
}

// limit returns the idle limit for engines of a pool. The caller holds p.mu.
func (p *connPool) limit(pool string) *engineIdleLimit {
	limit := p.limits[pool]
	if limit == nil {
		limit = &engineIdleLimit{}
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

// get takes an idle connection to an engine's incarnation from the pool; nil if there is none.
func (p *connPool) get(id string) *engineConn {
	for {
		p.mu.Lock()
		idle := p.idle[id]
		if len(idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := idle[len(idle)-1] // most recently used
		p.idle[id] = idle[:len(idle)-1]
		p.idleCount--
		p.mu.Unlock()
		now := clock.Now()
		if now < c.usableUntil && c.nothingReceived() {
			c.idledUS = now - c.idleSince
			p.mu.Lock()
			p.reused++
			p.mu.Unlock()
			return c
		}
		c.reset()
	}
}

// dial opens a new connection, with TCP keep-alive and user time-out so that the kernel detects an
// engine that has gone silent.
func (p *connPool) dial(ctx context.Context, addr string) (*engineConn, error) {
	dialer := net.Dialer{
		Timeout: clock.Duration(p.dialTimeoutUS),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     clock.Duration(probeIntervalUS),
			Interval: clock.Duration(probeIntervalUS),
			Count:    maxUnansweredProbes,
		},
		Control: setSocketOptions,
	}
	c, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return &engineConn{Conn: c, br: bufio.NewReaderSize(c, maxResponseHeaderBytes)}, nil
}

// setSocketOptions makes the kernel break a connection whose data is not acknowledged in time, and bounds
// what it keeps of a response that the caller does not read.
func setSocketOptions(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMS)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, engineReceiveBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, engineSendBytes)
	})
}

// recordIdleLoss records that a reused connection to one of a pool's engines broke without a
// response.
func (p *connPool) recordIdleLoss(pool string, c *engineConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit(pool).recordLoss(c.idledUS)
}

// idleTimeoutUS returns how long a connection to an engine of a pool may stay idle. The caller
// holds p.mu.
func (p *connPool) idleTimeoutUS(pool string, header http.Header) int64 {
	keep := parseKeepAlive(header)
	if !p.longKeepAlive {
		return min(keep, shortIdleUS)
	}
	return p.limit(pool).apply(keep)
}

// put returns a connection to the pool after a complete response with this header.
func (p *connPool) put(pool, id string, c *engineConn, header http.Header) {
	p.mu.Lock()
	if c.used > 0 {
		p.limit(pool).recordReuse(c.idledUS)
	}
	keep := p.idleTimeoutUS(pool, header)
	p.mu.Unlock()
	if c.br.Buffered() > 0 || keep <= 0 {
		c.reset()
		return
	}
	c.used++
	c.idleSince = clock.Now()
	c.usableUntil = c.idleSince + keep
	_ = c.SetDeadline(noDeadline)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[id]) >= maxIdlePerEngine || p.idleCount >= p.maxIdle {
		c.reset()
		return
	}
	p.idle[id] = append(p.idle[id], c)
	p.idleCount++
}

// sweep closes idle connections to engines that are gone, and those that have been idle for too
// long.
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
				c.reset()
				p.idleCount--
			}
		}
		if p.idle[id] = keep; len(keep) == 0 {
			delete(p.idle, id)
		}
	}
}

// closeIdle closes all idle connections.
func (p *connPool) closeIdle() { p.sweep(func(string) bool { return false }) }
