package proxy

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// deadlineConn is a connection on which nothing arrives: each read returns at once as if its
// deadline had passed. beforeRead is called before each read.
type deadlineConn struct {
	net.Conn
	deadlines  []time.Time
	reads      int
	beforeRead func(reads int)
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadlines = append(c.deadlines, t)
	return nil
}

func (c *deadlineConn) Read([]byte) (int, error) {
	c.reads++
	if c.beforeRead != nil {
		c.beforeRead(c.reads)
	}
	return 0, os.ErrDeadlineExceeded
}

// TestIdleLimitInForce: an idle connection is closed by the limit that is in force when it expires,
// not by the one at the start of the idle time or of the proxy's first configuration.
func TestIdleLimitInForce(t *testing.T) {
	limit := time.Hour
	far := &deadlineConn{}
	c := &callerConn{Conn: far, idle: idleState{limit: func() time.Duration { return limit }}}
	far.beforeRead = func(reads int) {
		if reads == 3 { // an operator lowers the limit below the idle time so far
			limit = 0
		}
	}
	trackConnState(c, http.StateIdle)
	_ = c.SetReadDeadline(time.Now().Add(idleUnbounded))
	if d := time.Until(far.deadlines[0]); d > idleCheckInterval {
		t.Errorf("the limit is checked again only after %v, want %v at most", d, idleCheckInterval)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("the read of a connection that was idle for too long did not end")
	}
	if far.reads != 3 {
		t.Errorf("ended after %d reads, want 3: it may stay idle while the limit allows", far.reads)
	}
}

// TestIdleLimitOnlyWhileIdle: a read within a request ends at its deadline.
func TestIdleLimitOnlyWhileIdle(t *testing.T) {
	far := &deadlineConn{}
	c := &callerConn{Conn: far, idle: idleState{limit: func() time.Duration { return time.Hour }}}
	trackConnState(c, http.StateIdle)
	trackConnState(c, http.StateActive)
	want := time.Now().Add(time.Minute)
	_ = c.SetReadDeadline(want)
	if !far.deadlines[0].Equal(want) {
		t.Errorf("the deadline within a request was changed to %v from now", time.Until(far.deadlines[0]))
	}
	if _, err := c.Read(make([]byte, 1)); err == nil || far.reads != 1 {
		t.Errorf("%d reads, error %v; want one that ends at its deadline", far.reads, err)
	}
}

// TestHeadTimeoutInForce guards against a time-out of heads that is looked up only when the port opens: it
// is that of the configuration in force, for heads on connections that are open already as well.
func TestHeadTimeoutInForce(t *testing.T) {
	for name, begin := range map[string]func(c *callerConn){
		"first head":                  func(c *callerConn) { c.head.begin() },
		"head on a kept connection":   func(c *callerConn) { trackConnState(c, http.StateIdle); _ = c.SetReadDeadline(time.Time{}) },
		"head after a long idle time": func(c *callerConn) { trackConnState(c, http.StateIdle); c.leaveIdle() },
	} {
		t.Run(name, func(t *testing.T) {
			limit := time.Hour
			far := &deadlineConn{}
			c := &callerConn{Conn: far, idle: idleState{limit: func() time.Duration { return time.Hour }}}
			c.head.limits = func() headLimits { return headLimits{defaultHeadBytes, limit} }
			far.beforeRead = func(reads int) {
				if reads == 3 { // an operator lowers the limit below the time that the head has taken so far
					limit = 0
				}
			}
			begin(c)
			_ = c.SetReadDeadline(time.Now().Add(headerUnbounded))
			if d := time.Until(far.deadlines[len(far.deadlines)-1]); d > idleCheckInterval {
				t.Errorf("the limit is checked again only after %v, want %v at most", d, idleCheckInterval)
			}
			if _, err := c.Read(make([]byte, 1)); err == nil || far.reads != 3 {
				t.Errorf("%d reads, error %v; want one that ends at the third", far.reads, err)
			}
			trackConnState(c, http.StateActive)
			want := time.Now().Add(time.Minute)
			if _ = c.SetReadDeadline(want); !far.deadlines[len(far.deadlines)-1].Equal(want) {
				t.Error("the time-out of heads applies to a body")
			}
		})
	}
}
