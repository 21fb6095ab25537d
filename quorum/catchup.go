package quorum

// follow asks the owner for what this voter lacks.
func (n *Node) follow(now int64, i uint16, s *slot, last Ver, o *Out) {
	if s.joined == s.ownerEp && !s.mark.Less(last) || now-s.fetchAt < n.p.Beat {
		return
	}
	s.fetchAt = now
	f := Msg{Kind: Fetch, Slot: i, Epoch: s.ownerEp, Mark: s.mark}
	if s.joined != s.ownerEp {
		f.First, f.Mark, f.Keys = true, s.sure(), s.doubts()
	}
	n.send(o, s.owner, f)
}

func (n *Node) onFetch(m Msg, o *Out) {
	s := n.slots[m.Slot]
	if s.st < finishing || s.epoch != m.Epoch {
		return
	}
	es, absent := s.since(m.Mark, m.Keys)
	f := Msg{Kind: Fill, Slot: m.Slot, Epoch: s.epoch, First: m.First, Mark: Ver{s.epoch, s.seq}, Settled: s.settled, Keys: absent, Entries: es}
	if !m.First {
		// Changes may go in parts, since they are ordered; the checkpoint that
		// starts a line goes whole.
		sz := 0
		for j, e := range es {
			if sz += entSize(e); sz > n.p.Chunk && j+1 < len(es) {
				f.Entries, f.Mark = es[:j+1], e.Ver
				break
			}
		}
	}
	n.send(o, m.From, f)
}

func (n *Node) onFill(now int64, m Msg, o *Out) {
	s := n.slots[m.Slot]
	if m.Epoch != s.promised || m.From != s.owner || m.Epoch != s.ownerEp || s.st != idle {
		return
	}
	s.fetchAt = 0
	if !m.First {
		if s.joined == m.Epoch {
			n.take(now, m.Slot, s, m.Entries, m.Mark, m.Settled, o)
		}
		return
	}
	if s.joined == m.Epoch {
		return
	}
	// What was in doubt is replaced by what the owner's line says. Drops come
	// after the entries: a crash between them loses nothing that was settled.
	was, sure := s.joined, s.sure()
	for _, e := range m.Entries {
		n.adopt(m.Slot, s, e, was, sure, o)
	}
	for _, k := range m.Keys {
		n.forget(m.Slot, s, k, o)
	}
	s.joined, s.mark = m.Epoch, m.Mark
	if s.settled = m.Settled; s.mark.Less(s.settled) {
		s.settled = s.mark
	}
	n.join(m.Slot, s, o)
	n.confirm(now, m.Slot, s, o)
}
