package quorum

import (
	"fmt"
	"sort"
)

// issue gives a change its version and starts it towards a majority.
func (n *Node) replicate(now int64, i uint16, s *slotReplica, e Entry, op Operation, o *Ready) {
	prev := Position{s.term, s.lastIndex}
	s.lastIndex++
	old, had := s.entries[e.Key]
	e.Position = Position{s.term, s.lastIndex}
	p := &pendingChange{key: e.Key, position: e.Position, previous: old, existed: had, operation: op}
	s.pendingByKey[e.Key] = p
	s.pendingOrder = append(s.pendingOrder, p)
	n.store(s, e)
	s.last = e.Position
	n.appendRecord(o, Record{Type: RecordEntry, Slot: i, Term: s.term, Last: s.last, Committed: s.committed, Entry: e})
	n.afterSync(now, o, func(now int64, o *Ready) {
		if s.term == e.Position.Term && s.state >= stateRecovering {
			n.acknowledge(now, i, s, n.config.Name, e.Position, o)
		}
	})
	m := Message{Type: MsgAppend, Slot: i, Term: s.term, Previous: prev, Entries: []Entry{e}, Committed: s.committed}
	n.forEachPeer(func(v string) { n.send(o, v, m) })
}

// ack counts a voter's synced mark and settles what a majority now has.
func (n *Node) acknowledge(now int64, i uint16, s *slotReplica, v string, m Position, o *Ready) {
	if a, ok := s.acknowledged[v]; !ok || a.Before(m) {
		s.acknowledged[v] = m
	}
	if len(s.acknowledged) < n.voterSet.Majority() {
		return
	}
	var ms []Position
	for _, a := range s.acknowledged {
		ms = append(ms, a)
	}
	sort.Slice(ms, func(a, b int) bool { return ms[b].Before(ms[a]) })
	if q := ms[n.voterSet.Majority()-1]; s.committed.Before(q) {
		s.committed = q
	}
	for len(s.pendingOrder) > 0 && !s.committed.Before(s.pendingOrder[0].position) {
		p := s.pendingOrder[0]
		s.pendingOrder = s.pendingOrder[1:]
		e := s.entries[p.key]
		delete(s.pendingByKey, e.Key)
		if p.operation.ID != 0 {
			o.Results = append(o.Results, Result{ID: p.operation.ID, Status: StatusDone, Revision: e.Revision, Value: e.Value})
		}
		for _, q := range p.queued {
			n.apply(now, i, s, q, o)
		}
	}
	if s.state == stateRecovering && len(s.pendingOrder) == 0 && !s.committed.Before(Position{s.term, 0}) {
		s.state, s.recoveredUnder, s.generationSince = stateLeader, n.voterSet.Revision, now
		// In the order of their changes, so that a seed replays alike.
		for _, vk := range s.changedAfter(Position{}) {
			k := vk.key
			if isRole(k) {
				// The former owner may have renewed until it stopped (design §4.5).
				s.roleLeaseUntil[k] = now + parseRoleLease(s.entries[k].Value).Duration
			}
		}
		o.Events = append(o.Events, fmt.Sprintf("slot=%d owning=%d", i, s.term))
	}
}

func (n *Node) handleAppend(now int64, m Message, o *Ready) {
	s := n.slots[m.Slot]
	if m.Term < s.promised {
		return
	}
	n.followHigherTerm(now, s, m.Term, o)
	if m.Term > s.promised {
		n.promise(now, m.Slot, s, m.Term, o)
	}
	s.leader, s.leaderTerm = m.From, m.Term
	if len(m.Entries) == 0 {
		return
	}
	if s.logTerm != m.Term || s.last.Before(m.Previous) {
		n.catchUp(now, m.Slot, s, m.Entries[len(m.Entries)-1].Position, o)
		return
	}
	n.appendFromLeader(now, m.Slot, s, m.Entries, m.Entries[len(m.Entries)-1].Position, m.Committed, o)
}

// take stores changes of the line this voter follows and confirms them.
func (n *Node) appendFromLeader(now int64, i uint16, s *slotReplica, es []Entry, mark, settled Position, o *Ready) {
	was := s.last
	if s.committed.Before(settled) {
		s.committed = settled
	}
	// The mark moves with the last record only, lest a torn batch claim more
	// than it holds.
	for j, e := range es {
		if j == len(es)-1 && s.last.Before(mark) {
			was, s.last = mark, mark
		}
		if g, ok := s.entries[e.Key]; ok && !g.Position.Before(e.Position) {
			continue
		}
		n.store(s, e)
		n.appendRecord(o, Record{Type: RecordEntry, Slot: i, Term: s.logTerm, Last: was, Committed: s.committed, Entry: e})
	}
	if s.last.Before(mark) {
		s.last = mark
	}
	n.sendAppendAck(now, i, s, o)
}

func (n *Node) sendAppendAck(now int64, i uint16, s *slotReplica, o *Ready) {
	e, mk, to := s.logTerm, s.last, s.leader
	n.afterSync(now, o, func(_ int64, o *Ready) {
		n.send(o, to, Message{Type: MsgAppendAck, Slot: i, Term: e, Last: mk})
	})
}
