package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"

	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

// answersAtOnce bounds the frames being answered at once on one connection.
const answersAtOnce = 256

// Serve answers frames on l until the group stops.
func Serve(g *taskgroup.Group, l net.Listener, h Handler) {
	g.Go("link.close", func(ctx context.Context) {
		<-ctx.Done()
		_ = l.Close()
	})
	g.Go("link.accept", func(context.Context) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			g.Go("link.wire", func(ctx context.Context) { serveConn(ctx, g, conn, h) })
		}
	})
}

// serveConn answers what comes on one connection, and each question on that one alone.
func serveConn(ctx context.Context, g *taskgroup.Group, conn net.Conn, h Handler) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g.Go("link.shut", func(context.Context) {
		<-ctx.Done()
		_ = conn.Close()
	})
	out := make(chan outgoing, outQueue)
	g.Go("link.write", func(context.Context) { writeAll(ctx, stop, conn, out) })
	r := bufio.NewReaderSize(counted{conn}, readBufferBytes)
	room := make(chan struct{}, answersAtOnce)
	for {
		f, err := codec.ReadFrame(r)
		if err != nil {
			if ctx.Err() == nil && !isGone(err) {
				g.Log().Info("wire_closed", "peer", conn.RemoteAddr().String(), "cause", err.Error())
			}
			return
		}
		framesIn.Add(1)
		if unanswered(f) {
			h(ctx, f) // in order
			continue
		}
		if !taskgroup.Send(ctx, room, struct{}{}) {
			return
		}
		g.Go("link.answer", func(context.Context) {
			answer := h(ctx, f)
			<-room
			if answer == nil {
				answer = &fb.FrameT{Error: &fb.ErrorT{Kind: "unhandled", Text: "this process does not answer that"}}
			}
			taskgroup.Send(ctx, out, outgoing{withRef(answer, f.Ref), ctx})
		})
	}
}

// unanswered reports whether a frame is of the kinds that nobody answers.
func unanswered(f *fb.FrameT) bool {
	return f.VoterMessage != nil || f.SessionUpdate != nil || f.LoadUpdate != nil
}

// isGone reports whether the far end is simply not there any more.
func isGone(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.As(err, &network)
}
