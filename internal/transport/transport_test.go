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
	longTimeoutUS  = 10_000_000
	shortTimeoutUS = 60_000
)

// fakePeer is a server that can write any bytes. For every complete request it calls handle
// with the number of requests received before it, over all connections.
type fakePeer struct {
	addr string

	mu       sync.Mutex
	received []string // names in the complete requests
	conns    int
	handle   func(c *fakePeerConn, request *fb.FrameT, before int)
}

type fakePeerConn struct {
	net.Conn
	br     *bufio.Reader
	closed bool // no further requests are read
}

func newRequest(name string) *fb.FrameT {
	return &fb.FrameT{UpdatesRequest: &fb.UpdatesRequestT{From: name}}
}

// responseTo returns the response to a request, with the request's name in it.
func responseTo(request *fb.FrameT) *fb.FrameT {
	return &fb.FrameT{Ref: request.Ref, CapacityResponse: &fb.CapacityResponseT{IndexNode: request.UpdatesRequest.From}}
}

func newGroup(t testing.TB) *taskgroup.Group {
	t.Helper()
	g := taskgroup.New(context.Background(), logr.Discard())
	t.Cleanup(g.Stop)
	return g
}

func newFakePeer(t testing.TB, g *taskgroup.Group, handle func(c *fakePeerConn, request *fb.FrameT, before int)) *fakePeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakePeer{addr: l.Addr().String(), handle: handle}
	g.Go("fake peer", func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = l.Close() })
		defer stop()
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			fake.mu.Lock()
			fake.conns++
			fake.mu.Unlock()
			g.Go("fake peer connection", func(ctx context.Context) {
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				defer stop()
				fake.serve(&fakePeerConn{Conn: conn, br: bufio.NewReader(conn)})
			})
		}
	})
	return fake
}

func (fake *fakePeer) serve(c *fakePeerConn) {
	defer c.Close()
	for !c.closed {
		request, err := codec.ReadFrame(c.br)
		if err != nil {
			return
		}
		if request.UpdatesRequest == nil {
			continue // not a request of these tests
		}
		fake.mu.Lock()
		before, handle := len(fake.received), fake.handle
		fake.received = append(fake.received, request.UpdatesRequest.From)
		fake.mu.Unlock()
		handle(c, request, before)
	}
}

// times returns how many complete requests with a name were received.
func (fake *fakePeer) times(name string) (n int) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	for _, x := range fake.received {
		if x == name {
			n++
		}
	}
	return n
}

