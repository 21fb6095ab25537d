package quorum

// distantFuture is a time that does not come.
const distantFuture = int64(1) << 62

// Leave gives all slots up ahead of an orderly stop and tells the voters, so that others need
// not wait for the leases to end. The node campaigns for nothing any more, and votes on.
func (n *Node) Leave(now int64) Ready {
	var ready Ready
	n.leaving = true
	n.stepDownFromAll(now, &ready)
	n.broadcast(&ready, Message{Type: MsgLeaving})
	return ready
}

// StepDown gives all slots up and tells the voters, as Leave does, but stays a voter for
// good. It is for a node whose records can't be kept: it is thrown away next, and another
// begins from what the disk holds. Until then it campaigns for nothing.
func (n *Node) StepDown(now int64) Ready {
	var ready Ready
	n.noCampaignBefore = distantFuture
	n.stepDownFromAll(now, &ready)
	return ready
}

// stepDownFromAll gives all slots up and tells the voters.
func (n *Node) stepDownFromAll(now int64, ready *Ready) {
	var progress []SlotProgress
	for _, replica := range n.slots {
		if replica.state == stateFollower {
			continue
		}
		progress = append(progress, SlotProgress{Slot: replica.id, Term: replica.term})
		n.becomeFollower(now, replica, ready) // stopped here first; only then is it said
		replica.noVoteUntil = now
	}
	if len(progress) > 0 {
		n.broadcast(ready, Message{Type: MsgStepDown, Progress: progress})
	}
}

// handleStepDown frees the slots that their leader has given up.
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
