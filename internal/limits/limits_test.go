package limits

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"violetthread/internal/taskgroup"
)

// testMachine has memory for a port of 20 connections and 1 MiB of held bytes.
var testMachine = Machine{MemoryBytes: minMemoryBytes, Descriptors: minDescriptors}

const waitLimit = 10 * time.Second

// newTestPort returns a port with small bounds.
func newTestPort(connections int, heldBytes int64) *Port {
	p := testMachine.NewPort("test", 1, logr.Discard())
	p.maxConnections, p.maxHeldBytes = connections, heldBytes
	return p
}

// pair is both ends of an accepted connection.
type pair struct {
	conn *Conn
	peer net.Conn
}

// open opens a connection to a port's listener.
func open(t *testing.T, l net.Listener) pair {
	t.Helper()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c, ok := accepted.(*Conn)
	if !ok {
		t.Fatalf("accepted a %T", accepted)
	}
	t.Cleanup(func() { _ = c.Close() })
	return pair{c, peer}
}

func listen(t *testing.T, p *Port) net.Listener {
	t.Helper()
	l, err := Listen("127.0.0.1:0", p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// isOpen reports whether a peer's connection is open, by what a read returns.
func isOpen(peer net.Conn) bool {
	_ = peer.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := peer.Read(make([]byte, 1))
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// closeWhenEvicted does what the owner of a connection does: it closes the connection once a read fails.
func closeWhenEvicted(t *testing.T, c *Conn) {
	group := taskgroup.New(context.Background(), logr.Discard())
	t.Cleanup(func() {
		_ = c.Close()
		group.Stop()
	})
	group.Go("owner", func(context.Context) {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	})
}

// TestConnectionBound: at the bound the connection that has waited the longest gives way; those in
// service do not, and useful ones are the last to go.
func TestConnectionBound(t *testing.T) {
	l := listen(t, newTestPort(4, 1<<20))
	served, proven, oldest, newer := open(t, l), open(t, l), open(t, l), open(t, l)
	served.conn.Serving()
	proven.conn.Prove()
	proven.conn.Receiving()
	for i, p := range []pair{served, proven, oldest, newer} {
		if !isOpen(p.peer) {
			t.Fatalf("connection %d was closed below the bound", i)
		}
	}
	latest := open(t, l)
	if isOpen(oldest.peer) || !isOpen(newer.peer) || !isOpen(proven.peer) || !isOpen(served.peer) || !isOpen(latest.peer) {
		t.Fatal("not the connection that has waited the longest was closed")
	}
	_ = oldest.conn.Close()
	open(t, l) // newer
	if isOpen(newer.peer) {
		t.Fatal("the next one was not closed")
	}
	_ = newer.conn.Close()
	open(t, l) // latest
	_ = latest.conn.Close()
	if !isOpen(proven.peer) || !isOpen(served.peer) {
		t.Fatal("a useful connection was closed before others")
	}
}

// TestAllInService: if all connections are in service, a new one is closed.
func TestAllInService(t *testing.T) {
	p := newTestPort(1, 1<<20)
	l := listen(t, p)
	first := open(t, l)
	first.conn.Serving()
	group := taskgroup.New(context.Background(), logr.Discard())
	defer group.Stop()
	defer l.Close()
	group.Go("accept", func(context.Context) { _, _ = l.Accept() })
	second, err := net.Dial("tcp", l.Addr().String())
	if err == nil {
		defer second.Close()
		_ = second.SetReadDeadline(time.Now().Add(waitLimit))
		_, err = second.Read(make([]byte, 1))
	}
	if err == nil || isTimeout(err) {
		t.Fatalf("the connection beyond the bound was not closed: %v", err)
	}
	if !isOpen(first.peer) || p.rejected[BoundConnections].Load() != 1 {
		t.Fatal("the connection in service was closed, or the rejection was not counted")
	}
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// TestHeldBound: a reservation beyond the bound evicts the connection that has held bytes the longest,
// and waits until it has ended.
func TestHeldBound(t *testing.T) {
	p := newTestPort(10, 1000)
	l := listen(t, p)
	idle, first, second, third := open(t, l), open(t, l), open(t, l), open(t, l)
	for _, x := range []pair{idle, first, second, third} {
		closeWhenEvicted(t, x.conn)
	}
	if !first.conn.Reserve(400) || !second.conn.Reserve(500) {
		t.Fatal("a reservation within the bound failed")
	}
	if !third.conn.Reserve(300) {
		t.Fatal("a reservation failed although others wait for their peers")
	}
	if isOpen(first.peer) || !isOpen(second.peer) || !isOpen(idle.peer) {
		t.Fatal("not the longest holder was evicted")
	}
	second.conn.Serving()
	third.conn.Serving()
	if idle.conn.Reserve(300) {
		t.Fatal("a reservation succeeded although all other holders are in service")
	}
	second.conn.Idle()
	if !idle.conn.Reserve(300) {
		t.Fatal("an answered request did not release its bytes")
	}
	if p.heldBytes != 600 {
		t.Fatalf("%d bytes are held", p.heldBytes)
	}
}

// TestCloseWaiting: connections that wait for their peers are closed, those in service are not.
func TestCloseWaiting(t *testing.T) {
	p := newTestPort(10, 1000)
	l := listen(t, p)
	served, idle, receiving := open(t, l), open(t, l), open(t, l)
	served.conn.Serving()
	if !receiving.conn.Reserve(500) {
		t.Fatal("refused")
	}
	p.CloseWaiting()
	if !isOpen(served.peer) || isOpen(idle.peer) || isOpen(receiving.peer) {
		t.Fatal("not just the connections that wait for their peers were closed")
	}
}

// TestOnlyHolder: a single request is served whatever its size.
func TestOnlyHolder(t *testing.T) {
	l := listen(t, newTestPort(10, 1000))
	big, other := open(t, l), open(t, l)
	if !big.conn.Reserve(900) || !big.conn.Reserve(5000) {
		t.Fatal("the only holder was refused")
	}
	big.conn.Serving()
	if other.conn.Reserve(1) {
		t.Fatal("another one was not refused")
	}
}

// TestReserveOrWait: a reservation that waits succeeds once others have released enough.
func TestReserveOrWait(t *testing.T) {
	l := listen(t, newTestPort(10, 1000))
	holder, waiter := open(t, l), open(t, l)
	if !holder.conn.Reserve(900) {
		t.Fatal("refused")
	}
	holder.conn.Serving()
	group := taskgroup.New(context.Background(), logr.Discard())
	defer group.Stop()
	got := make(chan bool, 1)
	group.Go("wait", func(context.Context) { got <- waiter.conn.ReserveOrWait(800) })
	holder.conn.Release(900)
	select {
	case ok := <-got:
		if !ok {
			t.Fatal("refused after the release")
		}
	case <-time.After(waitLimit):
		t.Fatal("still waiting after the release")
	}
	group.Go("wait", func(context.Context) { got <- holder.conn.ReserveOrWait(800) })
	waiter.conn.Serving()
	_ = holder.conn.Close()
	if <-got {
		t.Fatal("a closed connection got memory")
	}
}

// TestWaitSparesUseful: a reservation that waits leaves useful connections alone, and has others evicted.
func TestWaitSparesUseful(t *testing.T) {
	l := listen(t, newTestPort(10, 1000))
	useful, other, waiter := open(t, l), open(t, l), open(t, l)
	closeWhenEvicted(t, other.conn)
	useful.conn.Prove()
	if !useful.conn.Reserve(500) || !other.conn.Reserve(400) {
		t.Fatal("refused")
	}
	if !waiter.conn.ReserveOrWait(300) || !isOpen(useful.peer) || isOpen(other.peer) {
		t.Fatal("not the connection that has not been useful was evicted")
	}
	group := taskgroup.New(context.Background(), logr.Discard())
	defer group.Stop()
	got := make(chan bool, 1)
	group.Go("wait", func(context.Context) { got <- waiter.conn.ReserveOrWait(400) })
	useful.conn.Release(500)
	if !<-got || !isOpen(useful.peer) {
		t.Fatal("the useful connection did not get the time to release its bytes")
	}
}

// TestGroups: one group holds at most half of the bytes, unless it holds nothing else.
func TestGroups(t *testing.T) {
	l := listen(t, newTestPort(10, 1000))
	first, second, third := open(t, l), open(t, l), open(t, l)
	if !first.conn.Reserve(400) || !first.conn.EnterGroup("a") || !second.conn.Reserve(200) {
		t.Fatal("refused within the bounds")
	}
	if second.conn.EnterGroup("a") {
		t.Fatal("one group holds more than half")
	}
	if !second.conn.EnterGroup("b") {
		t.Fatal("another group was refused")
	}
	first.conn.Idle()
	if !third.conn.Reserve(700) || !third.conn.EnterGroup("a") {
		t.Fatal("a group's only request was refused")
	}
	third.conn.Idle()
	second.conn.Idle()
	if p := first.conn.port; p.heldBytes != 0 || len(p.heldByGroup) != 0 {
		t.Fatalf("%d bytes are held, by groups %v", p.heldBytes, p.heldByGroup)
	}
}

// TestStalledWriter: a connection whose peer does not read gives way even though its request is in
// service.
func TestStalledWriter(t *testing.T) {
	l := listen(t, newTestPort(10, 1000))
	stalled, other := open(t, l), open(t, l)
	if !stalled.conn.Reserve(900) {
		t.Fatal("refused")
	}
	stalled.conn.Serving()
	group := taskgroup.New(context.Background(), logr.Discard())
	defer group.Stop()
	group.Go("write", func(context.Context) {
		_, _ = stalled.conn.Write(make([]byte, 64<<20))
		_ = stalled.conn.Close()
	})
	end := time.Now().Add(waitLimit)
	for !other.conn.Reserve(500) {
		if time.Now().After(end) {
			t.Fatal("the stalled connection holds its bytes for ever")
		}
		taskgroup.Sleep(group.Context(), 20_000)
	}
}

// TestHeadCost: a head of very many fields is accounted for the memory that parsing it takes.
func TestHeadCost(t *testing.T) {
	p := newTestPort(10, 1<<20)
	l := listen(t, p)
	x := open(t, l)
	if _, err := io.WriteString(x.peer, strings.Repeat("a:\r\n", 1000)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(x.conn, make([]byte, 4000)); err != nil {
		t.Fatal(err)
	}
	if p.heldBytes < 1000*headFieldBytes-Allowance {
		t.Fatalf("only %d bytes are accounted for 1,000 fields", p.heldBytes)
	}
	x.conn.HeadReceived()
	held := p.heldBytes
	if _, err := io.WriteString(x.peer, strings.Repeat("\n", 4000)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(x.conn, make([]byte, 4000)); err != nil || p.heldBytes != held {
		t.Fatalf("the body was accounted as a head: %d bytes after %d, %v", p.heldBytes, held, err)
	}
}

// serveBody serves POST requests, whose bodies it reads with ReadBody.
func serveBody(t *testing.T, p *Port, maxBytes int64) string {
	t.Helper()
	l := listen(t, p)
	group := taskgroup.New(context.Background(), logr.Discard())
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, maxBytes, 1)
		var tooLarge *http.MaxBytesError
		switch {
		case errors.As(err, &tooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrOverloaded):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err == nil:
			_, _ = fmt.Fprint(w, len(body))
		}
	}
	reject := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	server := &http.Server{Handler: Handler(http.HandlerFunc(handler), http.HandlerFunc(reject)), ConnContext: WithConn, ConnState: TrackState, ReadHeaderTimeout: waitLimit}
	group.Go("serve", func(context.Context) { _ = server.Serve(l) })
	t.Cleanup(func() {
		_ = server.Close()
		group.Stop()
	})
	return "http://" + l.Addr().String()
}

// TestReadBody: bodies within the limit are read whole, whatever their framing, and their memory is
// released after the answer; longer ones are refused.
func TestReadBody(t *testing.T) {
	const limit = 200_000
	p := newTestPort(20, 1<<20)
	addr := serveBody(t, p, limit)
	for _, c := range []struct {
		length  int
		chunked bool
		status  int
	}{
		{0, false, 200}, {1, false, 200}, {4096, false, 200}, {4097, true, 200}, {70_000, false, 200}, {70_000, true, 200},
		{limit, false, 200}, {limit, true, 200}, {limit + 1, false, 413}, {limit + 1, true, 413}, {3 * limit, false, 413},
	} {
		t.Run(fmt.Sprint(c.length, c.chunked), func(t *testing.T) {
			var body io.Reader = strings.NewReader(strings.Repeat("x", c.length))
			if c.chunked {
				body = io.MultiReader(body) // hides the length
			}
			response, err := http.Post(addr, "text/plain", body)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != c.status || c.status == 200 && string(text) != fmt.Sprint(c.length) {
				t.Fatalf("%d %s, %v", response.StatusCode, text, err)
			}
		})
	}
	http.DefaultClient.CloseIdleConnections()
	end := time.Now().Add(waitLimit)
	for p.held() != 0 && time.Now().Before(end) {
		taskgroup.Sleep(context.Background(), 10_000)
	}
	if held := p.held(); held != 0 {
		t.Fatalf("%d bytes are held after all answers", held)
	}
}

// held returns the bytes that all connections hold.
func (p *Port) held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heldBytes
}

// TestShares: the ports of a machine together stay within its memory and descriptors.
func TestShares(t *testing.T) {
	for _, m := range []Machine{{160 << 20, 2048}, {284 << 20, 4100}, {256 << 20, 1024}, {8 << 30, 1 << 20}} {
		var memory int64
		descriptors := 0
		for _, fraction := range []float64{0.15, 0.85} {
			p := m.NewPort("test", fraction, logr.Discard())
			memory += int64(p.maxConnections)*connectionBytes + p.maxHeldBytes
			descriptors += p.maxConnections
		}
		if memory > m.MemoryBytes*(connectionPercent+heldPercent)/100 || descriptors > m.Descriptors-reservedDescriptors-m.DialedConnections() {
			t.Errorf("%+v: %d bytes, %d connections and %d to engines", m, memory, descriptors, m.DialedConnections())
		}
	}
}
