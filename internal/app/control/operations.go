package control

import (
	"context"

	"github.com/samber/lo"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// maxHops is how often an operation is forwarded.
const maxHops = 2

// Microseconds.
const (
	idempotentTimeout = 500_000   // for the answer to a forwarded operation that may be repeated
	forwardTimeout    = 2_000_000 // for the answer to any other
	attemptPause      = 30_000    // between two attempts of Execute
)

// Execute carries an operation out, trying again while it provably did nothing, or while
// doing it twice is the same as once, for as long as Settings.OperationTimeoutUS.
func (n *Node) Execute(ctx context.Context, request *fb.OperationRequestT) *fb.OperationResponseT {
	timeout := lo.Ternary(n.settings.OperationTimeoutUS > 0, n.settings.OperationTimeoutUS, Defaults().OperationTimeoutUS)
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(timeout))
	defer cancel()
	inDoubt := false
	for {
		attempt := *request
		response := n.ExecuteOnce(ctx, &attempt)
		again := false
		response, inDoubt, again = judgeAttempt(quorum.OperationType(request.Type), response, inDoubt)
		if !again || !taskgroup.Sleep(ctx, attemptPause) {
			return response
		}
	}
}

// idempotent tells the operations that may be carried out twice: a read, and a claim or
// lease that its very holder asks for again (design §4.5, §6).
func idempotent(kind quorum.OperationType) bool {
	return kind == quorum.OpGet || kind == quorum.OpClaim || kind == quorum.OpAcquire
}

// judgeAttempt is what the caller may be told after an attempt, whether one of the attempts
// may still take effect, and whether to try again. After an attempt in doubt only an answer
// that is right whatever became of it counts; a read is never in doubt.
func judgeAttempt(kind quorum.OperationType, response *fb.OperationResponseT, inDoubt bool) (report *fb.OperationResponseT, doubtful, again bool) {
	switch status := quorum.Status(response.Status); {
	case status == quorum.StatusDone || status == quorum.StatusConflict || status == quorum.StatusGenerationClosed:
		return response, inDoubt, false
	case status == quorum.StatusUnknown && !idempotent(kind):
		return response, true, false
	case status == quorum.StatusUnknown:
		return response, inDoubt || kind != quorum.OpGet, true
	case inDoubt:
		return failed(quorum.StatusUnknown), true, true
	default:
		return response, false, status == quorum.StatusNotLeader
	}
}

// failed is the answer to an operation that has no result.
func failed(status quorum.Status) *fb.OperationResponseT {
	return &fb.OperationResponseT{Status: byte(status)}
}

// ExecuteOnce carries an operation to the leader of its key's slot, which may be this node,
// with one attempt.
func (n *Node) ExecuteOnce(ctx context.Context, request *fb.OperationRequestT) *fb.OperationResponseT {
	if !n.voting.Load() {
		if via := n.nextPeer(); via != "" && request.Hops < maxHops {
			return n.forward(ctx, via, request)
		}
		return failed(quorum.StatusNotLeader)
	}
	result, ok := n.propose(ctx, quorum.Operation{
		Type:             quorum.OperationType(request.Type),
		Key:              request.Key,
		Value:            request.Value,
		ExpectedRevision: request.ExpectedRevision,
		Holder:           request.Holder,
		LeaseDurationUS:  request.LeaseDuration,
	})
	if !ok {
		return failed(quorum.StatusUnknown)
	}
	if result.Status == quorum.StatusNotLeader && result.Leader != "" && result.Leader != n.settings.Name && request.Hops < maxHops {
		return n.forwardToLeader(ctx, result.Leader, request)
	}
	response := &fb.OperationResponseT{Status: byte(result.Status), Revision: result.Revision, Value: result.Value, Leader: result.Leader}
	if request.HaveRevision != 0 && request.HaveRevision == result.Revision {
		response.Value = nil
	}
	return response
}

// forwardToLeader forwards an operation to the voter that leads the key's slot. While that
// one is silent nothing is sent, so that it is safe to say so and try again.
func (n *Node) forwardToLeader(ctx context.Context, leader string, request *fb.OperationRequestT) *fb.OperationResponseT {
	set := n.voterSet.Load()
	if set == nil || n.status.Load().silent[leader] {
		return failed(quorum.StatusNotLeader)
	}
	voter, ok := lo.Find(set.Voters, func(voter *fb.VoterT) bool { return voter.Name == leader })
	if !ok {
		return failed(quorum.StatusNotLeader)
	}
	return n.forward(ctx, voter.Addr, request)
}

// forward hands an operation on. One that may be repeated is not waited for long: the
// leader may be gone, and whoever asked tries again (Execute).
func (n *Node) forward(ctx context.Context, addr string, request *fb.OperationRequestT) *fb.OperationResponseT {
	forwarded := *request
	forwarded.Hops++
	timeout := lo.Ternary[int64](idempotent(quorum.OperationType(request.Type)), idempotentTimeout, forwardTimeout)
	response, err := n.peers.Get(addr).Call(ctx, &fb.FrameT{OperationRequest: &forwarded}, timeout)
	if err != nil || response.OperationResponse == nil {
		return failed(quorum.StatusUnknown)
	}
	return response.OperationResponse
}

// nextPeer is the address of another control node, one after the other; "" if none is
// known.
func (n *Node) nextPeer() string {
	var addrs []string
	if set := n.voterSet.Load(); set != nil {
		addrs = lo.Without(voterAddrs(set), n.settings.TransportAddr)
	} else {
		addrs = n.candidateAddrs()
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[n.peerTurn.Add(1)%uint64(len(addrs))]
}
