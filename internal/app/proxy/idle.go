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

// deadline returns when an idle connection must be checked next, and whether its idle time has
// expired.
func (s idleState) deadline(now time.Time) (next time.Time, expired bool) {
	end := s.since.Add(s.limit())
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
	c.idle.since = time.Time{}
	if state == http.StateIdle {
		c.idle.since = time.Now()
	}
}

// isIdle returns the connection's idle state, and whether it is idle.
func (c *callerConn) isIdle() (idleState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, !c.idle.since.IsZero()
}

// SetReadDeadline sets the time after which reads fail. While the connection is idle, the current
// idle limit replaces the server's deadline.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if idle, ok := c.isIdle(); ok {
		t, _ = idle.deadline(time.Now())
	}
	return c.Conn.SetReadDeadline(t)
}

// extendIdle reports whether a read that reached its deadline is to be repeated, because the
// connection may stay idle for longer. If so, it has set the next deadline.
func (c *callerConn) extendIdle(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	idle, ok := c.isIdle()
	if !ok {
		return false
	}
	next, expired := idle.deadline(time.Now())
	return !expired && c.Conn.SetReadDeadline(next) == nil
}
