package quorum

// never is a time that does not come.
const distantFuture = int64(1) << 62

// StepDown gives all slots up and tells the voters, as Leave does, but keeps the seat. It
// is for a voter whose records can't be kept: it is thrown away next, and another begins
// from what the disk holds. Until then it seeks nothing.
func (n *Node) StepDown(now int64) Ready {
	var o Ready
	n.noCampaignBefore = distantFuture
	n.stepDownFromAll(now, &o)
	return o
}

// yieldSlots gives all slots up and tells the voters, so that others need not wait the
// leases out.
func (n *Node) stepDownFromAll(now int64, o *Ready) {
	var marks []SlotProgress
	for i, s := range n.slots {
		if s.state == stateFollower {
			continue
		}
		marks = append(marks, SlotProgress{Slot: uint16(i), Term: s.term})
		n.becomeFollower(now, s, o) // stopped here first; only then is it told
		s.noVoteUntil = now
	}
	if len(marks) > 0 {
		n.forEachPeer(func(v string) { n.send(o, v, Message{Type: MsgStepDown, Progress: marks}) })
	}
}
