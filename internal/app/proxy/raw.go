package proxy

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// The library reads leniently where one request might be taken for two: it drops a
// length beside chunks, joins folded lines. What lies between callers and engines must
// not, so the bytes of each head are looked at as they came (RFC 9112 §6.3, §11.2).

// raw keeps the head of the request under way on a caller's connection.
type raw struct {
	net.Conn
	mu   sync.Mutex
	head []byte
	done bool // the blank line was seen
	// While the connection rests between two requests, idleSince tells since when, and
	// idleLimit for how long it may: the limit in force then, not that of its start.
	idleSince time.Time
	idleLimit func() time.Duration
}

const headMost = 1 << 20

type rawKey struct{}

// rawListener accepts callers' connections. idleLimit is how long one may rest.
type rawListener struct {
	net.Listener
	idleLimit func() time.Duration
}

func (l rawListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &raw{Conn: c, idleLimit: l.idleLimit}, nil
}

// idleUnbounded is the server's own idle time-out. It is never reached: rawListener's
// connections end their rest by the limit in force (raw.Read).
const idleUnbounded = 24 * time.Hour

// idleCheck is the longest time between two looks at the idle limit.
const idleCheck = time.Second

// noteState follows the server's word on a connection: http.Server sets the deadline of
// an idle connection right after it.
func noteState(c net.Conn, state http.ConnState) {
	r, ok := c.(*raw)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.idleSince = time.Time{}
	if state == http.StateIdle {
		r.idleSince = time.Now()
	}
}

// idleDeadline is when a resting connection is looked at next, and whether it has
// rested for long enough. The caller holds the lock.
func (r *raw) idleDeadline(now time.Time) (next time.Time, over bool) {
	end := r.idleSince.Add(r.idleLimit())
	if !now.Before(end) {
		return now, true
	}
	next = now.Add(idleCheck)
	if end.Before(next) {
		next = end
	}
	return next, false
}

// SetReadDeadline sets the time after which reads fail. While the connection rests, the
// idle limit in force goes before the server's.
func (r *raw) SetReadDeadline(t time.Time) error {
	r.mu.Lock()
	resting := !r.idleSince.IsZero()
	if resting {
		t, _ = r.idleDeadline(time.Now())
	}
	r.mu.Unlock()
	return r.Conn.SetReadDeadline(t)
}

// keepResting reports whether a read that ran into its deadline goes on, because the
// connection rests and may do so for longer.
func (r *raw) keepResting(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	r.mu.Lock()
	resting := !r.idleSince.IsZero()
	next, over := time.Time{}, true
	if resting {
		next, over = r.idleDeadline(time.Now())
	}
	r.mu.Unlock()
	return resting && !over && r.Conn.SetReadDeadline(next) == nil
}

func withRaw(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, rawKey{}, c)
}

func rawOf(ctx context.Context) *raw {
	r, _ := ctx.Value(rawKey{}).(*raw)
	return r
}

// Read passes bytes on and keeps those of the head.
func (r *raw) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	for n == 0 && r.keepResting(err) {
		n, err = r.Conn.Read(b)
	}
	if n > 0 {
		r.mu.Lock()
		r.idleSince = time.Time{} // the next request has begun
		if !r.done && len(r.head) < headMost {
			from := max(0, len(r.head)-3)
			r.head = append(r.head, b[:n]...)
			if i := bytes.Index(r.head[from:], []byte("\n\r\n")); i >= 0 {
				r.head, r.done = r.head[:from+i+3], true
			} else if i := bytes.Index(r.head[from:], []byte("\n\n")); i >= 0 {
				r.head, r.done = r.head[:from+i+2], true
			}
		}
		r.mu.Unlock()
	}
	return n, err
}

// next forgets the head: the next bytes begin another request.
func (r *raw) next() {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.head, r.done = r.head[:0], false
	r.mu.Unlock()
}

// sound reports whether the head leaves no doubt about where its request ends. A
// request that came together with the one before has no head here, and is in doubt.
func (r *raw) sound() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.done {
		return false
	}
	var lengths, codings int
	lines := bytes.Split(r.head, []byte("\n"))
	for i, l := range lines[:len(lines)-1] {
		l, ok := bytes.CutSuffix(l, []byte("\r"))
		if !ok || bytes.IndexByte(l, '\r') >= 0 || bytes.IndexByte(l, 0) >= 0 {
			return false
		}
		if i == 0 || len(l) == 0 {
			continue
		}
		k, v, ok := bytes.Cut(l, []byte(":"))
		if !ok || len(k) == 0 || bytes.ContainsAny(k, " \t") {
			return false // folded, or a name that is none
		}
		switch {
		case bytes.EqualFold(k, []byte("Content-Length")):
			lengths++
			if v = bytes.Trim(v, " \t"); len(v) == 0 || len(bytes.Trim(v, "0123456789")) > 0 {
				return false
			}
		case bytes.EqualFold(k, []byte("Transfer-Encoding")):
			codings++
			if !bytes.EqualFold(bytes.Trim(v, " "), []byte("chunked")) {
				return false
			}
		}
	}
	return lengths+codings <= 1
}
