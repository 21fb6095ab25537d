package control

import (
	"context"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/schema/fb"
)

// frameTimeout bounds an operation that another process asked for, in microseconds.
const frameTimeout = 5_000_000

// AddHandler adds a handler that is asked before the node's own; nil from it means that
// the frame is not for it.
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

// handleFrame answers frames from other processes.
func (n *Node) handleFrame(ctx context.Context, frame *fb.FrameT) *fb.FrameT {
	if handlers := n.handlers.Load(); handlers != nil {
		for _, handler := range *handlers {
			if answer := handler(ctx, frame); answer != nil {
				return answer
			}
		}
	}
	now := clock.Now()
	switch {
	case frame.Settle != nil:
		n.handleMessage(ctx, frame.Settle)
		return nil
	case frame.RollTell != nil:
		n.sessions.Merge(now, frame.RollTell)
		return nil
	case frame.FoundAsk != nil:
		return &fb.FrameT{FoundTell: n.voterSetReply(frame.FoundAsk)}
	case frame.BeatAsk != nil && frame.BeatAsk.Node != nil:
		n.sessions.Heartbeat(now, frame.BeatAsk.Node)
		return &fb.FrameT{BeatTell: n.heartbeatReply(now, frame.BeatAsk.Have)}
	case frame.OpAsk != nil:
		ctx, cancel := context.WithTimeout(ctx, clock.Duration(frameTimeout))
		defer cancel()
		return &fb.FrameT{OpTell: n.execute(ctx, frame.OpAsk)}
	}
	return nil
}

// handleMessage hands another voter's message to the voter.
func (n *Node) handleMessage(ctx context.Context, packed *fb.SettleT) {
	if !n.voting.Load() {
		return
	}
	message := codec.UnpackMessage(packed)
	taskgroup.Send(ctx, n.commands, func(now int64) { n.processReady(n.voter.Receive(now, message)) })
}

// heartbeatReply is what a node learns from its heartbeat: the live nodes, the voters, and
// the plan if it is not the one it has.
func (n *Node) heartbeatReply(now int64, haveRevision uint64) *fb.BeatTellT {
	cached := n.plan.Load()
	reply := &fb.BeatTellT{Rev: cached.Revision, Age: cached.Age(now), Fresh: cached.Known, Nodes: n.sessions.Live(now), Era: n.generation.Load()}
	if cached.Revision != haveRevision {
		reply.Plan = cached.Raw
	}
	if set := n.voterSet.Load(); set != nil {
		reply.Registrars = voterAddrs(set)
	}
	return reply
}
