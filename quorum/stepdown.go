package quorum

// never is a time that does not come.
const never = int64(1) << 62

// StepDown gives all slots up and tells the voters, as Leave does, but keeps the seat. It
// is for a voter whose records can't be kept: it is thrown away next, and another begins
// from what the disk holds. Until then it seeks nothing.
func (n *Node) StepDown(now int64) Out {
	var o Out
	n.seekAt = never
	n.yieldSlots(now, &o)
	return o
}

// yieldSlots gives all slots up and tells the voters, so that others need not wait the
// leases out.
func (n *Node) yieldSlots(now int64, o *Out) {
	var marks []Mark
	for i, s := range n.slots {
		if s.st == idle {
			continue
		}
		marks = append(marks, Mark{Slot: uint16(i), Epoch: s.epoch})
		n.retreat(now, s, o) // stopped here first; only then is it told
		s.heldUntil = now
	}
	if len(marks) > 0 {
		n.others(func(v string) { n.send(o, v, Msg{Kind: Yield, Marks: marks}) })
	}
}
