package proxy

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"violetthread/internal/clock"
)

// idleUnbounded is net/http's idle time-out. It is never reached: a callerConn applies the idle
// limit of the current configuration.
const idleUnbounded = 24 * time.Hour

// idleCheckInterval is the longest time between two checks of the idle limit.
const idleCheckInterval = time.Second

// defaultIdleLimit is how long a connection may stay idle if the configuration sets no limit.
const defaultIdleLimit = 60 * time.Second

// idleLimit returns how long a caller's connection may stay idle under the current configuration.
func (s *server) idleLimit() time.Duration {
	if table := s.view.Load().table; table != nil && table.Limits.IdleUS > 0 {
		return clock.Duration(table.Limits.IdleUS)
	}
	return defaultIdleLimit
}

// idleState says whether a caller's connection is idle between two requests.
type idleState struct {
	since time.Time            // zero while a request is being served
	limit func() time.Duration // returns the current limit, not the one when the idle time began
}

// checkDeadline returns when a connection must be checked next that waits for its caller since a time,
// and whether it has waited longer than the limit.
func checkDeadline(now, since time.Time, limit time.Duration) (next time.Time, expired bool) {
	end := since.Add(limit)
	if !now.Before(end) {
		return now, true
	}
	next = now.Add(idleCheckInterval)
	if end.Before(next) {
		next = end
	}
	return next, false
}

// trackConnState records net/http's state of a connection. http.Server sets the read deadline of an
// idle connection right after this call.
func trackConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.limited.TrackState(state)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew: // accepted: its first head is awaited
	case http.StateIdle:
		c.idle.since, c.head.since = time.Now(), time.Time{}
	default:
		c.idle.since, c.head.since = time.Time{}, time.Time{}
	}
}

// leaveIdle records that the head of the next request begins, if the connection was idle. The caller
// holds c.mu.
func (c *callerConn) leaveIdle() {
	if !c.idle.since.IsZero() {
		c.idle.since = time.Time{}
		c.head.begin()
	}
}

// nextCheck returns when a connection must be checked next that is idle or receives a head, and whether
// the current configuration does not let it wait any longer. waiting is false for other connections.
func (c *callerConn) nextCheck() (next time.Time, expired, waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.idle.since.IsZero():
		next, expired = checkDeadline(time.Now(), c.idle.since, c.idle.limit())
	case !c.head.since.IsZero():
		next, expired = checkDeadline(time.Now(), c.head.since, c.head.limits().timeout)
	default:
		return next, false, false
	}
	return next, expired, true
}

// SetReadDeadline sets the time after which reads fail. While the connection is idle or receives a head,
// the current limits replace the server's deadline.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() { // net/http has bytes of the next request, some of which may have been read early
		c.mu.Lock()
		c.leaveIdle()
		c.mu.Unlock()
	}
	if next, _, waiting := c.nextCheck(); waiting {
		t = next
	}
	return c.Conn.SetReadDeadline(t)
}

// extendDeadline reports whether a read that reached its deadline is to be repeated, because the
// connection may wait for longer. If so, it has set the next deadline.
func (c *callerConn) extendDeadline(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	next, expired, waiting := c.nextCheck()
	return waiting && !expired && c.Conn.SetReadDeadline(next) == nil
}
