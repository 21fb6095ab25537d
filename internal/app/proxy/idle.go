package proxy

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"violetthread/internal/clock"
)

// idleUnbounded is net/http's idle time-out. It is never reached: a callerConn ends its rest by
// the limit in force.
const idleUnbounded = 24 * time.Hour

// idleCheckInterval is the longest time between two looks at the idle limit.
const idleCheckInterval = time.Second

// defaultIdleLimit is how long a connection may rest where the configuration says nothing.
const defaultIdleLimit = 60 * time.Second

// idleLimit is how long a caller's connection may rest under the configuration in force.
func (s *server) idleLimit() time.Duration {
	if table := s.view.Load().table; table != nil && table.Limits.IdleUS > 0 {
		return clock.Duration(table.Limits.IdleUS)
	}
	return defaultIdleLimit
}

// idleState tells whether a caller's connection rests between two requests.
type idleState struct {
	since time.Time            // zero while a request is under way
	limit func() time.Duration // in force now, not when the rest began
}

// deadline is when a resting connection is looked at next, and whether it has rested
// for long enough.
func (s idleState) deadline(now time.Time) (next time.Time, over bool) {
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

// trackConnState follows net/http's state of a connection: http.Server sets the deadline of
// an idle connection right after it.
func trackConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
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

// SetReadDeadline sets the time after which reads fail. While the connection rests, the
// idle limit in force goes before the server's.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if idle, ok := c.isIdle(); ok {
		t, _ = idle.deadline(time.Now())
	}
	return c.Conn.SetReadDeadline(t)
}

// staysIdle reports whether a read that ran into its deadline goes on, because the
// connection rests and may do so for longer.
func (c *callerConn) staysIdle(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	idle, ok := c.isIdle()
	if !ok {
		return false
	}
	next, over := idle.deadline(time.Now())
	return !over && c.Conn.SetReadDeadline(next) == nil
}
