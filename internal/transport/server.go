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

// Handler handles a request and returns its response; nil means that this process does not
// handle requests of that type. One-way messages are passed to it as well, and its return
// value is then ignored. The context ends with the connection.
type Handler func(ctx context.Context, request *fb.FrameT) *fb.FrameT

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

// serveConn handles the frames of one connection and writes the responses to it.
func serveConn(ctx context.Context, group *taskgroup.Group, conn net.Conn, handle Handler) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	group.Go("transport.serve_close", func(context.Context) {
		<-ctx.Done()
		_ = conn.Close()
	})
	writeQueue := make(chan queuedFrame, writeQueueFrames)
	group.Go("transport.serve_write", func(context.Context) { writeFrames(ctx, stop, conn, writeQueue) })
	reader := newReader(conn)
	slots := make(chan struct{}, maxConcurrentRequests)
	for {
		frame, err := codec.ReadFrame(reader)
		if err != nil {
			if ctx.Err() == nil && !isDisconnect(err) {
				group.Log().Info("connection_closed", "peer", conn.RemoteAddr().String(), "cause", err.Error())
			}
			return
		}
		framesReceived.Add(1)
		if isOneWay(frame) {
			handle(ctx, frame) // in order of arrival
			continue
		}
		if !taskgroup.Send(ctx, slots, struct{}{}) {
			return
		}
		group.Go("transport.answer", func(context.Context) {
			response := handle(ctx, frame)
			<-slots
			if response == nil {
				response = &fb.FrameT{Error: &fb.ErrorT{Kind: "unhandled", Text: "this process does not handle requests of this type"}}
			}
			taskgroup.Send(ctx, writeQueue, queuedFrame{encodeWithRef(response, frame.Ref), ctx})
		})
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
