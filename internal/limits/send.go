package limits

import (
	"time"

	"golang.org/x/sys/unix"
)

// Write writes to the connection. While the peer does not read, the connection counts as waiting for it.
// The kernel's send buffer is large from a large write on, if the port has the memory, until that is
// needed for others. It does not shrink with each response: the next one would wait for the peer's
// delayed acknowledgement.
func (c *Conn) Write(b []byte) (int, error) {
	if len(b) > largeWriteBytes && !c.sendExpanded.Load() {
		c.port.expandSend(c)
	}
	c.writingSince.Store(time.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(b)
}

// isSent reports whether the peer has all but what fits into the kernel's small send buffer. It is true
// as well if the system can't tell.
func (c *Conn) isSent() bool {
	queued := 0
	c.control(func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	return queued <= largeWriteBytes
}

// expandSend enlarges a connection's send buffer, if there is memory for that.
func (p *Port) expandSend(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.sendExpanded.Load() && p.holdOptional(c, expandedBytes) {
		c.sendExpanded.Store(true)
		c.setBuffer(unix.SO_SNDBUF, largeBufferBytes)
	}
}

// shrinkSend undoes expandSend if the peer has what was sent, and returns whether it did. The caller
// holds p.mu.
func (p *Port) shrinkSend(c *Conn) bool {
	if !c.sendExpanded.Load() || !c.isSent() {
		return false
	}
	c.sendExpanded.Store(false)
	c.setBuffer(unix.SO_SNDBUF, kernelBufferBytes)
	p.release(c, expandedBytes)
	if c.held == 0 && c.holding != nil {
		p.holding.Remove(c.holding)
		c.holding = nil
	}
	return true
}

// releaseRequest releases what a connection held for its last request, but for a large send buffer. The
// caller holds p.mu.
func (p *Port) releaseRequest(c *Conn) {
	kept := int64(0)
	if c.sendExpanded.Load() {
		kept = expandedBytes
	}
	p.release(c, c.held-kept)
}

// releaseSent shrinks the large send buffers of waiting connections whose responses have been sent by
// now, and reports whether there were any. The caller holds p.mu.
func (p *Port) releaseSent() bool {
	found := false
	for e := p.holding.Front(); e != nil; {
		c := connOf(e)
		e = e.Next()
		found = p.shrinkSend(c) || found
	}
	return found
}
