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

// attemptOnOldWeights is an attempt on version 1 of model m at an engine at the far end of the
// returned connection. Version 2 was announced so long ago.
func attemptOnOldWeights(t *testing.T, announced time.Duration, left time.Duration) (*engineAttempt, net.Conn) {
	t.Helper()
	u := NewUnattached(t, nil, route.Compile(route.Config{}, 1))
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

// TestMayWaitOn: a wait that reached its limit goes on while the attempt may still begin, or if it
// has begun meanwhile; near the bound it is withdrawn.
func TestMayWaitOn(t *testing.T) {
	bound := clock.Duration(route.DefaultBounds().VersionApplyUS)
	for _, c := range []struct {
		name            string
		announced, left time.Duration
		err             error
		answered        bool
		want, withdrawn bool
	}{
		{"time enough", bound / 2, time.Hour, os.ErrDeadlineExceeded, false, true, false},
		{"near the bound", bound - clock.Duration(withdrawSlackUS/2), time.Hour, os.ErrDeadlineExceeded, false, false, true},
		{"it began before this process went on", 2 * bound, time.Hour, os.ErrDeadlineExceeded, true, true, false},
		{"its caller waits no longer", bound / 2, -time.Hour, os.ErrDeadlineExceeded, false, false, false},
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
			if got := a.mayWaitOn(c.err); got != c.want || a.withdrawn != c.withdrawn {
				t.Errorf("may wait on: %v, withdrawn %v", got, a.withdrawn)
			}
		})
	}
}

// TestNotWrittenPastTheLimit: a request whose connection took too long to come about is not sent
// to an engine whose weights have gone out of date meanwhile.
func TestNotWrittenPastTheLimit(t *testing.T) {
	bound := clock.Duration(route.DefaultBounds().VersionApplyUS)
	a, engine := attemptOnOldWeights(t, bound, time.Hour)
	if end, answer := a.exchange(); end != nothingSent || answer != nil {
		t.Errorf("the attempt ended with %+v", end)
	}
	_ = a.conn.Close()
	if sent, err := io.ReadAll(engine); len(sent) > 0 || err != nil {
		t.Errorf("the engine got %d bytes, %v", len(sent), err)
	}
}
