package transport

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

const (
	patienceUS = 10_000_000
	silenceUS  = 60_000
)

// farEnd is a peer that speaks raw bytes. The script gets every question with the number
// of those before it, over all connections.
type farEnd struct {
	addr string

	mu     sync.Mutex
	asked  []string // the names in the questions that came whole
	conns  int
	script func(c *farConn, question *fb.FrameT, before int)
}

type farConn struct {
	net.Conn
	br   *bufio.Reader
	over bool
}

func question(name string) *fb.FrameT {
	return &fb.FrameT{UpdatesRequest: &fb.UpdatesRequestT{From: name}}
}

// answerTo is the answer to a question, which tells its name again.
func answerTo(q *fb.FrameT) *fb.FrameT {
	return &fb.FrameT{Ref: q.Ref, CapacityResponse: &fb.CapacityResponseT{IndexNode: q.UpdatesRequest.From}}
}

func newGroup(t testing.TB) *taskgroup.Group {
	t.Helper()
	g := taskgroup.New(context.Background(), logr.Discard())
	t.Cleanup(g.Stop)
	return g
}

func newFarEnd(t testing.TB, g *taskgroup.Group, script func(c *farConn, q *fb.FrameT, before int)) *farEnd {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &farEnd{addr: l.Addr().String(), script: script}
	g.Go("far end", func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = l.Close() })
		defer stop()
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			e.mu.Unlock()
			g.Go("far conn", func(ctx context.Context) {
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				defer stop()
				e.serve(&farConn{Conn: conn, br: bufio.NewReader(conn)})
			})
		}
	})
	return e
}

func (e *farEnd) serve(c *farConn) {
	defer c.Close()
	for !c.over {
		q, err := codec.ReadFrame(c.br)
		if err != nil {
			return
		}
		if q.UpdatesRequest == nil {
			continue // nobody answers it
		}
		e.mu.Lock()
		before, script := len(e.asked), e.script
		e.asked = append(e.asked, q.UpdatesRequest.From)
		e.mu.Unlock()
		script(c, q, before)
	}
}

// times is how often a question came whole.
func (e *farEnd) times(name string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.asked {
		if x == name {
			n++
		}
	}
	return n
}

