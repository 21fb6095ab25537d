package limits

import (
	"container/list"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// kernelBufferBytes is the size requested for the kernel's receive and send buffers of a
	// connection. The kernel doubles it for its own bookkeeping.
	kernelBufferBytes = 8 << 10

	userBytes = 24 << 10 // goroutines, buffers and objects of a connection

	// Allowance is what a request may hold without a reservation.
	Allowance = 16 << 10

	connectionBytes = userBytes + Allowance + 2*2*kernelBufferBytes

	// writeStallTime is how long a write must have been blocked until its connection counts as
	// waiting for its peer.
	writeStallTime = time.Second

	// usefulWaitTimeout is how long a reservation that can wait leaves a connection alone that has been useful and
	// waits for its peer.
	usefulWaitTimeout = 5 * time.Second

	// logInterval is the shortest time between two log lines about the same port.
	logInterval = 10 * time.Second
)

// Bound names a bound of a port, in logs and metrics.
type Bound string

// The bounds of a port.
const (
	BoundConnections Bound = "connections"
	BoundHeldBytes   Bound = "held_bytes"
)

// Port is the share of one listening port in what a process may hold.
type Port struct {
	name           string
	log            logr.Logger
	maxConnections int
	maxHeldBytes   int64

	evicted  map[Bound]*atomic.Int64 // connections closed for others
	rejected map[Bound]*atomic.Int64 // connections and requests turned away

	mu             sync.Mutex // guards the fields below, and the fields of connections that say so
	changed        sync.Cond  // a connection was evicted or has ended, or bytes were released
	connections    map[*Conn]struct{}
	ending         int        // evicted connections whose goroutines have not ended yet
	heldBytes      int64      // by all connections
	endingBytes    int64      // of these, by connections that are ending
	unproven       *list.List // of *Conn that wait for their peer, the longest first
	proven         *list.List // likewise; connections that have been useful
	holding        *list.List // those of both that hold bytes
	heldByGroup    map[string]int64
	nextLogAt      time.Time
	evictedSinceAt int64 // evictions and rejections since the last log line
}

// NewPort returns the port of a machine that may use a fraction of what the machine has for all ports.
func (m Machine) NewPort(name string, fraction float64, log logr.Logger) *Port {
	memory := float64(max(m.MemoryBytes, minMemoryBytes)) * fraction / 100
	connections := memory * connectionPercent / connectionBytes
	descriptors := float64(m.usableDescriptors()) * fraction * connectionDescriptorPercent / 100
	p := &Port{
		name:           name,
		log:            log,
		maxConnections: max(1, int(min(connections, descriptors))),
		maxHeldBytes:   int64(memory * heldPercent),
		evicted:        map[Bound]*atomic.Int64{BoundConnections: {}, BoundHeldBytes: {}},
		rejected:       map[Bound]*atomic.Int64{BoundConnections: {}, BoundHeldBytes: {}},
		connections:    map[*Conn]struct{}{},
		unproven:       list.New(),
		proven:         list.New(),
		holding:        list.New(),
		heldByGroup:    map[string]int64{},
	}
	p.changed.L = &p.mu
	return p
}

// add adds a connection, and evicts another one if the port is at its bound. It returns false if there is
// none to evict.
func (p *Port) add(c *Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.connections)-p.ending >= p.maxConnections {
		victim := p.longestWaiting()
		if victim == nil {
			p.reject(BoundConnections)
			return false
		}
		p.evict(victim, BoundConnections)
	}
	// Connections that are ending still hold memory.
	for len(p.connections) >= p.maxConnections+p.maxConnections/4 && p.ending > 0 {
		p.changed.Wait()
	}
	p.connections[c] = struct{}{}
	p.startWaiting(c)
	return true
}

// remove removes a connection whose goroutines have ended, and releases all that it held.
func (p *Port) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.connections[c]; !ok {
		return
	}
	delete(p.connections, c)
	p.stopWaiting(c)
	p.release(c, c.held)
	if c.evicted {
		p.ending--
	}
	p.changed.Broadcast()
}