func (c *fakePeerConn) reset() {
	c.closed = true
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (c *fakePeerConn) writeRaw(frame []byte) { _, _ = c.Write(frame) }

// call sends a request and reports whether it got a response; a response to another request
// is an error.
func call(p *Peer, name string, us int64) (bool, error) {
	a, err := p.Call(context.Background(), newRequest(name), us)
	if err != nil {
		return false, nil
	}
	if a.CapacityResponse == nil || a.CapacityResponse.IndexNode != name {
		return false, fmt.Errorf("%s got the response %+v", name, a.CapacityResponse)
	}
	return true, nil
}

// callUntilAnswered sends new requests until one gets a response: a new connection is dialed
// only after a delay.
func callUntilAnswered(p *Peer, name string) error {
	end := time.Now().Add(10 * time.Second)
	for i := 0; time.Now().Before(end); i++ {
		ok, err := call(p, fmt.Sprintf("%s again %d", name, i), longTimeoutUS)
		if ok || err != nil {
			return err
		}
	}
	return fmt.Errorf("no request got a response after %s", name)
}

// TestFaultAtEveryByteOfResponse: the peer resets or closes the connection, or stops writing,
// after every byte of its response. A request is never sent twice, and the next one gets its
// own response.
func TestFaultAtEveryByteOfResponse(t *testing.T) {
	g := newGroup(t)
	length := len(encodeWithRef(responseTo(newRequest("q-000")), 1))
	for _, fault := range []string{"reset", "close", "silence"} {
		for offset := range length {
			if fault == "silence" && offset%8 != 0 {
				continue
			}
			fake := newFakePeer(t, g, func(c *fakePeerConn, request *fb.FrameT, before int) {
				whole := codec.Encode(responseTo(request))
				if before > 0 {
					c.writeRaw(whole)
					return
				}
				c.writeRaw(whole[:offset])
				switch fault {
				case "reset":
					c.reset()
				case "close":
					c.closed = true
				}
			})
			p, name, us := NewPeer(g, fake.addr), fmt.Sprintf("q-%03d", offset), int64(longTimeoutUS)
			if fault == "silence" {
				us = shortTimeoutUS
			}
			ok, err := call(p, name, us)
			if ok || err != nil {
				t.Errorf("%s after %d of %d bytes: got a response %v, %v", fault, offset, length, ok, err)
			}
			if err := callUntilAnswered(p, name); err != nil {
				t.Errorf("%s after %d of %d bytes: %v", fault, offset, length, err)
			}
			if n := fake.times(name); n > 1 {
				t.Errorf("%s after %d of %d bytes: the request was received %d times", fault, offset, length, n)
			}
		}
	}
}

// TestCorruptResponseByte: a response with any one byte changed completes no request, and
// neither does a valid response that follows it on the same connection.
func TestCorruptResponseByte(t *testing.T) {
	g := newGroup(t)
	length := len(encodeWithRef(responseTo(newRequest("q-000")), 1))
	for offset := range length {
		fake := newFakePeer(t, g, func(c *fakePeerConn, request *fb.FrameT, before int) {
			b := codec.Encode(responseTo(request))
			if before == 0 {
				b[offset] ^= 0x55
				b = append(b, codec.Encode(responseTo(&fb.FrameT{Ref: request.Ref, UpdatesRequest: &fb.UpdatesRequestT{From: "forged"}}))...)
			}
			c.writeRaw(b)
		})
		p, name := NewPeer(g, fake.addr), fmt.Sprintf("q-%03d", offset)
		if ok, err := call(p, name, shortTimeoutUS); ok || err != nil {
			t.Errorf("byte %d of %d changed: got a response %v, %v", offset, length, ok, err)
		}
		if err := callUntilAnswered(p, name); err != nil {
			t.Errorf("byte %d of %d changed: %v", offset, length, err)
		}
		if n := fake.times(name); n > 1 {
			t.Errorf("byte %d of %d changed: the request was received %d times", offset, length, n)
		}
	}
}

// TestResponsesOutOfOrder: every request gets its own response when responses arrive in
// another order, twice, or with a reference number of no request.
func TestResponsesOutOfOrder(t *testing.T) {
	const requests = 64
	g := newGroup(t)
	var mu sync.Mutex
	var arrived []*fb.FrameT
	fake := newFakePeer(t, g, func(c *fakePeerConn, request *fb.FrameT, _ int) {
		mu.Lock()
		defer mu.Unlock()
		arrived = append(arrived, request)
		c.writeRaw(encodeWithRef(responseTo(request), request.Ref+1_000_000)) // of no request
		if len(arrived) < requests {
			return
		}
		for i := len(arrived) - 1; i >= 0; i-- {
			c.writeRaw(codec.Encode(responseTo(arrived[i])))
			c.writeRaw(encodeWithRef(responseTo(arrived[0]), arrived[i].Ref)) // of another request, as a second response
		}
	})
	p := NewPeer(g, fake.addr)
	var done sync.WaitGroup
	done.Add(requests)
	for i := range requests {
		g.Go("ask", func(context.Context) {
			defer done.Done()
			if ok, err := call(p, fmt.Sprint("q-", i), longTimeoutUS); !ok || err != nil {
				t.Errorf("q-%d: %v, %v", i, ok, err)
			}
		})
	}
	done.Wait()
}

// TestLateResponse: a response to an earlier request, of this or a previous connection or
// one that its caller gave up, is never taken for the response to a later request.
func TestLateResponse(t *testing.T) {
	g := newGroup(t)
	var mu sync.Mutex
	var earlier []*fb.FrameT
	fake := newFakePeer(t, g, func(c *fakePeerConn, request *fb.FrameT, before int) {
		mu.Lock()
		defer mu.Unlock()
		for _, f := range earlier {
			c.writeRaw(codec.Encode(responseTo(f)))
		}
		earlier = append(earlier, request)
		if before%2 == 0 {
			if before%4 == 0 {
				c.reset()
			}
			return // no response
		}
		c.writeRaw(codec.Encode(responseTo(request)))
	})
	p := NewPeer(g, fake.addr)
	answered := 0
	for i := range 40 {
		ok, err := call(p, fmt.Sprint("q-", i), shortTimeoutUS)
		if err != nil {
			t.Error(err)
		}
		if ok {
			answered++
		}
		if fake.times(fmt.Sprint("q-", i)) > 1 {
			t.Errorf("q-%d was sent twice", i)
		}
	}
	if answered == 0 {
		t.Error("no request got a response, so that this test checked nothing")
	}
}

// TestOneFrameToManyPeers: the same frame may be sent to several peers at once, and is not
// modified.
func TestOneFrameToManyPeers(t *testing.T) {
	g := newGroup(t)
	shared := newRequest("shared")
	var done sync.WaitGroup
	for i := range 8 {
		fake := newFakePeer(t, g, func(c *fakePeerConn, request *fb.FrameT, _ int) { c.writeRaw(codec.Encode(responseTo(request))) })
		p := NewPeer(g, fake.addr)
		done.Add(1)
		g.Go("ask", func(context.Context) {
			defer done.Done()
			for range 50 {
				a, err := p.Call(context.Background(), shared, longTimeoutUS)
				if err != nil || a.CapacityResponse.IndexNode != "shared" {
					t.Errorf("peer %d: %v", i, err)
				}
			}
		})
	}
	done.Wait()
	if shared.Ref != 0 {
		t.Error("the caller's frame was modified")
	}
}

// TestOneResponseToManyRequests: a handler may return the same frame for many requests.
func TestOneResponseToManyRequests(t *testing.T) {
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
				if a, err := p.Call(context.Background(), newRequest("x"), longTimeoutUS); err != nil || a.CapacityResponse == nil {
					t.Errorf("%+v, %v", a, err)
				}
			}
		})
	}
	done.Wait()
}

