package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"

	"violetthread/internal/codec"
	"violetthread/internal/limits"
	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

// Handler handles a request and returns its response; nil means that this process does not
// handle requests of that type. One-way messages are passed to it as well, and its return
// value is then ignored. The context ends with the connection.
type Handler func(ctx context.Context, request *fb.FrameT) *fb.FrameT

// PortName names the listening port for frames in logs and metrics.
const PortName = "transport"

// acceptRetryUS is the pause after a failed accept, in microseconds: a process may be out of descriptors
// for a moment.
const acceptRetryUS = 20_000

// maxConcurrentRequests bounds the requests that are handled at once on one connection; at
// the limit the connection is not read further until one completes.
const maxConcurrentRequests = 256

// Serve handles the frames of all connections to a listener, and closes the listener when
// the group stops.
func Serve(group *taskgroup.Group, listener net.Listener, handle Handler) {
	group.Go("transport.close", func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close()
	})
	group.Go("transport.accept", func(ctx context.Context) {
		for {
			conn, err := listener.Accept()
			switch {
			case err == nil:
				group.Go("transport.serve", func(ctx context.Context) { serveConn(ctx, group, conn, handle) })
			case errors.Is(err, net.ErrClosed) || !taskgroup.Sleep(ctx, acceptRetryUS):
				return
			}
		}
	})
}

// serveConn handles the frames of one connection and writes the responses to it.
func serveConn(ctx context.Context, group *taskgroup.Group, conn net.Conn, handle Handler) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go("transport.serve_close", func(context.Context) {
		<-ctx.Done()
		_ = conn.Close()
	})
	writeQueue := make(chan queuedFrame, responseQueueFrames)
	group.Go("transport.serve_write", func(context.Context) { writeFrames(ctx, stop, conn, writeQueue) })
	limited, _ := conn.(*limits.Conn)
	limited.HeadReceived()
	reader := newReader(conn, acceptedBufferBytes)
	slots := make(chan struct{}, maxConcurrentRequests)
	for {
		frame, held, err := readFrame(reader, limited)
		if err != nil {
			if ctx.Err() == nil && !isDisconnect(err) {
				group.Log().Info("connection_closed", "peer", conn.RemoteAddr().String(), "cause", err.Error())
			}
			return
		}
		framesReceived.Add(1)
		if isOneWay(frame) {
			handle(ctx, frame) // in order of arrival
			limited.Release(held)
			continue
		}
		if !taskgroup.Send(ctx, slots, struct{}{}) {
			return
		}
		group.Go("transport.answer", func(context.Context) {
			defer func() { <-slots }()
			response := handle(ctx, frame)
			limited.Release(held)
			if response == nil {
				response = &fb.FrameT{Error: &fb.ErrorT{Kind: "unhandled", Text: "this process does not handle requests of this type"}}
			}
			sendResponse(ctx, limited, writeQueue, encodeWithRef(response, frame.Ref))
		})
	}
}

// frameCopies is how often the content of a frame is held while it is handled: as it was received, and
// decoded.
const frameCopies = 2

// readFrame reads one frame. held is what was reserved for it and has to be released once it is handled.
func readFrame(reader *bufio.Reader, conn *limits.Conn) (frame *fb.FrameT, held int64, err error) {
	conn.Receiving()
	frame, err = codec.ReadFrameReserving(reader, func(n int) error {
		if !conn.ReserveOrWait(frameCopies * int64(n)) {
			return limits.ErrOverloaded
		}
		held += frameCopies * int64(n)
		conn.Expand()
		return nil
	})
	conn.Shrink()
	if err == nil {
		conn.Prove()
	}
	return frame, held, err
}

// sendResponse queues an encoded response. It holds nothing else while it waits for memory.
func sendResponse(ctx context.Context, conn *limits.Conn, queue chan<- queuedFrame, response []byte) {
	size := int64(len(response))
	if size <= limits.Allowance {
		taskgroup.Send(ctx, queue, queuedFrame{frame: response, ctx: ctx})
		return
	}
	if !conn.ReserveOrWait(size) {
		return
	}
	release := func() { conn.Release(size) }
	if !taskgroup.Send(ctx, queue, queuedFrame{response, ctx, release}) {
		release()
	}
}

// isOneWay reports whether a message has no response.
func isOneWay(frame *fb.FrameT) bool {
	return frame.VoterMessage != nil || frame.SessionUpdate != nil || frame.LoadUpdate != nil
}

// isDisconnect reports whether an error only means that the peer has disconnected.
func isDisconnect(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.As(err, &network)
}
