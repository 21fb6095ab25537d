package session

import (
	"context"
	"errors"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	retryInterval     = 20_000 // between two attempts of Propose
	minAttemptTimeout = 1_000
)

// Errors of Propose. The operation may have taken effect in any of its attempts.
var (
	errNoControlNode      = errors.New("no control node is reachable; check the seeds and the core machines")
	errUnexpectedResponse = errors.New("unexpected response of a control node; run the same version on all machines")
	errLeaderChanged      = errors.New("the leader of the key changed during the operation; try again")
	errNoLeader           = errors.New("the key has no leader; try again in a second")
)

// Propose has a control node execute an operation on a key, and waits up to timeoutUS
// microseconds for the result. If it returns an error, the outcome is unknown. A put is not
// retried after an attempt without a response, because it may have taken effect.
func (s *Session) Propose(ctx context.Context, operation *fb.OperationRequestT, timeoutUS int64) (*fb.OperationResponseT, error) {
	deadline := clock.Now() + timeoutUS
	isPut := operation.Type == byte(quorum.OpPut)
	last := errNoControlNode
	for attempt := 0; clock.Now() < deadline && ctx.Err() == nil; attempt++ {
		addrs := s.candidates()
		if len(addrs) == 0 {
			break
		}
		addr := addrs[attempt%len(addrs)]
		timeout := max(minAttemptTimeout, min(deadline-clock.Now(), timeoutUS/2+minAttemptTimeout))
		response, err := s.propose(ctx, addr, operation, timeout)
		switch {
		case err != nil:
			last = err
			if isPut {
				return nil, err
			}
		case response == nil:
			last = errUnexpectedResponse
		case quorum.Status(response.Status) == quorum.StatusUnknown && !isPut:
			last = errLeaderChanged
		case quorum.Status(response.Status) == quorum.StatusNotLeader:
			last = errNoLeader
		default:
			return response, nil
		}
		if !taskgroup.Sleep(ctx, retryInterval) {
			break
		}
	}
	return nil, last
}

// propose makes one attempt at one control node. The returned response is nil if the received
// frame has none to an operation.
func (s *Session) propose(ctx context.Context, addr string, operation *fb.OperationRequestT, timeoutUS int64) (*fb.OperationResponseT, error) {
	request := *operation
	frame, err := s.peers.Get(addr).Call(ctx, &fb.FrameT{OperationRequest: &request}, timeoutUS)
	if err != nil {
		return nil, err
	}
	return frame.OperationResponse, nil
}
