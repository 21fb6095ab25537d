package proxy

import (
	"bytes"
	"context"
	"net"
	"sync"
)

// The library reads leniently where one request might be taken for two: it drops a
// length beside chunks, joins folded lines. What lies between callers and engines must
// not, so the bytes of each head are looked at as they came (RFC 9112 §6.3, §11.2).

// callerConn keeps the head of the request under way on a caller's connection.
type callerConn struct {
	net.Conn
	mu   sync.Mutex
	head []byte
	done bool // the blank line was seen
}

const headMost = 1 << 20

type callerConnKey struct{}

type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

func callerConnOf(ctx context.Context) *callerConn {
	r, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return r
}

// Read passes bytes on and keeps those of the head.
func (r *callerConn) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n > 0 {
		r.mu.Lock()
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
func (r *callerConn) next() {
	if r == nil {
		return
	}
	r.mu.Lock()
	r.head, r.done = r.head[:0], false
	r.mu.Unlock()
}

// unambiguous reports whether the head leaves no doubt about where its request ends. A
// request that came together with the one before has no head here, and is in doubt.
func (r *callerConn) unambiguous() bool {
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
