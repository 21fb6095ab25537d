package quorum

// distantFuture is a time that is never reached.
const distantFuture = int64(1) << 62

// Leave steps down from all slots before an orderly stop and notifies the voters, so that they
// need not wait for the leases to expire. The node never campaigns again, but still votes.
func (n *Node) Leave(now int64) Ready {
	var ready Ready
	n.leaving = true
	n.stepDownFromAll(now, &ready)
	n.broadcast(&ready, Message{Type: MsgLeaving})
	return ready
}

// StepDown steps down from all slots and notifies the voters as Leave does, but the node stays
// in the voter set. It is for a node whose records can't be written: it will be discarded, and
// another one is created from what is on disk. Until then it never campaigns.
func (n *Node) StepDown(now int64) Ready {
	var ready Ready
	n.noCampaignBefore = distantFuture
	n.stepDownFromAll(now, &ready)
	return ready
}

// stepDownFromAll steps down from all slots and notifies the voters.
func (n *Node) stepDownFromAll(now int64, ready *Ready) {
	var progress []SlotProgress
	for _, replica := range n.slots {
		if replica.state == stateFollower {
			continue
		}
		progress = append(progress, SlotProgress{Slot: replica.id, Term: replica.term})
		n.becomeFollower(now, replica, ready) // step down here before it is announced
		replica.noVoteUntil = now
	}
	if len(progress) > 0 {
		n.broadcast(ready, Message{Type: MsgStepDown, Progress: progress})
	}
}

// handleStepDown clears the leader of the slots that it has given up, so that an election can
// start.
func (n *Node) handleStepDown(now int64, message Message) {
	for _, slot := range message.Progress {
		if int(slot.Slot) >= len(n.slots) {
			continue
		}
		replica := n.slots[slot.Slot]
		current := replica.leaderTerm == slot.Term && replica.promised <= slot.Term
		if replica.leader == message.From && current {
			replica.leader, replica.noVoteUntil = "", now
		}
	}
}
