package indexnode

import (
	"context"

	"violetthread/index"
	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/recording/replay"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	leaseTimeout    = 1_000_000 // for the result of a lease operation
	releaseInterval = 50_000    // between two rounds of releases, on a graceful stop
)

// renewLeases acquires, renews and releases leases to follow the placement.
func (n *indexNode) renewLeases(context.Context) {
	if n.daemon.Stopping() {
		return
	}
	view := n.session.View()
	var operations []index.LeaseOp
	n.withNode(func(now int64, node *replay.IndexNode) {
		if view.Plan != nil {
			node.ApplyPlan(now, &view.Cached)
		}
		peers, live := codec.ReadyIndexNodes(view.Nodes, n.settings.Name)
		if !live {
			return // not among the ready nodes: others may have taken over the roles of this one
		}
		node.SetPeers(now, peers)
		operations = node.LeaseOps(now)
	})
	for _, operation := range operations {
		n.daemon.Group.Go("lease", func(ctx context.Context) { n.executeLeaseOp(ctx, operation) })
	}
}

// executeLeaseOp has the control nodes acquire, renew or release a lease.
func (n *indexNode) executeLeaseOp(ctx context.Context, operation index.LeaseOp) {
	operationType := quorum.OpAcquire
	if operation.Release {
		operationType = quorum.OpRelease
	}
	askedAt := clock.Now()
	response, err := n.session.Propose(ctx, &fb.OperationRequestT{
		Type:             byte(operationType),
		Key:              operation.Key,
		ExpectedRevision: operation.Token,
		Holder:           n.leaseHolder,
		LeaseDuration:    index.LeaseDuration,
	}, leaseTimeout)
	n.withNode(func(now int64, node *replay.IndexNode) {
		if err != nil {
			node.LeaseAnswered(now, operation, askedAt, false, 0)
			return
		}
		done := quorum.Status(response.Status) == quorum.StatusDone
		if done && operation.Token != response.Revision && !operation.Release {
			n.daemon.Log.Info("lease_acquired", "key", operation.Key, "fencing_token", response.Revision)
		}
		node.LeaseAnswered(now, operation, askedAt, done, response.Revision)
	})
}

// releaseLeases releases every lease, so that other nodes need not wait for it to expire:
// those of shards at once, and those of engines when no grant can be in use any more
// (docs/design.md §10).
func (n *indexNode) releaseLeases(ctx context.Context) {
	n.withNode(func(now int64, node *replay.IndexNode) { node.SetPeers(now, nil) })
	for idle := false; !idle; {
		var operations []index.LeaseOp
		n.withNode(func(now int64, node *replay.IndexNode) {
			operations, idle = node.LeaseOps(now), node.HoldsNoLeases()
		})
		for _, operation := range operations {
			n.daemon.Group.Go("lease.release", func(ctx context.Context) { n.executeLeaseOp(ctx, operation) })
		}
		if !idle && !taskgroup.Sleep(ctx, releaseInterval) {
			return
		}
	}
}
