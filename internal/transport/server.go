package transport

import (
	"context"
	"errors"
	"io"
	"net"

	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

// Handler answers a request; nil means that this process does not answer it. A message
// without response is handled too, and what it returns is dropped. The context ends with
// the connection.
type Handler func(ctx context.Context, request *fb.FrameT) *fb.FrameT

// maxConcurrent bounds the requests that are handled at once on one connection; further
// ones are not read.
const maxConcurrent = 256

// Serve answers frames on a listener until the group stops, and closes it then.
func Serve(group *taskgroup.Group, listener net.Listener, handle Handler) {
	group.Go("transport.close", func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close()
	})
	group.Go("transport.accept", func(context.Context) {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go("transport.serve", func(ctx context.Context) { serveConn(ctx, group, conn, handle) })
		}
	})
}

// serveConn answers what comes on one connection, and each request on that one alone.
func serveConn(ctx context.Context, group *taskgroup.Group, conn net.Conn, handle Handler) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go("transport.serve_close", func(context.Context) {
		<-ctx.Done()
		_ = conn.Close()
	})
	out := make(chan outgoing, writeQueue)
	group.Go("transport.serve_write", func(context.Context) { writeFrames(ctx, stop, conn, out) })
	reader := newReader(conn)
	slots := make(chan struct{}, maxConcurrent)
	for {
		frame, err := codec.ReadFrame(reader)
		if err != nil {
			if ctx.Err() == nil && !isClosed(err) {
				group.Log().Info("connection_closed", "peer", conn.RemoteAddr().String(), "cause", err.Error())
			}
			return
		}
		framesReceived.Add(1)
		if isUnanswered(frame) {
			handle(ctx, frame) // in order
			continue
		}
		if !taskgroup.Send(ctx, slots, struct{}{}) {
			return
		}
		group.Go("transport.answer", func(context.Context) {
			response := handle(ctx, frame)
			<-slots
			if response == nil {
				response = &fb.FrameT{Error: &fb.ErrorT{Kind: "unhandled", Text: "this process does not answer that"}}
			}
			taskgroup.Send(ctx, out, outgoing{encodeWithRef(response, frame.Ref), ctx})
		})
	}
}

// isUnanswered tells whether a message is one without response.
func isUnanswered(frame *fb.FrameT) bool {
	return frame.VoterMessage != nil || frame.SessionUpdate != nil || frame.LoadUpdate != nil
}

// isClosed tells whether the far end is simply not there any more.
func isClosed(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.As(err, &network)
}