// startWaiting records that a connection waits for its peer from now on. The caller holds p.mu.
func (p *Port) startWaiting(c *Conn) {
	p.stopWaiting(c)
	if c.evicted {
		return
	}
	c.waitingIn = p.unproven
	if c.proven {
		c.waitingIn = p.proven
	}
	c.waiting = c.waitingIn.PushBack(c)
	c.waitingSince = time.Now()
	if c.held > 0 {
		c.holding = p.holding.PushBack(c)
	}
}

// stopWaiting records that a connection does not wait for its peer. The caller holds p.mu.
func (p *Port) stopWaiting(c *Conn) {
	if c.waiting != nil {
		c.waitingIn.Remove(c.waiting)
		c.waiting, c.waitingIn = nil, nil
	}
	if c.holding != nil {
		p.holding.Remove(c.holding)
		c.holding = nil
	}
}

// longestWaiting returns the connection to evict for another connection; nil if none waits for its peer.
// The caller holds p.mu.
func (p *Port) longestWaiting() *Conn {
	for _, waiting := range []*list.List{p.unproven, p.proven} {
		if front := waiting.Front(); front != nil {
			return connOf(front)
		}
	}
	return p.stalledWriter(0)
}

// longestHolding returns the connection other than c to evict for the bytes that it holds; nil if none
// waits for its peer. If c can wait, useful connections have time to make progress. The caller holds
// p.mu.
func (p *Port) longestHolding(c *Conn, waits bool) *Conn {
	for e := p.holding.Front(); e != nil; e = e.Next() {
		other := connOf(e)
		if other != c && !(waits && other.proven && time.Since(other.waitingSince) < usefulWaitTimeout) {
			return other
		}
	}
	if waits {
		return nil
	}
	return p.stalledWriter(1)
}

func connOf(e *list.Element) *Conn {
	c, _ := e.Value.(*Conn)
	return c
}

// stalledWriter returns the connection that holds at least minHeld bytes and whose write has been blocked
// the longest; nil if there is none. The caller holds p.mu.
func (p *Port) stalledWriter(minHeld int64) *Conn {
	var longest *Conn
	since := time.Now().Add(-writeStallTime).UnixNano()
	for c := range p.connections {
		writing := c.writingSince.Load()
		if writing != 0 && writing < since && !c.evicted && c.held >= minHeld {
			longest, since = c, writing
		}
	}
	return longest
}

// evict closes a connection. Its goroutines notice that, and remove the connection as they end. The
// caller holds p.mu, which is unlocked meanwhile.
func (p *Port) evict(c *Conn, bound Bound) {
	p.evicted[bound].Add(1)
	p.logLimit(bound)
	p.end(c)
}

// end closes a connection as evict does. The caller holds p.mu, which is unlocked meanwhile.
func (p *Port) end(c *Conn) {
	p.stopWaiting(c)
	c.evicted = true
	p.ending++
	p.endingBytes += c.held
	p.changed.Broadcast()
	p.mu.Unlock()
	defer p.mu.Lock()
	c.closeWithReset()
}

// CloseWaiting closes all connections that wait for their peer, so that a graceful stop does not wait for
// them.
func (p *Port) CloseWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		c := p.longestWaiting()
		if c == nil {
			return
		}
		p.end(c)
	}
}

// reserve adds n bytes to what a connection holds. If the port is at its bound, it evicts other
// connections and waits until they have released enough. If there are none to evict, it returns false,
// or waits if wait is set. It also returns false once c itself has been evicted or closed.
func (p *Port) reserve(c *Conn, n int64, wait bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.open(c) && !p.fits(p.heldBytes, c, n) {
		if p.fits(p.heldBytes-p.endingBytes, c, n) {
			p.changed.Wait()
			continue
		}
		if p.releaseSent() {
			continue
		}
		victim := p.longestHolding(c, wait)
		switch {
		case victim != nil:
			p.evict(victim, BoundHeldBytes)
		case wait:
			p.waitForChange()
		default:
			p.reject(BoundHeldBytes)
			return false
		}
	}
	if !p.open(c) {
		return false
	}
	p.hold(c, n)
	return true
}

