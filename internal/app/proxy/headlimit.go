package proxy

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"violetthread/internal/clock"
)

const (
	// headerUnbounded is net/http's time-out for a head. It is never reached: a callerConn applies the
	// limits of the current configuration.
	headerUnbounded = 24 * time.Hour

	defaultHeaderTimeout = 5 * time.Second // if the configuration sets none
	defaultHeadBytes     = http.DefaultMaxHeaderBytes

	// headSlackBytes is how much longer than its limit a head may be, as with net/http.
	headSlackBytes = 4 << 10
	// largestHeadLimit is the largest limit that a configuration can set.
	largestHeadLimit = maxHeadBytes - 64<<10

	// A caller whose head is too long has this long to read the answer, and may send this much more
	// meanwhile, before its connection is closed.
	rejectedHeadLinger = 500 * time.Millisecond
	rejectedHeadBytes  = 256 << 10
)

// headLimits bound the head of a request.
type headLimits struct {
	bytes   int
	timeout time.Duration
}

// headLimits returns the limits of a head under the current configuration.
func (s *server) headLimits() headLimits {
	limits := headLimits{defaultHeadBytes, defaultHeaderTimeout}
	table := s.view.Load().table
	if table == nil {
		return limits
	}
	if configured := table.Limits.HeaderBytes; configured > 0 {
		limits.bytes = int(min(configured, largestHeadLimit))
	}
	if configured := table.Limits.HeaderUS; configured > 0 {
		limits.timeout = clock.Duration(configured)
	}
	return limits
}

// headState says whether the head of a request is being received on a caller's connection.
type headState struct {
	since  time.Time         // when the head began; zero if none is being received
	limits func() headLimits // returns the current limits, not those when the head began; nil for none
}

// begin records that a head begins.
func (h *headState) begin() {
	if h.limits != nil {
		h.since = time.Now()
	}
}

// headTooLong reports whether a head that is being received, or that has been completed since heads
// was the number of complete ones, is longer than the current configuration allows. The caller holds
// c.mu.
func (c *callerConn) headTooLong(heads uint64) bool {
	if c.head.limits == nil || c.requests.heads == heads && !c.requests.inHead() {
		return false
	}
	return c.requests.headLength > c.head.limits().bytes+headSlackBytes
}

// rejectHead answers a head that is too long, as net/http does. The connection can't be used any more.
func (c *callerConn) rejectHead() {
	c.limited.HeadReceived() // what is read from now on is not kept
	end := time.Now().Add(rejectedHeadLinger)
	_ = c.Conn.SetDeadline(end)
	status := fmt.Sprintf("%d %s", http.StatusRequestHeaderFieldsTooLarge, http.StatusText(http.StatusRequestHeaderFieldsTooLarge))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n%s", status, status)
	if err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, c.Conn, rejectedHeadBytes)
}
