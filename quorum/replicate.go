package quorum

import (
	"fmt"
	"sort"
)

// issue gives a change its version and starts it towards a majority.
func (n *Node) issue(now int64, i uint16, s *slot, e Entry, op Op, o *Out) {
	prev := Ver{s.epoch, s.seq}
	s.seq++
	old, had := s.ent[e.Key]
	e.Ver = Ver{s.epoch, s.seq}
	p := &pending{key: e.Key, ver: e.Ver, old: old, had: had, op: op}
	s.pend[e.Key] = p
	s.order = append(s.order, p)
	n.store(s, e)
	s.mark = e.Ver
	n.rec(o, Rec{Kind: RecEntry, Slot: i, Epoch: s.epoch, Mark: s.mark, Settled: s.settled, Entry: e})
	n.after(now, o, func(now int64, o *Out) {
		if s.epoch == e.Ver.Epoch && s.st >= finishing {
			n.ack(now, i, s, n.p.Name, e.Ver, o)
		}
	})
	m := Msg{Kind: Write, Slot: i, Epoch: s.epoch, Prev: prev, Entries: []Entry{e}, Settled: s.settled}
	n.others(func(v string) { n.send(o, v, m) })
}

// ack counts a voter's synced mark and settles what a majority now has.
func (n *Node) ack(now int64, i uint16, s *slot, v string, m Ver, o *Out) {
	if a, ok := s.acked[v]; !ok || a.Less(m) {
		s.acked[v] = m
	}
	if len(s.acked) < n.roster.Majority() {
		return
	}
	var ms []Ver
	for _, a := range s.acked {
		ms = append(ms, a)
	}
	sort.Slice(ms, func(a, b int) bool { return ms[b].Less(ms[a]) })
	if q := ms[n.roster.Majority()-1]; s.settled.Less(q) {
		s.settled = q
	}
	for len(s.order) > 0 && !s.settled.Less(s.order[0].ver) {
		p := s.order[0]
		s.order = s.order[1:]
		e := s.ent[p.key]
		delete(s.pend, e.Key)
		if p.op.ID != 0 {
			o.Answers = append(o.Answers, Answer{ID: p.op.ID, Status: Done, Rev: e.Rev, Val: e.Val})
		}
		for _, q := range p.queue {
			n.apply(now, i, s, q, o)
		}
	}
	if s.st == finishing && len(s.order) == 0 && !s.settled.Less(Ver{s.epoch, 0}) {
		s.st, s.firm, s.eraAt = owning, n.roster.Rev, now
		// In the order of their changes, so that a seed replays alike.
		for _, vk := range s.live(Ver{}) {
			k := vk.k
			if isDuty(k) {
				// The former owner may have renewed until it stopped (design §4.5).
				s.holds[k] = now + duty(s.ent[k].Val).Term
			}
		}
		o.Events = append(o.Events, fmt.Sprintf("slot=%d owning=%d", i, s.epoch))
	}
}

func (n *Node) onWrite(now int64, m Msg, o *Out) {
	s := n.slots[m.Slot]
	if m.Epoch < s.promised {
		return
	}
	n.yield(now, s, m.Epoch, o)
	if m.Epoch > s.promised {
		n.promise(now, m.Slot, s, m.Epoch, o)
	}
	s.owner, s.ownerEp = m.From, m.Epoch
	if len(m.Entries) == 0 {
		return
	}
	if s.joined != m.Epoch || s.mark.Less(m.Prev) {
		n.follow(now, m.Slot, s, m.Entries[len(m.Entries)-1].Ver, o)
		return
	}
	n.take(now, m.Slot, s, m.Entries, m.Entries[len(m.Entries)-1].Ver, m.Settled, o)
}

// take stores changes of the line this voter follows and confirms them.
func (n *Node) take(now int64, i uint16, s *slot, es []Entry, mark, settled Ver, o *Out) {
	was := s.mark
	if s.settled.Less(settled) {
		s.settled = settled
	}
	// The mark moves with the last record only, lest a torn batch claim more
	// than it holds.
	for j, e := range es {
		if j == len(es)-1 && s.mark.Less(mark) {
			was, s.mark = mark, mark
		}
		if g, ok := s.ent[e.Key]; ok && !g.Ver.Less(e.Ver) {
			continue
		}
		n.store(s, e)
		n.rec(o, Rec{Kind: RecEntry, Slot: i, Epoch: s.joined, Mark: was, Settled: s.settled, Entry: e})
	}
	if s.mark.Less(mark) {
		s.mark = mark
	}
	n.confirm(now, i, s, o)
}

func (n *Node) confirm(now int64, i uint16, s *slot, o *Out) {
	e, mk, to := s.joined, s.mark, s.owner
	n.after(now, o, func(_ int64, o *Out) {
		n.send(o, to, Msg{Kind: WriteOK, Slot: i, Epoch: e, Mark: mk})
	})
}
