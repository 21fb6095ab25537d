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
	dialedBufferBytes   = 64 << 10 // for reading from a peer that this process chose
	acceptedBufferBytes = 16 << 10 // for reading from a connection that anyone may have opened
	writeQueueFrames    = 1024     // of one connection to a peer
	responseQueueFrames = 64       // of one accepted connection
	writeTimeout        = 5 * time.Second
)

// queuedFrame is a frame in a write queue. It is dropped if its context ends before it is
// written, so that a request whose caller gave up is not sent late.
type queuedFrame struct {
	frame   []byte
	ctx     context.Context
	written func() // called once the frame has been written or dropped; may be nil
}

// writeFrames writes queued frames until ctx ends or a write fails, and then calls stop.
func writeFrames(ctx context.Context, stop func(), conn net.Conn, queue <-chan queuedFrame) {
	defer stop()
	for {
		next, ok := taskgroup.Receive(ctx, queue)
		if !ok {
			return
		}
		err := writeFrame(conn, next)
		if next.written != nil {
			next.written()
		}
		if err != nil {
			return
		}
	}
}

// writeFrame writes one frame, unless its context has ended.
func writeFrame(conn net.Conn, next queuedFrame) error {
	if next.ctx.Err() != nil {
		return nil
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := conn.Write(next.frame)
	bytesSent.Add(int64(n))
	if err == nil {
		framesSent.Add(1)
	}
	return err
}

// newReader returns a buffered reader of a connection that counts the bytes received.
func newReader(conn net.Conn, bufferBytes int) *bufio.Reader {
	return bufio.NewReaderSize(countingConn{conn}, bufferBytes)
}

// encodeWithRef encodes a copy of a frame with a reference number. The frame itself may be
// shared with other goroutines and is not modified.
func encodeWithRef(frame *fb.FrameT, ref uint64) []byte {
	referenced := *frame
	referenced.Ref = ref
	return codec.Encode(&referenced)
}
