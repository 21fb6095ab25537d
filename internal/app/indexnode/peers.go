package indexnode

import (
	"context"

	"violetthread/index"
	"violetthread/internal/codec"
	"violetthread/internal/engineapi"
	"violetthread/membership"
	"violetthread/recording/replay"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	updatesTimeout  = 800_000 // for another index node's updates
	prefetchTimeout = 500_000 // for an engine to accept a prefetch
	prefetchWait    = 300_000 // how long the engine may wait for the block
)

// followPeers reads the update feeds of all index nodes.
func (n *indexNode) followPeers(context.Context) {
	var peers []index.Peer
	for _, node := range n.session.View().Nodes {
		if node.Role == membership.RoleIndexNode {
			peers = append(peers, index.Peer{Name: node.Name, Addr: node.Addr, Roles: node.LeasedRoles})
		}
	}
	for _, peer := range peers {
		n.spawn("follow."+peer.Name, func(ctx context.Context) { n.follow(ctx, peer) })
	}
}

// requestUpdates requests the updates of an index node, which may be this one. It returns
// false without a response.
func (n *indexNode) requestUpdates(ctx context.Context, peer index.Peer, request *fb.UpdatesRequestT) (*fb.UpdatesResponseT, bool) {
	request.From = n.settings.Name
	if peer.Name == n.settings.Name {
		return n.answerUpdates(request), true
	}
	frame, err := n.peers.Get(peer.Addr).Call(ctx, &fb.FrameT{UpdatesRequest: request}, updatesTimeout)
	if err != nil || frame.UpdatesResponse == nil {
		return nil, false
	}
	return frame.UpdatesResponse, true
}

// follow reads one index node's feeds for the shards and zones of this node.
func (n *indexNode) follow(ctx context.Context, peer index.Peer) {
	var shards []uint16
	var cursor index.Cursor
	var servedZones, prefetchZones []string
	n.withNode(func(now int64, node *replay.IndexNode) {
		shards, cursor = node.HeldShards(now), node.HoldingsCursor(peer.Name)
		servedZones, prefetchZones = node.ServedZones(), node.PrefetchZones(now)
	})
	if len(shards) > 0 {
		n.followHoldings(ctx, peer, shards, cursor)
	}
	for _, zone := range prefetchZones {
		n.spawn("prefetch."+peer.Name+zone, func(ctx context.Context) { n.prefetch(ctx, peer, zone) })
	}
	for _, zone := range servedZones {
		n.followZone(ctx, peer, zone)
	}
}

// followHoldings reads which blocks of this node's shards are cached by the engines that an
// index node owns.
func (n *indexNode) followHoldings(ctx context.Context, peer index.Peer, shards []uint16, cursor index.Cursor) {
	request := &fb.UpdatesRequestT{Feed: codec.HoldingsFeed, Shards: shards, Incarnation: cursor.Incarnation, Since: cursor.Next}
	if response, ok := n.requestUpdates(ctx, peer, request); ok {
		n.withNode(func(now int64, node *replay.IndexNode) { codec.ApplyHoldings(node.Node, now, peer.Name, response) })
	}
}

// followZone reads the updates of an index node's shards for a zone that this node serves.
func (n *indexNode) followZone(ctx context.Context, peer index.Peer, zone string) {
	var cursor index.Cursor
	n.withNode(func(_ int64, node *replay.IndexNode) { cursor = *node.ZoneCursor(zone, peer.Name) })
	request := &fb.UpdatesRequestT{Feed: codec.ZoneFeed, Zone: zone, Incarnation: cursor.Incarnation, Since: cursor.Next}
	if response, ok := n.requestUpdates(ctx, peer, request); ok {
		n.withNode(func(_ int64, node *replay.IndexNode) {
			node.ApplyZoneUpdates(zone, peer.Name, index.ShardsOf(peer), codec.UnpackBatch(response))
		})
	}
}

// prefetch reads which blocks a shard's owner suggests to prefetch in a zone, and sends the
// prefetches of the engines that this node owns. A failed prefetch is not retried.
func (n *indexNode) prefetch(ctx context.Context, peer index.Peer, zone string) {
	key := zone + "|" + peer.Name
	n.mu.Lock()
	cursor := n.prefetchCursors[key]
	n.mu.Unlock()
	request := &fb.UpdatesRequestT{Feed: codec.PrefetchFeed, Zone: zone, Incarnation: cursor.Incarnation, Since: cursor.Next}
	response, ok := n.requestUpdates(ctx, peer, request)
	if !ok {
		return
	}
	var prefetches []index.Prefetch
	n.withNode(func(now int64, node *replay.IndexNode) {
		n.prefetchCursors[key] = index.Cursor{Incarnation: response.Incarnation, Next: response.Next}
		prefetches = node.Prefetches(now, zone, codec.UnpackBatch(response), codec.UnpackLocations(response))
	})
	for _, prefetch := range prefetches {
		_ = n.http.Post(ctx, prefetch.Addr, "/v1/import", prefetchTimeout, engineapi.ImportRequest{
			Block:        engineapi.FormatKey(prefetch.Block),
			From:         prefetch.From,
			FencingToken: prefetch.FencingToken,
			WaitUS:       prefetchWait,
			Weights:      prefetch.Weights,
		}, nil)
	}
}