// TestPendingDial: while a dial is pending, Send returns at once and Call returns after its
// own time-out. A request that timed out meanwhile is not sent later.
func TestPendingDial(t *testing.T) {
	g := newGroup(t)
	fake := newFakePeer(t, g, func(c *fakePeerConn, request *fb.FrameT, _ int) { c.writeRaw(codec.Encode(responseTo(request))) })
	p := NewPeer(g, fake.addr)
	dialed, release := make(chan struct{}), make(chan struct{})
	p.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		close(dialed)
		_, _ = taskgroup.Receive(ctx, release)
		return dialTCP(ctx, addr)
	}
	p.Send(&fb.FrameT{})
	<-dialed
	if _, err := p.Call(context.Background(), newRequest("too early"), 1000); err == nil {
		t.Error("got a response without a connection")
	}
	close(release)
	if ok, err := call(p, "later", longTimeoutUS); !ok || err != nil {
		t.Errorf("%v, %v", ok, err)
	}
	if n := fake.times("too early"); n > 0 {
		t.Errorf("a request that had timed out was sent %d times", n)
	}
}

// TestServerMalformedRequests: a server still handles requests after receiving ones that are
// truncated or changed at any byte, or that declare a wrong length, and handles none of those.
func TestServerMalformedRequests(t *testing.T) {
	g := newGroup(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	handled := map[string]int{}
	Serve(g, l, func(_ context.Context, request *fb.FrameT) *fb.FrameT {
		mu.Lock()
		defer mu.Unlock()
		if request.UpdatesRequest != nil {
			handled[request.UpdatesRequest.From]++
			return responseTo(request)
		}
		return nil
	})
	whole := encodeWithRef(newRequest("torn"), 7)
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
		_, _ = io.Copy(io.Discard, conn) // until the server closes the connection
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
		t.Errorf("malformed requests were handled: %v", handled)
	}
	mu.Unlock()
	if ok, err := call(NewPeer(g, l.Addr().String()), "whole", longTimeoutUS); !ok || err != nil {
		t.Errorf("%v, %v", ok, err)
	}
}

// TestRemoteError: a request that the peer does not handle ends in a RemoteError, which a
// lost connection never causes.
func TestRemoteError(t *testing.T) {
	g := newGroup(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	Serve(g, l, func(context.Context, *fb.FrameT) *fb.FrameT { return nil })
	_, err = NewPeer(g, l.Addr().String()).Call(context.Background(), newRequest("x"), longTimeoutUS)
	var remote *RemoteError
	if !errors.As(err, &remote) || remote.Kind != "unhandled" {
		t.Errorf("an unhandled request: %v", err)
	}
	broken := newFakePeer(t, g, func(c *fakePeerConn, _ *fb.FrameT, _ int) { c.reset() })
	_, err = NewPeer(g, broken.addr).Call(context.Background(), newRequest("x"), longTimeoutUS)
	if err == nil || errors.As(err, &remote) {
		t.Errorf("a reset connection: %v", err)
	}
}

// TestPeerPool: the pool returns the same peer for the same address.
func TestPeerPool(t *testing.T) {
	pool := NewPeerPool(newGroup(t))
	if a, b := pool.Get("127.0.0.1:1"), pool.Get("127.0.0.1:1"); a != b || a.Addr() != "127.0.0.1:1" {
		t.Errorf("%v and %v", a, b)
	}
	if pool.Get("127.0.0.1:1") == pool.Get("127.0.0.1:2") {
		t.Error("two addresses share a peer")
	}
}
