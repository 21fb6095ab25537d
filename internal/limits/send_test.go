package limits

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"violetthread/internal/taskgroup"
)

const (
	unreadBytes     = 100 << 10 // more than a peer takes that does not read, less than a large send buffer
	peerBufferBytes = 4 << 10
)

// answerUnread has a connection answer a request with unreadBytes that its peer does not read.
func answerUnread(t *testing.T, c pair) {
	t.Helper()
	if err := c.peer.(*net.TCPConn).SetReadBuffer(peerBufferBytes); err != nil {
		t.Fatal(err)
	}
	c.conn.Serving()
	if _, err := c.conn.Write(make([]byte, unreadBytes)); err != nil {
		t.Fatal(err)
	}
	c.conn.TrackState(http.StateIdle)
}

// TestUnsentResponseIsHeld guards against large send buffers outside the bound on memory: what the kernel
// keeps of a response that its caller does not read stays accounted, and gives way to others.
func TestUnsentResponseIsHeld(t *testing.T) {
	p := newTestPort(10, expandedBytes+1000)
	l := listen(t, p)
	unread, other := open(t, l), open(t, l)
	answerUnread(t, unread)
	if got := p.held(); got != expandedBytes {
		t.Fatalf("%d bytes are held for a response that was not read, want %d", got, expandedBytes)
	}
	closeWhenEvicted(t, unread.conn)
	if !other.conn.Reserve(2000) {
		t.Fatal("a response that is not read keeps others from being served")
	}
	if got := p.held(); got != 2000 {
		t.Fatalf("%d bytes are held after the eviction", got)
	}
}

// TestSentResponseIsReleased guards against closing an idle connection for the memory of a response that
// its caller has read by now.
func TestSentResponseIsReleased(t *testing.T) {
	p := newTestPort(10, expandedBytes+1000)
	l := listen(t, p)
	read, other := open(t, l), open(t, l)
	answerUnread(t, read)
	if _, err := io.CopyN(io.Discard, read.peer, unreadBytes); err != nil {
		t.Fatal(err)
	}
	if !other.conn.Reserve(2000) || !isOpen(read.peer) {
		t.Fatal("the connection whose response was read was closed")
	}
	if got := p.held(); got != 2000 {
		t.Fatalf("%d bytes are held", got)
	}
}

// TestLargeWriteWithoutMemory guards against closing other connections for a large buffer, which is not
// needed: the write is slower without it.
func TestLargeWriteWithoutMemory(t *testing.T) {
	p := newTestPort(10, expandedBytes+1000)
	l := listen(t, p)
	holder, writer := open(t, l), open(t, l)
	if !holder.conn.Reserve(2000) {
		t.Fatal("refused")
	}
	writer.conn.Serving()
	group := taskgroup.New(context.Background(), logr.Discard())
	defer group.Stop()
	done := make(chan error, 1)
	group.Go("write", func(context.Context) {
		_, err := writer.conn.Write(make([]byte, unreadBytes))
		done <- err
	})
	_ = writer.peer.SetReadDeadline(time.Now().Add(waitLimit))
	if _, err := io.CopyN(io.Discard, writer.peer, unreadBytes); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil || !isOpen(holder.peer) || p.held() != 2000 {
		t.Fatalf("%v, held %d", err, p.held())
	}
}
