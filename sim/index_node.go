package sim

import (
	"fmt"
	"slices"

	"violetthread/cacheindex"
	"violetthread/index"
	"violetthread/internal/codec"
	"violetthread/membership"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// IndexNode is an index node: the real decision logic, connected to the simulated world.
type IndexNode struct {
	*Host
	fleet       *Fleet
	session     session
	node        *index.Node
	incarnation uint64
	leaving     bool // it is shutting down gracefully: it releases its roles and then ends
}

func (n *IndexNode) start() {
	n.session, n.leaving = session{}, false
	n.incarnation = uint64(n.fleet.World.Rng.Int63()) >> 24
	n.node = index.New(n.Name, n.Zone, n.incarnation)
	n.fleet.keepSession(n.Host, &n.session, n.status, nil)
	n.Every(200_000, n.refreshListing)
	n.Every(100_000, n.renewLeases)
	n.Every(150_000, n.pollEngines)
	n.Every(200_000, n.followPeers)
}

func (n *IndexNode) status() *fb.NodeT {
	status := &fb.NodeT{Name: n.Name, Role: membership.RoleIndexNode, Zone: n.Zone, Addr: n.Name, Incarnation: n.incarnation, Ready: !n.leaving}
	return codec.AddIndexNodeStatus(n.node, n.Clock(), status)
}

// refreshListing asks the platform for its engines. If the platform's machine refuses
// connections, the last listing remains valid.
func (n *IndexNode) refreshListing() {
	askedAt := n.Clock()
	platform := n.fleet.Platform
	serve := func(_ int, reply func([]index.ListedEngine)) { reply(slices.Clone(n.fleet.listing)) }
	Call(n.Host, platform, 0, 600_000, serve,
		func(engines []index.ListedEngine) { n.node.SetListing(askedAt, engines) },
		func() {
			if !platform.up {
				n.node.ConfirmListing(askedAt)
			}
		})
}

// renewLeases applies the plan and the list of peers, and requests the leases that the node
// should hold. A node that is leaving ends once it holds none.
func (n *IndexNode) renewLeases() {
	now := n.Clock()
	if n.session.plan.Plan != nil {
		n.node.ApplyPlan(n.session.plan.Plan, n.session.plan.ConfirmedAt)
	}
	peers, isReady := codec.ReadyIndexNodes(n.session.nodes, n.Name)
	if !isReady && !n.leaving {
		return
	}
	n.node.SetPeers(peers)
	if n.leaving {
		n.node.SetPeers(nil)
		if n.node.HoldsNoLeases() {
			n.Kill()
			return
		}
	}
	ops := n.node.LeaseOps(now)
	n.fleet.World.sortLeaseOps(ops)
	for _, op := range ops {
		n.proposeLease(op, now)
	}
}

func (n *IndexNode) proposeLease(op index.LeaseOp, askedAt int64) {
	proposed := quorum.Operation{
		Type:             quorum.OpAcquire,
		Key:              op.Key,
		ExpectedRevision: op.Token,
		Holder:           fmt.Sprintf("%s#%x", n.Name, n.incarnation),
		LeaseDurationUS:  index.LeaseDuration,
	}
	if op.Release {
		proposed.Type = quorum.OpRelease
	}
	first := n.fleet.World.Rng.Intn(4)
	n.fleet.propose(n.Host, &n.session, first, proposed, 1_000_000, func(result quorum.Result, ok bool) {
		n.node.LeaseAnswered(n.Clock(), op, askedAt, ok && result.Status == quorum.StatusDone, result.Revision)
	})
}

// issueGrants answers an agent, or forwards its query to the index node that it is addressed
// to.
func (n *IndexNode) issueGrants(request *fb.CapacityRequestT, reply func(*fb.CapacityResponseT)) {
	if request.To == "" || request.To == n.Name {
		response := codec.AnswerCapacity(n.node, n.Clock(), n.Name, request)
		n.fleet.World.sortUpdates(response.Updates, response.UpdatesReset)
		reply(response)
		return
	}
	if other := n.fleet.indexNodeNamed(request.To); other != nil {
		Call(n.Host, other.Host, request, relayTimeoutUS, other.issueGrants, reply, func() {})
	}
}

// relayTimeoutUS is how long an index node waits for the answer to a forwarded query.
const relayTimeoutUS = 500_000

// pollEngines polls the engines assigned to the node and sends weight updates to those that
// need them.
func (n *IndexNode) pollEngines() {
	now := n.Clock()
	for _, poll := range n.node.Polls(now) {
		n.pollEngine(poll)
	}
	for _, update := range n.node.WeightUpdates(now) {
		if engine := n.fleet.engineNamed(update.Engine); engine != nil {
			n.fleet.World.observe("turn", n.Name, engine.Name, update)
			n.Send(engine.Host, func() { engine.updateWeights(update.Weights, update.FencingToken) })
		}
	}
}

// engineHoldings are all blocks that an engine holds, as of a sequence number of its events.
type engineHoldings struct {
	incarnation, sequence uint64
	blocks                []cacheindex.Key
}

func (n *IndexNode) pollEngine(poll index.Poll) {
	engine := n.fleet.engineNamed(poll.Engine)
	if engine == nil {
		return
	}
	if !poll.NeedsHoldings {
		n.requestReport(engine, poll.Incarnation, poll.AfterSeq)
		return
	}
	serve := func(_ int, reply func(engineHoldings)) {
		reply(engineHoldings{engine.incarnation, engine.lastSequence, engine.heldBlocks()})
	}
	Call(n.Host, engine.Host, 0, 800_000, serve, func(holdings engineHoldings) {
		n.node.ResetHoldings(n.Clock(), poll.Engine, holdings.incarnation, holdings.sequence, holdings.blocks)
		n.requestReport(engine, holdings.incarnation, holdings.sequence)
	}, func() {})
}

// requestReport asks an engine for its events after a sequence number.
func (n *IndexNode) requestReport(engine *Engine, incarnation, after uint64) {
	askedAt := n.Clock()
	serve := func(_ int, reply func(index.Report)) { reply(engine.report(incarnation, after)) }
	Call(n.Host, engine.Host, 0, 800_000, serve, func(report index.Report) {
		n.node.ApplyReport(n.Clock(), askedAt, engine.Name, report)
	}, func() {})
}

// followPeers asks the other index nodes for the holdings of engines in the shards held here,
// and for the updates of the zones served here.
func (n *IndexNode) followPeers() {
	peers, _ := codec.ReadyIndexNodes(n.session.nodes, n.Name)
	for _, peer := range peers {
		other := n.fleet.indexNodeNamed(peer.Name)
		if other == nil || n.fleet.World.Rng.Intn(1000) < n.fleet.EventLossPermille {
			continue
		}
		n.followHoldings(other)
		for _, zone := range n.node.ServedZones() {
			n.followZone(other, peer, zone)
		}
	}
}

func (n *IndexNode) followHoldings(other *IndexNode) {
	shards := n.node.HeldShards(n.Clock())
	if len(shards) == 0 {
		return
	}
	cursor := n.node.HoldingsCursor(other.Name)
	request := &fb.UpdatesRequestT{Feed: codec.HoldingsFeed, Shards: shards, Incarnation: cursor.Incarnation, Since: cursor.Next}
	n.requestUpdates(other, request, func(response *fb.UpdatesResponseT) {
		if n.node.HoldingsCursor(other.Name) == cursor {
			codec.ApplyHoldings(n.node, n.Clock(), other.Name, response)
		}
	})
}

func (n *IndexNode) followZone(other *IndexNode, peer index.Peer, zone string) {
	cursor := *n.node.ZoneCursor(zone, other.Name)
	request := &fb.UpdatesRequestT{Feed: codec.ZoneFeed, Zone: zone, Incarnation: cursor.Incarnation, Since: cursor.Next}
	n.requestUpdates(other, request, func(response *fb.UpdatesResponseT) {
		if *n.node.ZoneCursor(zone, other.Name) == cursor {
			n.node.ApplyZoneUpdates(zone, other.Name, index.ShardsOf(peer), codec.UnpackBatch(response))
		}
	})
}

func (n *IndexNode) requestUpdates(other *IndexNode, request *fb.UpdatesRequestT, apply func(*fb.UpdatesResponseT)) {
	request.From = n.Name
	serve := func(request *fb.UpdatesRequestT, reply func(*fb.UpdatesResponseT)) {
		reply(other.answerUpdates(request))
	}
	Call(n.Host, other.Host, request, 800_000, serve, apply, func() {})
}

// answerUpdates answers a request for updates from another index node.
func (n *IndexNode) answerUpdates(request *fb.UpdatesRequestT) *fb.UpdatesResponseT {
	response := codec.AnswerUpdates(n.node, request)
	n.fleet.World.sortUpdates(response.Updates, response.Reset)
	n.fleet.World.sortLocations(response.Locations)
	return response
}
