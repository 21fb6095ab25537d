package sim

import (
	"violetthread/quorum"
)

// proposeOnce sends an operation to the leader of its key, without retries, until a time limit
// by this node's clock.
func (n *ControlNode) proposeOnce(op quorum.Operation, hops int, until int64, reply func(quorum.Result)) {
	ended := false
	end := func(result quorum.Result) {
		if !ended {
			ended = true
			reply(result)
		}
	}
	n.After(max(1, until-n.Clock()), func() { end(quorum.Result{Status: quorum.StatusUnknown}) })
	n.Propose(op, func(result quorum.Result) {
		if result.Status != quorum.StatusNotLeader || result.Leader == "" || result.Leader == n.Name || hops >= maxHops {
			end(result)
			return
		}
		n.forwardToLeader(op, hops, result.Leader, end)
	})
}

// forwardToLeader forwards an operation to the leader of its key.
func (n *ControlNode) forwardToLeader(op quorum.Operation, hops int, leaderName string, end func(quorum.Result)) {
	receiver := n.cluster.nodeNamed(leaderName)
	if receiver == nil || n.node == nil || n.node.TimeSinceHeard(n.Clock(), leaderName) > maxForwardSilenceUS {
		end(quorum.Result{Status: quorum.StatusNotLeader})
		return
	}
	limit := int64(forwardPutTimeoutUS)
	if op.Type == quorum.OpGet {
		limit = forwardReadTimeoutUS
	}
	requestStep, replyStep := stepsOf(op.Type)
	Call(n.Host, receiver.Host, op, limit,
		func(operation quorum.Operation, answer func(quorum.Result)) {
			if !n.cluster.isStepLost(requestStep) {
				receiver.proposeOnce(operation, hops+1, receiver.Clock()+limit, answer)
			}
		},
		func(result quorum.Result) {
			if !n.cluster.isStepLost(replyStep) {
				end(result)
			}
		},
		func() { end(quorum.Result{Status: quorum.StatusUnknown}) })
}

// hearsMajority reports whether a node heard from a majority of the voters recently. It
// returns true for a node that is not a voter, which cannot know.
func (n *ControlNode) hearsMajority() bool {
	if n.node == nil {
		return true
	}
	voters := n.node.VoterSet().Voters
	heard := 0
	for _, voter := range voters {
		if n.node.TimeSinceHeard(n.Clock(), voter.Name) <= maxForwardSilenceUS {
			heard++
		}
	}
	return heard > len(voters)/2
}
