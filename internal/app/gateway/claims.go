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

// claimTimeout is for the answer to an operation on a claim, in microseconds.
const claimTimeout = 2_000_000

// claim asks for the claim of a request, and tells the dispatcher the answer.
func (g *gateway) claim(ctx context.Context, action dispatch.Action) {
	claim := g.askClaim(ctx, action.ClaimKey, action.ClaimNonce)
	g.step(func(now int64) []dispatch.Action { return g.dispatcher.ClaimAnswered(now, action.Ref, claim) })
}

// askClaim asks for a claim. An answer that is lost leaves it unknown who has the claim.
func (g *gateway) askClaim(ctx context.Context, key, nonce string) attempt.ClaimState {
	askedAt := clock.Now()
	response, err := g.operateClaim(ctx, quorum.OpClaim, key, nonce)
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

// releaseClaim gives a claim back. If that fails the claim stays, and the request does not
// run when it is sent again.
func (g *gateway) releaseClaim(ctx context.Context, action dispatch.Action) {
	if _, err := g.operateClaim(ctx, quorum.OpUnclaim, action.ClaimKey, action.ClaimNonce); err != nil {
		g.daemon.Log.Info("claim_not_released", "group", action.Group, "request", action.RequestID, "cause", err.Error())
	}
}

// operateClaim has the agent carry an operation on a claim out.
func (g *gateway) operateClaim(ctx context.Context, operation quorum.OperationType, key, nonce string) (*fb.OperationResponseT, error) {
	request := &fb.OperationRequestT{Type: byte(operation), Key: key, Value: []byte(nonce)}
	frame, err := g.agent.Call(ctx, &fb.FrameT{OperationRequest: request}, claimTimeout)
	if err != nil {
		return nil, err
	}
	return frame.OperationResponse, nil
}

// claimPlain asks for the claim of a plain call, and returns the reason to refuse the call
// or "". The claim goes on when the caller's ctx ends, which leaves its outcome unknown.
func (g *gateway) claimPlain(ctx context.Context, generation uint64, group, id string) string {
	answer := make(chan attempt.ClaimState, 1)
	key := dispatch.ClaimKey(generation, group, "plain:"+id)
	nonce := fmt.Sprintf("%s/%x/p%d", g.settings.Name, g.incarnation, g.lastRef.Add(1))
	g.daemon.Group.Go("claim.plain", func(ctx context.Context) { answer <- g.askClaim(ctx, key, nonce) })
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
