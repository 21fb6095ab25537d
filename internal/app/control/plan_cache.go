package control

import (
	"context"

	"violetthread/internal/clock"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// planKey is the control key that holds the plan.
const planKey = "plan"

// Microseconds.
const (
	planTimeout      = 700_000 // for a read of the plan, and for a relayed read
	planRelayTimeout = 600_000 // for the response of the control node that relays a read
)

// refreshPlan reads the plan from the leader of its key. The plan's age counts from before the
// request was sent.
func (n *Node) refreshPlan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(planTimeout))
	defer cancel()
	cached := n.plan.Load()
	sentAt := clock.Now()
	request := &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: planKey, HaveRevision: cached.Revision}
	response := n.ExecuteOnce(ctx, request)
	if quorum.Status(response.Status) != quorum.StatusDone {
		if relayedResponse := n.readPlanThroughPeer(request); relayedResponse != nil {
			response = relayedResponse
		}
	}
	if quorum.Status(response.Status) == quorum.StatusDone {
		updated, _, _ := cached.Apply(plan.Update{Revision: response.Revision, Raw: response.Value, Confirmed: true}, sentAt)
		n.plan.Store(&updated)
	}
}

// readPlanThroughPeer reads the plan through another control node, which may still reach the
// leader when this node can't. It has its own timeout: that of the first read may have expired.
func (n *Node) readPlanThroughPeer(request *fb.OperationRequestT) *fb.OperationResponseT {
	peer := n.nextPeer()
	if peer == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.daemon.Group.Context(), clock.Duration(planTimeout))
	defer cancel()
	request.Hops = 1
	response, err := n.peers.Get(peer).Call(ctx, &fb.FrameT{OperationRequest: request}, planRelayTimeout)
	if err != nil {
		return nil
	}
	return response.OperationResponse
}
