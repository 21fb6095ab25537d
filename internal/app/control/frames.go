package control

import (
	"context"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/schema/fb"
)

// frameTimeout limits an operation requested by another process, in microseconds.
const frameTimeout = 5_000_000

// AddHandler adds a handler that is called before the node's own. A handler returns nil for a
// frame that it does not handle.
func (n *Node) AddHandler(handler func(ctx context.Context, frame *fb.FrameT) *fb.FrameT) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var handlers []transport.Handler
	if current := n.handlers.Load(); current != nil {
		handlers = append(handlers, *current...)
	}
	handlers = append(handlers, handler)
	n.handlers.Store(&handlers)
}

// handleFrame handles a frame from another process and returns the response, or nil for none.
func (n *Node) handleFrame(ctx context.Context, frame *fb.FrameT) *fb.FrameT {
	if handlers := n.handlers.Load(); handlers != nil {
		for _, handler := range *handlers {
			if response := handler(ctx, frame); response != nil {
				return response
			}
		}
	}
	now := clock.Now()
	switch {
	case frame.VoterMessage != nil:
		n.handleMessage(ctx, frame.VoterMessage)
		return nil
	case frame.SessionUpdate != nil:
		n.sessions.Merge(now, frame.SessionUpdate)
		return nil
	case frame.JoinRequest != nil:
		return &fb.FrameT{JoinResponse: n.joinResponse(frame.JoinRequest)}
	case frame.HeartbeatRequest != nil && frame.HeartbeatRequest.Node != nil:
		n.sessions.Heartbeat(now, frame.HeartbeatRequest.Node)
		return &fb.FrameT{HeartbeatResponse: n.heartbeatResponse(now, frame.HeartbeatRequest.HaveRevision)}
	case frame.OperationRequest != nil:
		ctx, cancel := context.WithTimeout(ctx, clock.Duration(frameTimeout))
		defer cancel()
		return &fb.FrameT{OperationResponse: n.ExecuteOnce(ctx, frame.OperationRequest)}
	}
	return nil
}

// handleMessage passes another voter's message to the voter.
func (n *Node) handleMessage(ctx context.Context, packed *fb.VoterMessageT) {
	if !n.voting.Load() {
		return
	}
	message := codec.UnpackMessage(packed)
	taskgroup.Send(ctx, n.commands, func(now int64) { n.processReady(n.voter.Receive(now, message)) })
}

// heartbeatResponse returns the response to a node's heartbeat: the live nodes, the addresses of
// the voters, and the plan if its revision differs from the node's.
func (n *Node) heartbeatResponse(now int64, haveRevision uint64) *fb.HeartbeatResponseT {
	cached := n.plan.Load()
	response := &fb.HeartbeatResponseT{
		Revision:   cached.Revision,
		Age:        cached.Age(now),
		Confirmed:  cached.Known,
		Nodes:      n.sessions.Live(now),
		Generation: n.generation.Load(),
	}
	if cached.Revision != haveRevision {
		response.Plan = cached.Raw
	}
	if set := n.voterSet.Load(); set != nil {
		response.ControlNodes = voterAddrs(set)
	}
	return response
}
