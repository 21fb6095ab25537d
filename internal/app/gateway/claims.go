package gateway

import (
	"context"
	"fmt"

	"violetthread/attempt"
	"violetthread/dispatch"
	"violetthread/internal/callerapi"
	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// claimTimeout is the time-out of an operation on a claim, in microseconds.
const claimTimeout = 2_000_000

// claim acquires the claim of a request, and passes the result to the dispatcher.
func (g *gateway) claim(ctx context.Context, action dispatch.Action) {
	claim := g.acquireClaim(ctx, action.ClaimKey, action.ClaimNonce)
	g.step(func(now int64) []dispatch.Action { return g.dispatcher.ClaimAnswered(now, action.Ref, claim) })
}

// acquireClaim tries to acquire a claim. If the response is lost, it is unknown who holds the
// claim.
func (g *gateway) acquireClaim(ctx context.Context, key, nonce string) attempt.ClaimState {
	askedAt := clock.Now()
	response, err := g.executeClaimOp(ctx, quorum.OpClaim, key, nonce)
	if err != nil || response == nil {
		return attempt.ClaimUnknown
	}
	switch quorum.Status(response.Status) {
	case quorum.StatusDone:
		g.claimLatency.add(clock.Now() - askedAt)
		return attempt.ClaimGranted
	case quorum.StatusConflict:
		return attempt.ClaimTaken
	case quorum.StatusGenerationClosed:
		return attempt.ClaimClosed
	}
	return attempt.ClaimUnknown
}

// releaseClaim releases a claim. If that fails, the claim stays, and the request will not run
// if the caller retries it.
func (g *gateway) releaseClaim(ctx context.Context, action dispatch.Action) {
	if _, err := g.executeClaimOp(ctx, quorum.OpUnclaim, action.ClaimKey, action.ClaimNonce); err != nil {
		g.daemon.Log.Info("claim_not_released", "group", action.Group, "request", action.RequestID, "cause", err.Error())
	}
}

// executeClaimOp executes an operation on a claim through the agent.
func (g *gateway) executeClaimOp(ctx context.Context, operation quorum.OperationType, key, nonce string) (*fb.OperationResponseT, error) {
	request := &fb.OperationRequestT{Type: byte(operation), Key: key, Value: []byte(nonce)}
	frame, err := g.agent.Call(ctx, &fb.FrameT{OperationRequest: request}, claimTimeout)
	if err != nil {
		return nil, err
	}
	return frame.OperationResponse, nil
}

// claimPlain acquires the claim of a plain call, and returns the reason to reject the call, or
// "". If the caller's ctx ends first, the operation continues and its outcome is unknown.
func (g *gateway) claimPlain(ctx context.Context, generation uint64, group, id string) string {
	answer := make(chan attempt.ClaimState, 1)
	key := dispatch.ClaimKey(generation, group, "plain:"+id)
	nonce := fmt.Sprintf("%s/%x/p%d", g.settings.Name, g.incarnation, g.lastRef.Add(1))
	g.daemon.Group.Go("claim.plain", func(ctx context.Context) { answer <- g.acquireClaim(ctx, key, nonce) })
	claim, answered := taskgroup.Receive(ctx, answer)
	if !answered {
		return callerapi.ReasonClaimUnavailable
	}
	switch claim {
	case attempt.ClaimGranted:
		return ""
	case attempt.ClaimTaken:
		return callerapi.ReasonDuplicate
	case attempt.ClaimClosed:
		return callerapi.ReasonGenerationClosed
	}
	return callerapi.ReasonClaimUnavailable
}
