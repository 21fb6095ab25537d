package quorum

func (n *Node) replayRecord(c Record) {
	if c.Type == RecordVoterSet {
		if c.VoterSet != nil && c.VoterSet.Revision > n.voterSet.Revision {
			n.voterSet = *c.VoterSet
		}
		return
	}
	if int(c.Slot) >= len(n.slots) {
		return
	}
	s := n.slots[c.Slot]
	switch c.Type {
	case RecordPromise:
		s.promised = max(s.promised, c.Term)
	case RecordEntry:
		n.store(s, c.Entry)
		s.logTerm, s.last, s.committed = c.Term, c.Last, c.Committed
	case RecordDelete:
		n.remove(s, c.Entry.Key)
	case RecordLogState:
		s.logTerm, s.last, s.committed = c.Term, c.Last, c.Committed
	}
}

// Checkpoint returns records that stand for the whole state.
func (n *Node) Checkpoint() []Record {
	ro := n.voterSet
	out := []Record{{Type: RecordVoterSet, VoterSet: &ro}}
	for i, s := range n.slots {
		out = append(out, Record{Type: RecordPromise, Slot: uint16(i), Term: s.promised})
		for _, vk := range s.changedAfter(Position{}) {
			out = append(out, Record{Type: RecordEntry, Slot: uint16(i), Term: s.logTerm, Last: s.last, Committed: s.committed, Entry: s.entries[vk.key]})
		}
		out = append(out, Record{Type: RecordLogState, Slot: uint16(i), Term: s.logTerm, Last: s.last, Committed: s.committed})
	}
	return out
}