func (c *farConn) reset() {
	c.over = true
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (c *farConn) say(frame []byte) { _, _ = c.Write(frame) }

// ask asks and fails if another question's answer comes.
func ask(p *Peer, name string, us int64) (bool, error) {
	a, err := p.Call(context.Background(), question(name), us)
	if err != nil {
		return false, nil
	}
	if a.CapacityResponse == nil || a.CapacityResponse.IndexNode != name {
		return false, fmt.Errorf("%s got the answer %+v", name, a.CapacityResponse)
	}
	return true, nil
}

// askUntil asks a new question until one is answered: a connection is dialled anew after
// a pause.
func askUntil(p *Peer, name string) error {
	end := time.Now().Add(10 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		ok, err := ask(p, fmt.Sprintf("%s again %d", name, i), patienceUS)
		if ok || err != nil {
			return err
		}
	}
	return fmt.Errorf("nothing is answered after %s", name)
}

// TestFaultAtEveryByteOfAFrame: the far end resets, closes or falls silent after every byte
// of its answer. A question is never sent twice, and the next one gets its own answer.
func TestFaultAtEveryByteOfAFrame(t *testing.T) {
	g := newGroup(t)
	length := len(encodeWithRef(answerTo(question("q-000")), 1))
	for _, fault := range []string{"reset", "close", "silence"} {
		for offset := range length {
			if fault == "silence" && offset%8 != 0 {
				continue
			}
			e := newFarEnd(t, g, func(c *farConn, q *fb.FrameT, before int) {
				whole := codec.Encode(answerTo(q))
				if before > 0 {
					c.say(whole)
					return
				}
				c.say(whole[:offset])
				switch fault {
				case "reset":
					c.reset()
				case "close":
					c.over = true
				}
			})
			p, name, us := NewPeer(g, e.addr), fmt.Sprintf("q-%03d", offset), int64(patienceUS)
			if fault == "silence" {
				us = silenceUS
			}
			ok, err := ask(p, name, us)
			if ok || err != nil {
				t.Errorf("%s after %d of %d bytes: answered %v, %v", fault, offset, length, ok, err)
			}
			if err := askUntil(p, name); err != nil {
				t.Errorf("%s after %d of %d bytes: %v", fault, offset, length, err)
			}
			if n := e.times(name); n > 1 {
				t.Errorf("%s after %d of %d bytes: the question came %d times", fault, offset, length, n)
			}
		}
	}
}

// TestGarbledAtEveryByte: an answer with any one byte changed answers nothing, and neither
// does what comes behind it.
func TestGarbledAtEveryByte(t *testing.T) {
	g := newGroup(t)
	length := len(encodeWithRef(answerTo(question("q-000")), 1))
	for offset := range length {
		e := newFarEnd(t, g, func(c *farConn, q *fb.FrameT, before int) {
			b := codec.Encode(answerTo(q))
			if before == 0 {
				b[offset] ^= 0x55
				b = append(b, codec.Encode(answerTo(&fb.FrameT{Ref: q.Ref, UpdatesRequest: &fb.UpdatesRequestT{From: "forged"}}))...)
			}
			c.say(b)
		})
		p, name := NewPeer(g, e.addr), fmt.Sprintf("q-%03d", offset)
		if ok, err := ask(p, name, silenceUS); ok || err != nil {
			t.Errorf("byte %d of %d changed: answered %v, %v", offset, length, ok, err)
		}
		if err := askUntil(p, name); err != nil {
			t.Errorf("byte %d of %d changed: %v", offset, length, err)
		}
		if n := e.times(name); n > 1 {
			t.Errorf("byte %d of %d changed: the question came %d times", offset, length, n)
		}
	}
}

// TestAnswersOutOfOrder: answers in any order, doubled, or to nobody's question, each reach
// their own question and no other.
func TestAnswersOutOfOrder(t *testing.T) {
	const questions = 64
	g := newGroup(t)
	var mu sync.Mutex
	var arrived []*fb.FrameT
	e := newFarEnd(t, g, func(c *farConn, q *fb.FrameT, _ int) {
		mu.Lock()
		defer mu.Unlock()
		arrived = append(arrived, q)
		c.say(encodeWithRef(answerTo(q), q.Ref+1_000_000)) // to nobody
		if len(arrived) < questions {
			return
		}
		for i := len(arrived) - 1; i >= 0; i-- {
			c.say(codec.Encode(answerTo(arrived[i])))
			c.say(encodeWithRef(answerTo(arrived[0]), arrived[i].Ref)) // another's, as a second answer
		}
	})
	p := NewPeer(g, e.addr)
	var done sync.WaitGroup
	done.Add(questions)
	for i := range questions {
		g.Go("ask", func(context.Context) {
			defer done.Done()
			if ok, err := ask(p, fmt.Sprint("q-", i), patienceUS); !ok || err != nil {
				t.Errorf("q-%d: %v, %v", i, ok, err)
			}
		})
	}
	done.Wait()
}

// TestAnswerOfAFormerConnection: an answer to a question of a former connection, to one
// that was given up, or of a peer's former life, answers no later question.
func TestAnswerOfAFormerConnection(t *testing.T) {
	g := newGroup(t)
	var mu sync.Mutex
	var former []*fb.FrameT
	e := newFarEnd(t, g, func(c *farConn, q *fb.FrameT, before int) {
		mu.Lock()
		defer mu.Unlock()
		for _, f := range former {
			c.say(codec.Encode(answerTo(f)))
		}
		former = append(former, q)
		if before%2 == 0 {
			if before%4 == 0 {
				c.reset()
			}
			return // silence
		}
		c.say(codec.Encode(answerTo(q)))
	})
	p := NewPeer(g, e.addr)
	answeredOnes := 0
	for i := range 40 {
		ok, err := ask(p, fmt.Sprint("q-", i), silenceUS)
		if err != nil {
			t.Error(err)
		}
		if ok {
			answeredOnes++
		}
		if e.times(fmt.Sprint("q-", i)) > 1 {
			t.Errorf("q-%d was sent twice", i)
		}
	}
	if answeredOnes == 0 {
		t.Error("nothing was answered: the case shows nothing")
	}
}

// TestOneFrameToManyPeers: a frame may be asked of several peers at once; each answer is
// its own peer's.
func TestOneFrameToManyPeers(t *testing.T) {
	g := newGroup(t)
	shared := question("shared")
	var done sync.WaitGroup
	for i := range 8 {
		e := newFarEnd(t, g, func(c *farConn, q *fb.FrameT, _ int) { c.say(codec.Encode(answerTo(q))) })
		p := NewPeer(g, e.addr)
		done.Add(1)
		g.Go("ask", func(context.Context) {
			defer done.Done()
			for range 50 {
				a, err := p.Call(context.Background(), shared, patienceUS)
				if err != nil || a.CapacityResponse.IndexNode != "shared" {
					t.Errorf("peer %d: %v", i, err)
				}
			}
		})
	}
	done.Wait()
	if shared.Ref != 0 {
		t.Error("a caller's frame was changed")
	}
}

// TestOneAnswerToManyQuestions: a handler may give the same frame to many questions.
func TestOneAnswerToManyQuestions(t *testing.T) {
	g := newGroup(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	kept := &fb.FrameT{CapacityResponse: &fb.CapacityResponseT{IndexNode: "kept"}}
	Serve(g, l, func(context.Context, *fb.FrameT) *fb.FrameT { return kept })
	p := NewPeer(g, l.Addr().String())
	var done sync.WaitGroup
	for range 16 {
		done.Add(1)
		g.Go("ask", func(context.Context) {
			defer done.Done()
			for range 20 {
				if a, err := p.Call(context.Background(), question("x"), patienceUS); err != nil || a.CapacityResponse == nil {
					t.Errorf("%+v, %v", a, err)
				}
			}
		})
	}
	done.Wait()
}

// TestNothingWaitsForADial: a frame that nobody answers is handed over at once, and a
// question waits no longer than its own time, while the far end does not answer the dial.
// A question that was given up meanwhile is not put later.
func TestNothingWaitsForADial(t *testing.T) {
	g := newGroup(t)
	e := newFarEnd(t, g, func(c *farConn, q *fb.FrameT, _ int) { c.say(codec.Encode(answerTo(q))) })
	p := NewPeer(g, e.addr)
	dialled, release := make(chan struct{}), make(chan struct{})
	p.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		close(dialled)
		_, _ = taskgroup.Receive(ctx, release)
		return dialTCP(ctx, addr)
	}
	p.Send(&fb.FrameT{})
	<-dialled
	if _, err := p.Call(context.Background(), question("too early"), 1000); err == nil {
		t.Error("answered without a connection")
	}
	close(release)
	if ok, err := ask(p, "later", patienceUS); !ok || err != nil {
		t.Errorf("%v, %v", ok, err)
	}
	if n := e.times("too early"); n > 0 {
		t.Errorf("a question that was given up was put %d times", n)
	}
}

// TestServerMeetsTornQuestions: a server goes on after questions that are cut at every byte,
// claim any length, or are not frames at all.
func TestServerMeetsTornQuestions(t *testing.T) {
	g := newGroup(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	handled := map[string]int{}
	Serve(g, l, func(_ context.Context, q *fb.FrameT) *fb.FrameT {
		mu.Lock()
		defer mu.Unlock()
		if q.UpdatesRequest != nil {
			handled[q.UpdatesRequest.From]++
			return answerTo(q)
		}
		return nil
	})
	whole := encodeWithRef(question("torn"), 7)
	send := func(b []byte) {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(b)
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.Copy(io.Discard, conn) // until the server has dealt with it
		_ = conn.Close()
	}
	for n := range whole {
		send(whole[:n])
		changed := append([]byte(nil), whole...)
		changed[n] ^= 0x55
		send(changed)
	}
	for _, length := range []uint32{0, 1, 7, codec.MaxFrameBytes, codec.MaxFrameBytes + 1, 1<<32 - 1} {
		b := append([]byte(nil), whole...)
		binary.LittleEndian.PutUint32(b, length)
		send(b)
	}
	mu.Lock()
	if len(handled) > 0 {
		t.Errorf("parts of questions were handled: %v", handled)
	}
	mu.Unlock()
	if ok, err := ask(NewPeer(g, l.Addr().String()), "whole", patienceUS); !ok || err != nil {
		t.Errorf("%v, %v", ok, err)
	}
}

// TestRemoteError: a request that the far end does not handle ends in an error of its own
// type, which a broken connection never has.
func TestRemoteError(t *testing.T) {
	g := newGroup(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	Serve(g, l, func(context.Context, *fb.FrameT) *fb.FrameT { return nil })
	_, err = NewPeer(g, l.Addr().String()).Call(context.Background(), question("x"), patienceUS)
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Kind != "unhandled" {
		t.Errorf("an unhandled request: %v", err)
	}
	broken := newFarEnd(t, g, func(c *farConn, _ *fb.FrameT, _ int) { c.reset() })
	_, err = NewPeer(g, broken.addr).Call(context.Background(), question("x"), patienceUS)
	if err == nil || errors.As(err, &remote) {
		t.Errorf("a reset connection: %v", err)
	}
}

// TestPeerPool: one address has one peer.
func TestPeerPool(t *testing.T) {
	pool := NewPeerPool(newGroup(t))
	if a, b := pool.Get("127.0.0.1:1"), pool.Get("127.0.0.1:1"); a != b || a.Addr() != "127.0.0.1:1" {
		t.Errorf("%v and %v", a, b)
	}
	if pool.Get("127.0.0.1:1") == pool.Get("127.0.0.1:2") {
		t.Error("two addresses have one peer")
	}
}
