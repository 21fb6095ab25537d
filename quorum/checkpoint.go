package quorum

func (n *Node) replay(c Rec) {
	if c.Kind == RecRoster {
		if c.Roster != nil && c.Roster.Rev > n.roster.Rev {
			n.roster = *c.Roster
		}
		return
	}
	if int(c.Slot) >= len(n.slots) {
		return
	}
	s := n.slots[c.Slot]
	switch c.Kind {
	case RecPromise:
		s.promised = max(s.promised, c.Epoch)
	case RecEntry:
		n.store(s, c.Entry)
		s.joined, s.mark, s.settled = c.Epoch, c.Mark, c.Settled
	case RecDrop:
		n.drop(s, c.Entry.Key)
	case RecJoin:
		s.joined, s.mark, s.settled = c.Epoch, c.Mark, c.Settled
	}
}

// Checkpoint returns records that stand for the whole state.
func (n *Node) Checkpoint() []Rec {
	ro := n.roster
	out := []Rec{{Kind: RecRoster, Roster: &ro}}
	for i, s := range n.slots {
		out = append(out, Rec{Kind: RecPromise, Slot: uint16(i), Epoch: s.promised})
		for _, vk := range s.live(Ver{}) {
			out = append(out, Rec{Kind: RecEntry, Slot: uint16(i), Epoch: s.joined, Mark: s.mark, Settled: s.settled, Entry: s.ent[vk.k]})
		}
		out = append(out, Rec{Kind: RecJoin, Slot: uint16(i), Epoch: s.joined, Mark: s.mark, Settled: s.settled})
	}
	return out
}
