// Package link carries frames between the project's own processes over TCP. A question is
// sent once and never again: what became of one without an answer is for its sender to find
// out. An answer reaches the question whose number it bears, on the connection that the
// question went out on, and no other.
package transport

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
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

// Traffic counts what this process sent and took in over all of its connections.
type Traffic struct{ FramesReceived, FramesSent, BytesReceived, BytesSent int64 }

var framesIn, framesOut, bytesIn, bytesOut atomic.Int64

// Total is the traffic since the process began.
func TotalTraffic() Traffic {
	return Traffic{framesIn.Load(), framesOut.Load(), bytesIn.Load(), bytesOut.Load()}
}

// counted counts the bytes that are read from a connection.
type counted struct{ net.Conn }

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	bytesIn.Add(int64(n))
	return n, err
}

const (
	readBufferBytes = 64 << 10
	outQueue        = 1024 // frames waiting to be written on one connection
	writeTimeout    = 5 * time.Second
)

// outgoing is a frame that waits to be written. It is dropped if wanted has ended by then:
// a question that was given up is not put late.
type outgoing struct {
	frame  []byte
	wanted context.Context
}

// writeAll writes frames until ctx ends or the connection fails, and then calls stop.
func writeAll(ctx context.Context, stop func(), conn net.Conn, out <-chan outgoing) {
	defer stop()
	for {
		next, ok := taskgroup.Receive(ctx, out)
		if !ok {
			return
		}
		if next.wanted.Err() != nil {
			continue
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := conn.Write(next.frame)
		bytesOut.Add(int64(n))
		if err != nil {
			return
		}
		framesOut.Add(1)
	}
}

// withRef is a frame under a question's number. The frame itself may be in use elsewhere.
func withRef(f *fb.FrameT, ref uint64) []byte {
	numbered := *f
	numbered.Ref = ref
	return codec.Encode(&numbered)
}
