package sim

import (
	"fmt"
	"slices"

	"violetthread/cacheindex"
	"violetthread/index"
	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Custodian is an index node.
type IndexNode struct {
	*Host
	fleet   *Fleet
	session session
	node    *index.Node
	// leaving: it was stopped politely, gives its duties back and then ends.
	leaving bool
}

func (n *IndexNode) start() {
	fleet, world := n.fleet, n.fleet.World
	n.session, n.leaving = session{}, false
	inc := uint64(world.Rng.Int63()) >> 24
	n.node = index.New(n.Name, n.Zone, inc)
	holder := fmt.Sprintf("%s#%x", n.Name, inc)
	node := n.node
	fleet.keepSession(n.Host, &n.session, func() *fb.NodeT {
		status := &fb.NodeT{Name: n.Name, Role: "custodian", Zone: n.Zone, Addr: n.Name, Incarnation: inc, Ready: !n.leaving}
		return codec.AddIndexNodeStatus(node, n.Clock(), status)
	}, nil)
	n.Every(200_000, func() {
		at := n.Clock()
		Call(n.Host, fleet.Platform, 0, 600_000, func(_ int, reply func([]index.ListedEngine)) { reply(slices.Clone(fleet.listing)) },
			func(l []index.ListedEngine) { node.SetListing(at, l) }, func() {
				if !fleet.Platform.up { // its machine refuses connections
					node.ConfirmListing(at)
				}
			})
	})
	n.Every(100_000, func() {
		now := n.Clock()
		if n.session.plan.Plan != nil {
			node.ApplyPlan(n.session.plan.Plan, n.session.plan.ConfirmedAt)
		}
		peers, me := codec.ReadyIndexNodes(n.session.nodes, n.Name)
		if !me && !n.leaving {
			return
		}
		if node.SetPeers(peers); n.leaving {
			if node.SetPeers(nil); node.HoldsNoLeases() {
				n.Kill()
				return
			}
		}
		asks := node.LeaseOps(now)
		world.orderLeaseOps(asks)
		for _, leaseOp := range asks {
			op := quorum.Operation{Type: quorum.OpAcquire, Key: leaseOp.Key, ExpectedRevision: leaseOp.Token, Holder: holder, LeaseDuration: index.LeaseDuration}
			if leaseOp.Release {
				op.Type = quorum.OpRelease
			}
			fleet.propose(n.Host, &n.session, world.Rng.Intn(4), op, 1_000_000, func(ans quorum.Result, ok bool) {
				node.LeaseAnswered(n.Clock(), leaseOp, now, ok && ans.Status == quorum.StatusDone, ans.Revision)
			})
		}
	})
	n.Every(150_000, func() {
		now := n.Clock()
		for _, p := range node.Polls(now) {
			n.pollEngine(node, p)
		}
		for _, t := range node.WeightUpdates(now) {
			if engine := fleet.engineNamed(t.Engine); engine != nil {
				world.observe("turn", n.Name, engine.Name, t)
				n.Send(engine.Host, func() { engine.updateWeights(t.Weights, t.FencingToken) })
			}
		}
	})
	n.Every(200_000, func() { n.followPeers(node) })
}

// room answers an agent, or passes its question on to the index node that it is for.
func (n *IndexNode) issueGrants(request *fb.CapacityRequestT, reply func(*fb.CapacityResponseT)) {
	if request.To == "" || request.To == n.Name {
		response := codec.AnswerCapacity(n.node, n.Clock(), n.Name, request)
		n.fleet.World.orderUpdates(response.Updates, response.UpdatesReset)
		reply(response)
		return
	}
	if other := n.fleet.indexNodeNamed(request.To); other != nil {
		Call(n.Host, other.Host, request, relayTimeout, other.issueGrants, reply, func() {})
	}
}

// relayPatience is how long an index node waits for an answer that it passes on.
const relayTimeout = 500_000

// engineParts are all parts that an engine keeps, as of a number of its reports.
type engineHoldings struct {
	incarnation, sequence uint64
	blocks                []cacheindex.Key
}

func (n *IndexNode) pollEngine(indexNode *index.Node, p index.Poll) {
	engine := n.fleet.engineNamed(p.Engine)
	if engine == nil {
		return
	}
	ask := func(inc, after uint64) {
		at := n.Clock()
		Call(n.Host, engine.Host, 0, 800_000, func(_ int, rep func(index.Report)) { rep(engine.report(inc, after)) },
			func(report index.Report) { indexNode.ApplyReport(n.Clock(), at, p.Engine, report) }, func() {})
	}
	if !p.NeedsHoldings {
		ask(p.Incarnation, p.AfterSeq)
		return
	}
	Call(n.Host, engine.Host, 0, 800_000, func(_ int, rep func(engineHoldings)) {
		rep(engineHoldings{engine.incarnation, engine.lastSequence, engine.heldBlocks()})
	},
		func(x engineHoldings) {
			indexNode.ResetHoldings(n.Clock(), p.Engine, x.incarnation, x.sequence, x.blocks)
			ask(x.incarnation, x.sequence)
		}, func() {})
}

func (n *IndexNode) followPeers(indexNode *index.Node) {
	peers, _ := codec.ReadyIndexNodes(n.session.nodes, n.Name)
	for _, p := range peers {
		other := n.fleet.indexNodeNamed(p.Name)
		if other == nil || n.fleet.World.Rng.Intn(1000) < n.fleet.EventLossPermille {
			continue
		}
		ask := func(q *fb.UpdatesRequestT, got func(*fb.UpdatesResponseT)) {
			q.From = n.Name
			Call(n.Host, other.Host, q, 800_000, func(q *fb.UpdatesRequestT, reply func(*fb.UpdatesResponseT)) { reply(other.answerUpdates(q)) }, got, func() {})
		}
		if mine := indexNode.HeldShards(n.Clock()); len(mine) > 0 {
			cur := indexNode.HoldingsCursor(p.Name)
			ask(&fb.UpdatesRequestT{Feed: codec.HoldingsFeed, Shards: mine, Incarnation: cur.Incarnation, Since: cur.Next}, func(response *fb.UpdatesResponseT) {
				if indexNode.HoldingsCursor(p.Name) == cur {
					codec.ApplyHoldings(indexNode, n.Clock(), p.Name, response)
				}
			})
		}
		for _, s := range indexNode.ServedZones() {
			cur := *indexNode.ZoneCursor(s, p.Name)
			ask(&fb.UpdatesRequestT{Feed: codec.ZoneFeed, Zone: s, Incarnation: cur.Incarnation, Since: cur.Next}, func(response *fb.UpdatesResponseT) {
				if *indexNode.ZoneCursor(s, p.Name) == cur {
					indexNode.ApplyZoneUpdates(s, p.Name, index.ShardsOf(p), codec.UnpackBatch(response))
				}
			})
		}
	}
}

// newsTell answers another index node.
func (n *IndexNode) answerUpdates(q *fb.UpdatesRequestT) *fb.UpdatesResponseT {
	response := codec.AnswerUpdates(n.node, q)
	n.fleet.World.orderUpdates(response.Updates, response.Reset)
	n.fleet.World.orderLocations(response.Locations)
	return response
}