// tryReserve is reserve for memory that the connection can do without: no other connection is evicted
// for it, and nothing is rejected without it.
func (p *Port) tryReserve(c *Conn, n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holdOptional(c, n)
}

// holdOptional is tryReserve for callers that hold p.mu.
func (p *Port) holdOptional(c *Conn, n int64) bool {
	fits := func() bool { return p.heldBytes+n <= p.maxHeldBytes }
	if !p.open(c) || !fits() && !(p.releaseSent() && fits()) {
		return false
	}
	p.hold(c, n)
	return true
}

// waitForChange waits until something has changed or usefulWaitTimeout is over. The caller holds p.mu.
func (p *Port) waitForChange() {
	timer := time.AfterFunc(usefulWaitTimeout, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.changed.Broadcast()
	})
	defer timer.Stop()
	p.changed.Wait()
}

// open reports whether a connection has been neither evicted nor closed. The caller holds p.mu.
func (p *Port) open(c *Conn) bool {
	_, ok := p.connections[c]
	return ok && !c.evicted
}

// fits reports whether a connection may hold n more bytes if all connections hold heldBytes. The only one
// that holds anything always may, so that a single request is served whatever its size. The caller holds
// p.mu.
func (p *Port) fits(heldBytes int64, c *Conn, n int64) bool {
	return heldBytes+n <= p.maxHeldBytes || heldBytes == c.held
}

// hold adds n bytes to what a connection holds. The caller holds p.mu.
func (p *Port) hold(c *Conn, n int64) {
	c.held += n
	p.heldBytes += n
	if c.inGroup {
		p.heldByGroup[c.group] += n
	}
	if c.waiting != nil && c.holding == nil && c.held > 0 {
		c.holding = p.holding.PushBack(c)
	}
}

// release subtracts n bytes from what a connection holds. The caller holds p.mu.
func (p *Port) release(c *Conn, n int64) {
	n = min(n, c.held)
	c.held -= n
	p.heldBytes -= n
	if c.evicted {
		p.endingBytes -= n
	}
	if c.inGroup {
		p.heldByGroup[c.group] -= n
		if p.heldByGroup[c.group] <= 0 {
			delete(p.heldByGroup, c.group)
		}
	}
	if n > 0 {
		p.changed.Broadcast()
	}
}

// enterGroup counts what a connection holds towards a group of peers. It returns false if the group
// would hold more than half of the port's bytes with it; a group's only request always fits.
func (p *Port) enterGroup(c *Conn, group string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.inGroup {
		return true
	}
	others := p.heldByGroup[group]
	if others > 0 && others+c.held > p.maxHeldBytes/2 {
		p.reject(BoundHeldBytes)
		return false
	}
	c.group, c.inGroup = group, true
	p.heldByGroup[group] += c.held
	return true
}

// leaveGroup undoes enterGroup. The caller holds p.mu.
func (p *Port) leaveGroup(c *Conn) {
	if !c.inGroup {
		return
	}
	p.heldByGroup[c.group] -= c.held
	if p.heldByGroup[c.group] <= 0 {
		delete(p.heldByGroup, c.group)
	}
	c.inGroup = false
}

// reject counts a connection or request that is turned away. The caller holds p.mu.
func (p *Port) reject(bound Bound) {
	p.rejected[bound].Add(1)
	p.logLimit(bound)
}

// logLimit logs that a bound was reached, at most once per logInterval. The caller holds p.mu.
func (p *Port) logLimit(bound Bound) {
	p.evictedSinceAt++
	now := time.Now()
	if now.Before(p.nextLogAt) {
		return
	}
	p.log.Info("port_limit_reached", "port", p.name, "bound", string(bound), "closed", p.evictedSinceAt,
		"connections", len(p.connections), "held_bytes", p.heldBytes)
	p.nextLogAt, p.evictedSinceAt = now.Add(logInterval), 0
}
