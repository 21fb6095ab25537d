// Package link carries frames between the project's own processes over TCP.
package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/internal/wire"
	"violetthread/schema/fb"
)

// Handler answers a frame; nil means there is nothing to answer.
type Handler func(ctx context.Context, f *fb.FrameT) *fb.FrameT

// Middleware wraps a handler.
type Middleware func(Handler) Handler

// Chain applies ms so that the first is outermost.
func Chain(h Handler, ms ...Middleware) Handler {
	for i := len(ms) - 1; i >= 0; i-- {
		h = ms[i](h)
	}
	return h
}

// Traffic counts what this process sent and took in over all of its wires.
type Traffic struct{ FramesIn, FramesOut, BytesIn, BytesOut int64 }

var framesIn, framesOut, bytesIn, bytesOut atomic.Int64

// Total is the traffic since the process began.
func Total() Traffic {
	return Traffic{framesIn.Load(), framesOut.Load(), bytesIn.Load(), bytesOut.Load()}
}

// counted counts the bytes that are read from a wire.
type counted struct{ net.Conn }

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesIn.Add(int64(n))
	return n, err
}

const (
	perWire  = 256 // frames being answered at once on one wire
	outQueue = 1024
)

// Serve answers frames on l until the group stops.
func Serve(c *taskgroup.Group, l net.Listener, h Handler) {
	c.Go("link.close", func(ctx context.Context) {
		<-ctx.Done()
		_ = l.Close()
	})
	c.Go("link.accept", func(ctx context.Context) {
		for {
			w, err := l.Accept()
			if err != nil {
				return
			}
			c.Go("link.wire", func(ctx context.Context) { serveWire(ctx, c, w, h) })
		}
	})
}

func serveWire(ctx context.Context, c *taskgroup.Group, w net.Conn, h Handler) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.Go("link.shut", func(context.Context) {
		<-ctx.Done()
		_ = w.Close()
	})
	out := make(chan []byte, outQueue)
	c.Go("link.write", func(context.Context) { writeAll(ctx, stop, w, out) })
	r := bufio.NewReaderSize(counted{w}, 64<<10)
	room := make(chan struct{}, perWire)
	for {
		f, err := wire.Read(r)
		if err != nil {
			if ctx.Err() == nil && !isGone(err) {
				c.Log().Info("wire_closed", "peer", w.RemoteAddr().String(), "cause", err.Error())
			}
			return
		}
		framesIn.Add(1)
		if f.Settle != nil || f.RollTell != nil || f.LoadTell != nil {
			h(ctx, f) // in order, and unanswered
			continue
		}
		if !taskgroup.Give(ctx, room, struct{}{}) {
			return
		}
		c.Go("link.answer", func(context.Context) {
			a := h(ctx, f)
			<-room
			if a == nil {
				a = &fb.FrameT{Problem: &fb.ProblemT{Kind: "unhandled", Text: "this process does not answer that"}}
			}
			a.Ref = f.Ref
			taskgroup.Give(ctx, out, wire.Encode(a))
		})
	}
}

func isGone(err error) bool {
	var ne net.Error
	return err.Error() == "EOF" || trace.IsEOF(err) || asNet(err, &ne)
}

func asNet(err error, t *net.Error) bool {
	e, ok := err.(net.Error)
	*t = e
	return ok
}

func writeAll(ctx context.Context, stop context.CancelFunc, w net.Conn, out <-chan []byte) {
	defer stop()
	for {
		b, ok := taskgroup.Wait(ctx, out)
		if !ok {
			return
		}
		_ = w.SetWriteDeadline(time.Now().Add(5 * time.Second))
		n, err := w.Write(b)
		bytesOut.Add(int64(n))
		if err != nil {
			return
		}
		framesOut.Add(1)
	}
}

// Peer is the far end of a wire that is dialled when needed.
type Peer struct {
	c    *taskgroup.Group
	addr string
	mu   sync.Mutex
	cur  *session
	next int64 // no dial before
}

type session struct {
	ctx  context.Context
	stop context.CancelFunc
	out  chan []byte
	mu   sync.Mutex
	ref  uint64
	wait map[uint64]chan *fb.FrameT
	seen atomic.Int64 // when the far end was last heard
}

