package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"violetthread/internal/clock"
	"violetthread/placement"
	"violetthread/route"
)

// attemptOnOldWeights returns an attempt on version 1 of model m, and the engine's end of its
// connection. Version 2 was announced this long ago, and the caller waits for the time left.
func attemptOnOldWeights(t *testing.T, announced time.Duration, left time.Duration) (*engineAttempt, net.Conn) {
	t.Helper()
	u := NewStandalone(t, nil, route.Compile(route.Config{}, 1))
	u.Announce("m", map[uint64]time.Duration{2: announced})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	f := &forwardedRequest{
		server:   u.server,
		request:  httptest.NewRequest(http.MethodPost, "/", nil),
		info:     RequestInfo{Model: "m"},
		view:     u.server.view.Load(),
		deadline: clock.Now() + left.Microseconds(),
	}
	choice := &placement.Choice{Engine: &placement.Engine{ID: "old"}, Version: 1}
	return &engineAttempt{forwarded: f, choice: choice, conn: &engineConn{Conn: near, br: bufio.NewReader(near)}}, far
}

// TestMayKeepWaiting: an attempt that reached its wait deadline keeps waiting if it may still start
// or has started meanwhile; shortly before the version deadline it is withdrawn.
func TestMayKeepWaiting(t *testing.T) {
	bound := clock.Duration(route.DefaultBounds().VersionApplyUS)
	for _, c := range []struct {
		name            string
		announced, left time.Duration
		err             error
		answered        bool
		want, withdrawn bool
	}{
		{"well before the deadline", bound / 2, time.Hour, os.ErrDeadlineExceeded, false, true, false},
		{"shortly before the deadline", bound - clock.Duration(withdrawSlackUS/2), time.Hour, os.ErrDeadlineExceeded, false, false, true},
		{"started while this process was stalled", 2 * bound, time.Hour, os.ErrDeadlineExceeded, true, true, false},
		{"the caller's deadline has passed", bound / 2, -time.Hour, os.ErrDeadlineExceeded, false, false, false},
		{"the connection broke", bound / 2, time.Hour, io.ErrUnexpectedEOF, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, engine := attemptOnOldWeights(t, c.announced, c.left)
			if c.answered {
				_, _ = engine.Write([]byte("H"))
				if _, err := a.conn.br.Peek(1); err != nil {
					t.Fatal(err)
				}
			}
			if got := a.mayKeepWaiting(c.err); got != c.want || a.withdrawn != c.withdrawn {
				t.Errorf("may keep waiting: %v, withdrawn: %v", got, a.withdrawn)
			}
		})
	}
}

// TestNotSentAfterStartDeadline: if connecting took so long that the engine's weights are outdated
// by then, the request is not sent.
func TestNotSentAfterStartDeadline(t *testing.T) {
	bound := clock.Duration(route.DefaultBounds().VersionApplyUS)
	a, engine := attemptOnOldWeights(t, bound, time.Hour)
	if end, response := a.exchange(); end != nothingSent || response != nil {
		t.Errorf("the attempt ended with %+v", end)
	}
	_ = a.conn.Close()
	if sent, err := io.ReadAll(engine); len(sent) > 0 || err != nil {
		t.Errorf("the engine received %d bytes, %v", len(sent), err)
	}
}
