package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

const (
	dialTimeout   = 500 * time.Millisecond
	redialAfterUS = 100_000
)

// Peer is the far end of a connection that is dialled when needed.
type Peer struct {
	group *taskgroup.Group
	addr  string
	dial  func(ctx context.Context, addr string) (net.Conn, error)

	mu       sync.Mutex
	current  *session
	lastRef  uint64 // runs on from connection to connection
	nextDial int64  // no dial before
}

// session is one connection to a peer, from its dial on.
type session struct {
	ctx  context.Context
	stop context.CancelCauseFunc
	out  chan outgoing

	mu      sync.Mutex
	waiting map[uint64]chan *fb.FrameT

	connected atomic.Bool
	heardAt   atomic.Int64 // when the far end was last heard
}

var errBroke = errors.New("the connection broke")

// NewPeer makes a peer; nothing is dialled yet.
func NewPeer(g *taskgroup.Group, addr string) *Peer {
	return &Peer{group: g, addr: addr, dial: dialTCP}
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// Addr is where the peer listens.
func (p *Peer) Addr() string { return p.addr }

// session is the connection there is, or one that is being dialled. It never waits.
func (p *Peer) session() (*session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && p.current.ctx.Err() == nil {
		return p.current, nil
	}
	if clock.Now() < p.nextDial {
		return nil, trace.ConnectionProblem(nil, "%s was just unreachable; it is tried again shortly", p.addr)
	}
	s := &session{out: make(chan outgoing, outQueue), waiting: map[uint64]chan *fb.FrameT{}}
	s.ctx, s.stop = context.WithCancelCause(p.group.Context())
	p.current = s
	p.group.Go("peer", func(context.Context) { p.run(s) })
	return s, nil
}

// run dials a session's connection and reads from it until it ends.
func (p *Peer) run(s *session) {
	conn, err := p.dial(s.ctx, p.addr)
	if err != nil {
		p.mu.Lock()
		p.nextDial = clock.Now() + redialAfterUS
		p.mu.Unlock()
		s.stop(trace.ConnectionProblem(err, "%s can't be reached; check that it runs and that the address is right", p.addr))
		return
	}
	s.connected.Store(true)
	p.group.Go("peer.shut", func(context.Context) {
		<-s.ctx.Done()
		_ = conn.Close()
	})
	p.group.Go("peer.write", func(context.Context) { writeAll(s.ctx, func() { s.stop(errBroke) }, conn, s.out) })
	s.read(conn)
	s.stop(errBroke)
}

// read hands each answer to the question whose number it bears, once.
func (s *session) read(conn net.Conn) {
	r := bufio.NewReaderSize(counted{conn}, readBufferBytes)
	for {
		f, err := codec.ReadFrame(r)
		if err != nil {
			return
		}
		framesIn.Add(1)
		s.heardAt.Store(clock.Now())
		if answer := s.forget(f.Ref); answer != nil {
			answer <- f
		}
	}
}

func (s *session) await(ref uint64) chan *fb.FrameT {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := make(chan *fb.FrameT, 1)
	s.waiting[ref] = answer
	return answer
}

// forget takes a question off those that wait.
func (s *session) forget(ref uint64) chan *fb.FrameT {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := s.waiting[ref]
	delete(s.waiting, ref)
	return answer
}

// Send gives the peer a frame that nobody answers. It never waits; a frame
// that finds no room is lost, which every sender must stand anyway.
func (p *Peer) Send(f *fb.FrameT) {
	s, err := p.session()
	if err == nil {
		taskgroup.TrySend(s.out, outgoing{codec.Encode(f), s.ctx})
	}
}

// Call asks the peer once and waits for its answer until us microseconds are over. An
// error leaves open whether the peer took the question. When nothing at all came back
// meanwhile, the connection is dropped and dialled anew at the next question.
func (p *Peer) Call(ctx context.Context, f *fb.FrameT, us int64) (*fb.FrameT, error) {
	s, err := p.session()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, clock.Duration(us))
	defer stop()
	defer context.AfterFunc(s.ctx, stop)() // a connection that ended answers nothing more
	ref, began := p.newRef(), clock.Now()
	answer := s.await(ref)
	defer s.forget(ref)
	if taskgroup.Send(ctx, s.out, outgoing{withRef(f, ref), ctx}) {
		if a, ok := taskgroup.Receive(ctx, answer); ok {
			return answered(a)
		}
	}
	if len(answer) > 0 { // it came with the end of the connection, or of the time
		return answered(<-answer)
	}
	return nil, p.unanswered(ctx, s, began)
}

func (p *Peer) newRef() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRef++
	return p.lastRef
}

func answered(a *fb.FrameT) (*fb.FrameT, error) {
	if a.Error != nil {
		return nil, trace.BadParameter("%s: %s", a.Error.Kind, a.Error.Text)
	}
	return a, nil
}

// unanswered says why a question has no answer, and drops a connection that fell silent.
func (p *Peer) unanswered(ctx context.Context, s *session, began int64) error {
	if s.ctx.Err() != nil {
		return trace.ConnectionProblem(context.Cause(s.ctx), "the connection to %s ended; the question may have been taken", p.addr)
	}
	if ctx.Err() == context.DeadlineExceeded && s.connected.Load() && s.heardAt.Load() < began {
		s.stop(errBroke)
	}
	return trace.ConnectionProblem(ctx.Err(), "%s did not answer in time; the question may have been taken", p.addr)
}

// Book keeps one Peer for each address.
type PeerPool struct {
	group *taskgroup.Group
	mu    sync.Mutex
	peers map[string]*Peer
}

// NewBook makes an empty book.
func NewPeerPool(g *taskgroup.Group) *PeerPool { return &PeerPool{group: g, peers: map[string]*Peer{}} }

// At returns the peer at addr.
func (b *PeerPool) Get(addr string) *Peer {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[addr]
	if p == nil {
		p = NewPeer(b.group, addr)
		b.peers[addr] = p
	}
	return p
}