// NewPeer makes a peer; nothing is dialled yet.
func NewPeer(c *taskgroup.Group, addr string) *Peer { return &Peer{c: c, addr: addr} }

// Addr is where the peer listens.
func (p *Peer) Addr() string { return p.addr }

func (p *Peer) get(ctx context.Context) (*session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cur != nil && p.cur.ctx.Err() == nil {
		return p.cur, nil
	}
	if clock.Now() < p.next {
		return nil, trace.ConnectionProblem(nil, "%s was just unreachable; it is tried again shortly", p.addr)
	}
	d := net.Dialer{Timeout: 500 * time.Millisecond}
	w, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.next = clock.Now() + 100_000
		return nil, trace.ConnectionProblem(err, "%s can't be reached; check that it runs and that the address is right", p.addr)
	}
	s := &session{out: make(chan []byte, outQueue), wait: map[uint64]chan *fb.FrameT{}}
	s.ctx, s.stop = context.WithCancel(p.c.Context())
	p.c.Go("peer.shut", func(context.Context) {
		<-s.ctx.Done()
		_ = w.Close()
	})
	p.c.Go("peer.write", func(context.Context) { writeAll(s.ctx, s.stop, w, s.out) })
	p.c.Go("peer.read", func(context.Context) { s.read(w) })
	p.cur = s
	return s, nil
}

func (s *session) read(w net.Conn) {
	defer s.stop()
	r := bufio.NewReaderSize(counted{w}, 64<<10)
	for {
		f, err := wire.Read(r)
		if err != nil {
			return
		}
		framesIn.Add(1)
		s.seen.Store(clock.Now())
		s.mu.Lock()
		ch := s.wait[f.Ref]
		delete(s.wait, f.Ref)
		s.mu.Unlock()
		if ch != nil {
			ch <- f
		}
	}
}

// Send gives the peer a frame that nobody answers. It never waits; a frame
// that finds no room is lost, which every sender must stand anyway.
func (p *Peer) Send(f *fb.FrameT) {
	s, err := p.get(p.c.Context())
	if err == nil {
		taskgroup.Offer(s.out, wire.Encode(f))
	}
}

// Call asks the peer and waits for its answer until us microseconds are over.
// When nothing at all came back meanwhile, the wire is dropped and dialled anew.
func (p *Peer) Call(ctx context.Context, f *fb.FrameT, us int64) (*fb.FrameT, error) {
	ctx, stop := context.WithTimeout(ctx, clock.Micros(us))
	defer stop()
	s, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	ch, began := make(chan *fb.FrameT, 1), clock.Now()
	s.mu.Lock()
	s.ref++
	f.Ref = s.ref
	s.wait[f.Ref] = ch
	s.mu.Unlock()
	if !taskgroup.Give(ctx, s.out, wire.Encode(f)) {
		return nil, trace.ConnectionProblem(ctx.Err(), "%s takes no more frames; it may be frozen", p.addr)
	}
	select {
	case a := <-ch:
		if a.Problem != nil {
			return nil, trace.BadParameter("%s: %s", a.Problem.Kind, a.Problem.Text)
		}
		return a, nil
	case <-s.ctx.Done():
		return nil, trace.ConnectionProblem(nil, "the wire to %s broke", p.addr)
	case <-ctx.Done():
		s.mu.Lock()
		delete(s.wait, f.Ref)
		s.mu.Unlock()
		if ctx.Err() == context.DeadlineExceeded && s.seen.Load() < began {
			s.stop()
		}
		return nil, trace.ConnectionProblem(ctx.Err(), "%s did not answer in time", p.addr)
	}
}

// Book keeps one Peer for each address.
type Book struct {
	c  *taskgroup.Group
	mu sync.Mutex
	m  map[string]*Peer
}

// NewBook makes an empty book.
func NewBook(c *taskgroup.Group) *Book { return &Book{c: c, m: map[string]*Peer{}} }

// At returns the peer at addr.
func (b *Book) At(addr string) *Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.m[addr]
	if p == nil {
		p = NewPeer(b.c, addr)
		b.m[addr] = p
	}
	return p
}
