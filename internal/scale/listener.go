package scale

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
)

// readHeaderTimeoutUS bounds how long a request may take to begin.
const readHeaderTimeoutUS = 5_000_000

// countingListener counts what a listener's connections send.
type countingListener struct {
	net.Listener
	sent *atomic.Int64
}

type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

// Accept waits for a connection and counts the bytes written to it.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.sent}, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// serve serves HTTP until the group ends.
func serve(group *taskgroup.Group, name string, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: clock.Duration(readHeaderTimeoutUS)}
	group.Go(name, func(context.Context) { _ = server.Serve(listener) })
	group.Go(name+".close", func(ctx context.Context) {
		<-ctx.Done()
		_ = server.Close()
	})
}
