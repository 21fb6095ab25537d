package quorum

import (
	"fmt"
	"strings"
)

// Recv takes a message from another voter. A sender that the roster does not
// know under that incarnation is not heard (design §4.6).
func (n *Node) Recv(now int64, m Msg) Out {
	var o Out
	if v, ok := n.roster.Find(m.From); ok && v.Inc == m.Inc {
		n.heard[m.From] = now
	}
	if m.Roster != n.roster.Rev && m.From != n.p.Name {
		n.otherRoster(now, m, &o)
		return o
	}
	v, ok := n.roster.Find(m.From)
	if !ok || v.Inc != m.Inc || m.From == n.p.Name || !n.inRoster() {
		o.Events = append(o.Events, fmt.Sprintf("unheard=%s inc=%d roster=%d", m.From, m.Inc, m.Roster))
		return o
	}
	n.Hear(m.Era)
	if m.Kind == RosterAsk {
		n.sendRoster(&o, m.From)
		return o
	}
	if m.Kind != Beat && m.Kind != BeatOK && m.Kind != Yield && int(m.Slot) >= len(n.slots) {
		o.Events = append(o.Events, fmt.Sprintf("unheard=%s slot=%d", m.From, m.Slot))
		return o
	}
	switch m.Kind {
	case Beat:
		n.onBeat(now, m, &o)
	case Yield:
		for _, k := range m.Marks {
			if int(k.Slot) >= len(n.slots) {
				continue
			}
			if s := n.slots[k.Slot]; s.owner == m.From && s.ownerEp == k.Epoch && s.promised <= k.Epoch {
				s.owner, s.heldUntil = "", now
			}
		}
	case BeatOK:
		n.onBeatOK(now, m, &o)
	case Seek:
		n.onSeek(now, m, &o)
	case SeekOK:
		if s := n.slots[m.Slot]; s.st == seeking && s.epoch == m.Epoch {
			s.replies[m.From] = m
			n.elected(now, m.Slot, s, &o)
		}
	case SeekNo:
		n.onSeekNo(now, m, &o)
	case Write:
		n.onWrite(now, m, &o)
	case WriteOK:
		if s := n.slots[m.Slot]; s.st >= finishing && s.epoch == m.Epoch {
			n.ack(now, m.Slot, s, m.From, m.Mark, &o)
		}
	case Fetch:
		n.onFetch(m, &o)
	case Fill:
		n.onFill(now, m, &o)
	}
	return o
}

// onSeekNo gives up once no majority can grant any more, or one asks for more than this
// node knew of. What the refuser holds off is its own matter: this node only waits.
func (n *Node) onSeekNo(now int64, m Msg, o *Out) {
	s := n.slots[m.Slot]
	if s.st != seeking || s.epoch != m.Epoch {
		return
	}
	s.refused[m.From] = true
	s.waitUntil = max(s.waitUntil, now+m.At)
	if m.Promised < m.Epoch && len(s.refused) <= len(n.roster.Voters)-n.roster.Majority() {
		return
	}
	n.retreat(now, s, o)
	s.nextTry = now + n.p.Beat*(1+n.rank(now, m.Slot))
	if m.Promised > s.promised {
		n.promise(now, m.Slot, s, m.Promised, o)
	}
}

func (n *Node) promise(_ int64, i uint16, s *slot, e uint64, o *Out) {
	s.promised = e
	n.rec(o, Rec{Kind: RecPromise, Slot: i, Epoch: e})
}

// yield steps back when another owner with a higher epoch is seen.
func (n *Node) yield(now int64, s *slot, e uint64, o *Out) {
	if s.st != idle && s.epoch < e {
		n.retreat(now, s, o)
	}
}

func (n *Node) onBeat(now int64, m Msg, o *Out) {
	var ms []Mark
	for _, k := range m.Marks {
		if int(k.Slot) >= len(n.slots) {
			continue
		}
		s := n.slots[k.Slot]
		if k.Epoch < s.promised {
			// There is an owner that this voter can't follow: it is told by how much.
			s.waitUntil = max(s.waitUntil, now+n.p.Term)
			ms = append(ms, Mark{Slot: k.Slot, Epoch: s.promised})
			continue
		}
		n.yield(now, s, k.Epoch, o)
		if k.Epoch > s.promised {
			n.promise(now, k.Slot, s, k.Epoch, o)
		}
		s.owner, s.ownerEp = m.From, k.Epoch
		if k.Firm {
			s.firm = n.roster.Rev
		}
		s.heldUntil = max(s.heldUntil, now+n.p.Term)
		if s.joined == k.Epoch && s.settled.Less(k.Settled) {
			s.settled = k.Settled
		}
		n.follow(now, k.Slot, s, k.Last, o)
		a := Mark{Slot: k.Slot, Epoch: k.Epoch}
		if s.joined == k.Epoch {
			// Said again at every beat: a lost WriteOK must not hold a change up.
			a.Last = s.mark
		}
		ms = append(ms, a)
	}
	// The promise to hold off others must itself be on disk when it names a
	// new epoch, or a power loss could let two owners in.
	n.after(now, o, func(_ int64, o *Out) { n.send(o, m.From, Msg{Kind: BeatOK, At: m.At, Marks: ms}) })
}

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

func (n *Node) onBeatOK(now int64, m Msg, o *Out) {
	for _, k := range m.Marks {
		if int(k.Slot) >= len(n.slots) {
			continue
		}
		s := n.slots[k.Slot]
		if s.st >= finishing && k.Epoch > s.epoch {
			if s.outbid <= s.epoch {
				s.outbidAt = now
			}
			s.outbid = max(s.outbid, k.Epoch)
		}
		if s.st >= finishing && s.epoch == k.Epoch && m.At <= now {
			s.beatOK[m.From] = max(s.beatOK[m.From], m.At)
			n.renew(now, s)
			if k.Last != (Ver{}) {
				n.ack(now, k.Slot, s, m.From, k.Last, o)
			}
		}
	}
}

func (n *Node) onSeek(now int64, m Msg, o *Out) {
	s := n.slots[m.Slot]
	held := max(s.heldUntil, n.bootAt+n.p.Term) - now
	// The live owner itself may win its slot anew: its lease guards nobody else.
	if m.Epoch <= s.promised || held > 0 && m.From != s.owner {
		n.send(o, m.From, Msg{Kind: SeekNo, Slot: m.Slot, Epoch: m.Epoch, Promised: s.promised, At: max(0, held)})
		return
	}
	n.yield(now, s, m.Epoch, o)
	n.promise(now, m.Slot, s, m.Epoch, o)
	es, absent := s.since(m.Mark, m.Keys)
	r := Msg{Kind: SeekOK, Slot: m.Slot, Epoch: m.Epoch, Joined: s.joined, Settled: s.settled, Entries: es, Keys: absent}
	n.after(now, o, func(_ int64, o *Out) { n.send(o, m.From, r) })
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

// dutyPrefix marks keys that are leases.
const dutyPrefix = "duty/"

func isDuty(k string) bool { return strings.HasPrefix(k, dutyPrefix) }
