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
	planTimeout      = 700_000 // for a read of the plan
	planRelayTimeout = 600_000 // for the answer of another control node to it
)

// refreshPlan asks the leader of the plan's key anew; the age counts from before the
// question.
func (n *Node) refreshPlan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(planTimeout))
	defer cancel()
	cached := n.plan.Load()
	askedAt := clock.Now()
	request := &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: planKey, HaveRevision: cached.Revision}
	response := n.ExecuteOnce(ctx, request)
	if quorum.Status(response.Status) != quorum.StatusDone {
		if relayedResponse := n.readPlanThroughPeer(request); relayedResponse != nil {
			response = relayedResponse
		}
	}
	if quorum.Status(response.Status) == quorum.StatusDone {
		updated, _, _ := cached.Apply(plan.Update{Revision: response.Revision, Raw: response.Value, Confirmed: true}, askedAt)
		n.plan.Store(&updated)
	}
}

// readPlanThroughPeer asks another control node, since the way to the leader may be cut
// here and not elsewhere. It has its own time limit: that of the first question may be
// used up.
func (n *Node) readPlanThroughPeer(request *fb.OperationRequestT) *fb.OperationResponseT {
	via := n.nextPeer()
	if via == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.daemon.Group.Context(), clock.Duration(planTimeout))
	defer cancel()
	request.Hops = 1
	response, err := n.peers.Get(via).Call(ctx, &fb.FrameT{OperationRequest: request}, planRelayTimeout)
	if err != nil {
		return nil
	}
	return response.OperationResponse
}
