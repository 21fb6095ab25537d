package control

import (
	"context"

	"github.com/samber/lo"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// maxHops is how many times an operation may be forwarded.
const maxHops = 2

// Microseconds.
const (
	idempotentTimeout = 500_000   // for the response to a forwarded idempotent operation
	forwardTimeout    = 2_000_000 // for the response to any other forwarded operation
	retryInterval     = 30_000    // between two attempts of Execute
)

// Execute executes an operation. For up to Settings.OperationTimeoutUS it retries while attempts
// certainly have no effect because there is no leader, and while the outcome of an idempotent
// operation is unknown.
func (n *Node) Execute(ctx context.Context, request *fb.OperationRequestT) *fb.OperationResponseT {
	timeout := lo.Ternary(n.settings.OperationTimeoutUS > 0, n.settings.OperationTimeoutUS, Defaults().OperationTimeoutUS)
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(timeout))
	defer cancel()
	inDoubt := false
	for {
		attempt := *request
		response := n.ExecuteOnce(ctx, &attempt)
		retry := false
		response, inDoubt, retry = classifyAttempt(quorum.OperationType(request.Type), response, inDoubt)
		if !retry || !taskgroup.Sleep(ctx, retryInterval) {
			return response
		}
	}
}

// idempotent reports whether an operation may be executed twice: a read, or a claim or lease that
// the same holder requests again (design §4.5, §6).
func idempotent(kind quorum.OperationType) bool {
	return kind == quorum.OpGet || kind == quorum.OpClaim || kind == quorum.OpAcquire
}

// classifyAttempt returns what may be reported to the caller after an attempt, whether one of the
// attempts so far may still take effect, and whether to retry. inDoubt says that an earlier
// attempt may still take effect; only a result that holds whether or not it does is then final. A
// read is never in doubt.
func classifyAttempt(kind quorum.OperationType, response *fb.OperationResponseT, inDoubt bool) (report *fb.OperationResponseT, stillInDoubt, retry bool) {
	switch status := quorum.Status(response.Status); {
	case status == quorum.StatusDone || status == quorum.StatusConflict || status == quorum.StatusGenerationClosed:
		return response, inDoubt, false
	case status == quorum.StatusUnknown && !idempotent(kind):
		return response, true, false
	case status == quorum.StatusUnknown:
		return response, inDoubt || kind != quorum.OpGet, true
	case inDoubt:
		return statusResponse(quorum.StatusUnknown), true, true
	default:
		return response, false, status == quorum.StatusNotLeader
	}
}

// statusResponse returns the response to an operation without a result.
func statusResponse(status quorum.Status) *fb.OperationResponseT {
	return &fb.OperationResponseT{Status: byte(status)}
}

// ExecuteOnce makes one attempt to execute an operation at the leader of its key's slot, which may
// be this node.
func (n *Node) ExecuteOnce(ctx context.Context, request *fb.OperationRequestT) *fb.OperationResponseT {
	if !n.voting.Load() {
		if peer := n.nextPeer(); peer != "" && request.Hops < maxHops {
			return n.forward(ctx, peer, request)
		}
		return statusResponse(quorum.StatusNotLeader)
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
		return statusResponse(quorum.StatusUnknown)
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

// forwardToLeader forwards an operation to the voter that leads the key's slot. While the leader
// is silent, nothing is sent, so that StatusNotLeader is correct and a retry is safe.
func (n *Node) forwardToLeader(ctx context.Context, leader string, request *fb.OperationRequestT) *fb.OperationResponseT {
	set := n.voterSet.Load()
	if set == nil || n.status.Load().silent[leader] {
		return statusResponse(quorum.StatusNotLeader)
	}
	voter, ok := lo.Find(set.Voters, func(voter *fb.VoterT) bool { return voter.Name == leader })
	if !ok {
		return statusResponse(quorum.StatusNotLeader)
	}
	return n.forward(ctx, voter.Addr, request)
}

// forward sends an operation to another control node. The timeout of an idempotent operation is
// short: the leader may be down, and the caller retries (Execute).
func (n *Node) forward(ctx context.Context, addr string, request *fb.OperationRequestT) *fb.OperationResponseT {
	forwarded := *request
	forwarded.Hops++
	timeout := lo.Ternary[int64](idempotent(quorum.OperationType(request.Type)), idempotentTimeout, forwardTimeout)
	response, err := n.peers.Get(addr).Call(ctx, &fb.FrameT{OperationRequest: &forwarded}, timeout)
	if err != nil || response.OperationResponse == nil {
		return statusResponse(quorum.StatusUnknown)
	}
	return response.OperationResponse
}

// nextPeer returns the address of another control node, in round-robin order, or "" if none is
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
	return addrs[n.nextPeerIndex.Add(1)%uint64(len(addrs))]
}
