package limits

import (
	"time"

	"golang.org/x/sys/unix"
)

// Write writes to the connection. While the peer does not read, the connection counts as waiting for it.
// The kernel's send buffer is large during large writes if the port has the memory.
func (c *Conn) Write(b []byte) (int, error) {
	switch large := len(b) > largeWriteBytes; {
	case large && !c.sendExpanded && c.port.tryReserve(c, expandedBytes):
		c.sendExpanded = true
		c.setBuffer(unix.SO_SNDBUF, largeBufferBytes)
	case !large && c.sendExpanded && c.isSent():
		c.shrinkSend()
		c.Release(expandedBytes)
	}
	c.writingSince.Store(time.Now().UnixNano())
	defer c.writingSince.Store(0)
	return c.Conn.Write(b)
}

// shrinkSend restores the kernel's send buffer. What is in it already stays there until it is sent.
func (c *Conn) shrinkSend() {
	if c.sendExpanded {
		c.sendExpanded = false
		c.setBuffer(unix.SO_SNDBUF, kernelBufferBytes)
	}
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

// releaseIdle releases what a connection held for its last request. If the kernel has not sent the whole
// response yet, the connection still holds expandedBytes for it. The caller holds p.mu.
func (p *Port) releaseIdle(c *Conn, unsent bool) {
	kept := int64(0)
	if unsent {
		kept = min(c.held, expandedBytes)
	}
	p.release(c, c.held-kept)
	c.unsent = kept > 0
}

// releaseSent releases what idle connections held for responses that have been sent by now, and reports
// whether there were any. The caller holds p.mu.
func (p *Port) releaseSent() bool {
	found := false
	for e := p.holding.Front(); e != nil; {
		c := connOf(e)
		e = e.Next()
		if c.unsent && c.isSent() {
			found = true
			p.settleUnsent(c)
		}
	}
	return found
}

// settleUnsent releases what a connection held for a response that has been sent. The caller holds p.mu.
func (p *Port) settleUnsent(c *Conn) {
	c.unsent = false
	p.release(c, expandedBytes)
	if c.held == 0 && c.holding != nil {
		p.holding.Remove(c.holding)
		c.holding = nil
	}
}
