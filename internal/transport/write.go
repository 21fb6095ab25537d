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
	readBufferBytes = 64 << 10
	writeQueue      = 1024 // frames that wait to be written on one connection
	writeTimeout    = 5 * time.Second
)

// outgoing is a frame that waits to be written. It is dropped if its context has ended by
// then: a request that was given up is not sent late.
type outgoing struct {
	frame []byte
	ctx   context.Context
}

// writeFrames writes frames until ctx ends or the connection fails, and then calls stop.
func writeFrames(ctx context.Context, stop func(), conn net.Conn, queue <-chan outgoing) {
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

// newReader reads from a connection and counts what comes.
func newReader(conn net.Conn) *bufio.Reader {
	return bufio.NewReaderSize(countedConn{conn}, readBufferBytes)
}

// encodeWithRef packs a frame under a reference number. The frame itself may be in use
// elsewhere and is not changed.
func encodeWithRef(frame *fb.FrameT, ref uint64) []byte {
	numbered := *frame
	numbered.Ref = ref
	return codec.Encode(&numbered)
}
