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
	attemptPause      = 20_000 // between two attempts of Propose
	minAttemptTimeout = 1_000
)

// Why Propose has no result yet. Which of the attempts took effect, if any, is not known.
var (
	errNoControlNode = errors.New("no control node is reachable; check the seeds and the core machines")
	errWrongAnswer   = errors.New("a control node answered with another frame; run the same version everywhere")
	errLeaderChanged = errors.New("the key changed leaders meanwhile; ask again")
	errNoLeader      = errors.New("the key has no leader just now; try again in a second")
)

// Propose has a control node carry an operation on a key out, and waits up to timeoutUS
// microseconds for its end. An error means that the outcome is not known. A put is not
// repeated after an attempt without an answer: it may have taken effect.
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
			last = errWrongAnswer
		case quorum.Status(response.Status) == quorum.StatusUnknown && !isPut:
			last = errLeaderChanged
		case quorum.Status(response.Status) == quorum.StatusNotLeader:
			last = errNoLeader
		default:
			return response, nil
		}
		if !taskgroup.Sleep(ctx, attemptPause) {
			break
		}
	}
	return nil, last
}

// propose is one attempt at one control node. The response is nil if the answer was none
// to an operation.
func (s *Session) propose(ctx context.Context, addr string, operation *fb.OperationRequestT, timeoutUS int64) (*fb.OperationResponseT, error) {
	request := *operation
	frame, err := s.peers.Get(addr).Call(ctx, &fb.FrameT{OperationRequest: &request}, timeoutUS)
	if err != nil {
		return nil, err
	}
	return frame.OperationResponse, nil
}
