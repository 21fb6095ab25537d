package transport

import (
	"bufio"
	"context"
	"net"
	"time"

	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

const (
	readBufferBytes  = 64 << 10
	writeQueueFrames = 1024 // of one connection
	writeTimeout     = 5 * time.Second
)

// queuedFrame is a frame in a write queue. It is dropped if its context ends before it is
// written, so that a request whose caller gave up is not sent late.
type queuedFrame struct {
	frame []byte
	ctx   context.Context
}

// writeFrames writes queued frames until ctx ends or a write fails, and then calls stop.
func writeFrames(ctx context.Context, stop func(), conn net.Conn, queue <-chan queuedFrame) {
	defer stop()
	for {
		next, ok := taskgroup.Receive(ctx, queue)
		if !ok {
			return
		}
		if next.ctx.Err() != nil {
			continue
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := conn.Write(next.frame)
		bytesSent.Add(int64(n))
		if err != nil {
			return
		}
		framesSent.Add(1)
	}
}

// newReader returns a buffered reader of a connection that counts the bytes received.
func newReader(conn net.Conn) *bufio.Reader {
	return bufio.NewReaderSize(countingConn{conn}, readBufferBytes)
}

// encodeWithRef encodes a copy of a frame with a reference number. The frame itself may be
// shared with other goroutines and is not modified.
func encodeWithRef(frame *fb.FrameT, ref uint64) []byte {
	referenced := *frame
	referenced.Ref = ref
	return codec.Encode(&referenced)
}
