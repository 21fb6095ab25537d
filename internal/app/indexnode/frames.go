package indexnode

import (
	"context"

	"github.com/samber/lo"

	"violetthread/internal/codec"
	"violetthread/membership"
	"violetthread/recording/replay"
	"violetthread/schema/fb"
)

// relayTimeout is how long to wait for the response to a relayed capacity request, in
// microseconds.
const relayTimeout = 500_000

// handleFrame handles the requests of agents and other index nodes.
func (n *indexNode) handleFrame(ctx context.Context, frame *fb.FrameT) *fb.FrameT {
	switch {
	case frame.CapacityRequest != nil && frame.CapacityRequest.To != "" && frame.CapacityRequest.To != n.settings.Name:
		return n.relay(ctx, frame.CapacityRequest)
	case frame.CapacityRequest != nil:
		return &fb.FrameT{CapacityResponse: n.issueGrants(frame.CapacityRequest)}
	case frame.UpdatesRequest != nil:
		return &fb.FrameT{UpdatesResponse: n.answerUpdates(frame.UpdatesRequest)}
	}
	return nil
}

// relay forwards an agent's capacity request to the index node in its field To, which the
// agent can't reach directly.
func (n *indexNode) relay(ctx context.Context, request *fb.CapacityRequestT) *fb.FrameT {
	peer, ok := lo.Find(n.session.View().Nodes, func(node *fb.NodeT) bool {
		return node.Name == request.To && node.Role == membership.RoleIndexNode
	})
	if !ok || peer.Addr == n.settings.TransportAddr {
		return nil
	}
	frame, err := n.peers.Get(peer.Addr).Call(ctx, &fb.FrameT{CapacityRequest: request}, relayTimeout)
	if err != nil || frame.CapacityResponse == nil {
		return nil
	}
	return &fb.FrameT{CapacityResponse: frame.CapacityResponse}
}

// issueGrants answers a capacity request with grants of the engines that this node owns.
func (n *indexNode) issueGrants(request *fb.CapacityRequestT) (response *fb.CapacityResponseT) {
	n.withNode(func(now int64, node *replay.IndexNode) {
		response = codec.AnswerCapacity(node, now, n.settings.Name, request)
	})
	return response
}

// answerUpdates answers a request of an index node that follows one of this node's feeds.
func (n *indexNode) answerUpdates(request *fb.UpdatesRequestT) (response *fb.UpdatesResponseT) {
	n.withNode(func(_ int64, node *replay.IndexNode) { response = codec.AnswerUpdates(node.Node, request) })
	return response
}
