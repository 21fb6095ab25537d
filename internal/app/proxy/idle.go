package proxy

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"
)

// idleUnbounded is the server's own idle time-out. It is never reached: a callerConn ends
// its rest by the limit in force.
const idleUnbounded = 24 * time.Hour

// idleCheck is the longest time between two looks at the idle limit.
const idleCheck = time.Second

// idleDefault is how long a connection may rest where the configuration says nothing.
const idleDefault = 60 * time.Second

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
	next = now.Add(idleCheck)
	if end.Before(next) {
		next = end
	}
	return next, false
}

// noteState follows the server's word on a connection: http.Server sets the deadline of
// an idle connection right after it.
func noteState(conn net.Conn, state http.ConnState) {
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

// resting is the connection's idle state, and whether it rests.
func (c *callerConn) resting() (idleState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle, !c.idle.since.IsZero()
}

// SetReadDeadline sets the time after which reads fail. While the connection rests, the
// idle limit in force goes before the server's.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if idle, resting := c.resting(); resting {
		t, _ = idle.deadline(time.Now())
	}
	return c.Conn.SetReadDeadline(t)
}

// keepResting reports whether a read that ran into its deadline goes on, because the
// connection rests and may do so for longer.
func (c *callerConn) keepResting(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	idle, resting := c.resting()
	if !resting {
		return false
	}
	next, over := idle.deadline(time.Now())
	return !over && c.Conn.SetReadDeadline(next) == nil
}
