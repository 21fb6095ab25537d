package quorum

import (
	"fmt"
	"sort"
)

// hears tells whether a majority was heard lately. Without one a slot can't be won, and
// the promise that seeking it takes would only keep this node from following its owner.
func (n *Node) hears(now int64) bool {
	c := 0
	for _, v := range n.roster.Voters {
		if at, ok := n.heard[v.Name]; v.Name == n.p.Name || ok && now-at < DoubtAfter {
			c++
		}
	}
	return c >= n.roster.Majority()
}

// rank is this node's place in line for a slot, so that candidates do not duel. It goes
// by round robin, so that every voter starts with its fair part; who is silent is passed,
// and who lacks the slot's line comes last, since it would have to be sent all of it.
func (n *Node) rank(now int64, i uint16) int64 {
	vs := make([]string, 0, len(n.roster.Voters))
	for _, v := range n.roster.Voters {
		vs = append(vs, v.Name)
	}
	sort.Strings(vs)
	var r int64
	if n.slots[i].lacking() && n.roster.Step() > 1 {
		r = int64(len(vs))
	}
	for k := range vs {
		v := vs[(int(i)+k)%len(vs)]
		if v == n.p.Name {
			return r
		}
		if n.Silence(now, v) < DoubtAfter {
			r++
		}
	}
	return r
}

func (n *Node) tickSlot(now int64, i uint16, s *slot, o *Out) {
	n.close(i, s)
	switch s.st {
	case idle:
		if n.leaving {
			return
		}
		free := max(s.heldUntil, s.waitUntil, n.seekAt)
		if !n.hears(now) {
			return
		}
		if s.first && now >= s.nextTry || now >= free+n.rank(now, i)*2*n.p.Beat && now >= s.nextTry {
			s.first = false
			n.seek(now, i, s, o)
		}
	case seeking:
		if now-s.seekAt > n.p.Term/2 {
			n.retreat(now, s, o)
			s.nextTry = now + n.p.Beat*(1+n.rank(now, i))
		}
	default:
		if s.ownUntil > 0 && now >= s.ownUntil || s.ownUntil == 0 && now-s.seekAt > n.p.Term {
			n.retreat(now, s, o)
			o.Events = append(o.Events, fmt.Sprintf("slot=%d lost=lease epoch=%d", i, s.epoch))
			return
		}
		if s.outbid > s.epoch && now-s.outbidAt > 3*n.p.Beat && len(s.order) == 0 {
			// A candidate that failed keeps its promise to itself and would never
			// follow: the slot is won anew above it, while the lease keeps others off.
			s.promised = max(s.promised, s.outbid)
			n.retreat(now, s, o)
			n.seek(now, i, s, o)
			return
		}
		if s.st == owning {
			n.tickEras(now, i, s, o)
			if e, ok := s.seen(RosterKey); ok {
				if r, err := ReadRoster(e.Val); err == nil {
					n.adoptRoster(now, r, o)
				}
			}
			if i == SlotOf(RosterKey, n.p.Slots) {
				n.shed(now, o)
			}
		}
	}
}

// retreat gives the slot up. What is still being written is answered Unknown.
func (n *Node) retreat(now int64, s *slot, o *Out) {
	for _, p := range s.order {
		if p.op.ID != 0 {
			o.Answers = append(o.Answers, Answer{ID: p.op.ID, Status: Unknown})
		}
		for _, q := range p.queue {
			o.Answers = append(o.Answers, Answer{ID: q.ID, Status: NotOwner})
		}
	}
	s.st, s.replies, s.order, s.pend, s.acked, s.beatOK, s.holds = idle, nil, nil, nil, nil, nil, nil
	s.ownUntil, s.outbid = 0, 0
	if s.owner == n.p.Name {
		s.owner = ""
	}
	s.nextTry = now + n.p.Term/2
}

func (n *Node) seek(now int64, i uint16, s *slot, o *Out) {
	e := (s.promised>>16+1)<<16 | uint64(n.me.Num)
	s.st, s.epoch, s.seekAt, s.promised = seeking, e, now, e
	s.replies, s.refused = map[string]Msg{}, map[string]bool{}
	n.rec(o, Rec{Kind: RecPromise, Slot: i, Epoch: e})
	n.after(now, o, func(now int64, o *Out) {
		if s.st == seeking && s.epoch == e {
			s.replies[n.p.Name] = Msg{Joined: s.joined, Settled: s.settled}
			n.elected(now, i, s, o)
		}
	})
	// It goes out once the promise is on disk: else, after a loss of power, an answer to
	// this life's question could be taken for one to the next life's, of the same epoch.
	m := Msg{Kind: Seek, Slot: i, Epoch: e, Mark: s.sure(), Keys: s.doubts()}
	n.after(now, o, func(_ int64, o *Out) {
		if s.st == seeking && s.epoch == e {
			n.others(func(v string) { n.send(o, v, m) })
		}
	})
}

// elected merges what a majority holds once enough have answered (design §4.3).
func (n *Node) elected(now int64, i uint16, s *slot, o *Out) {
	if _, self := s.replies[n.p.Name]; !self || len(s.replies) < n.roster.Majority() {
		return
	}
	var j uint64
	for _, m := range s.replies {
		j = max(j, m.Joined)
	}
	// Only the newest line counts: what an older line holds beyond its settled
	// mark was either carried into the newer one or never settled.
	sure, doubt, was := s.sure(), s.doubts(), s.joined
	var c Ver
	got := map[string]Entry{}
	if was == j {
		c = s.settled
		for _, k := range doubt {
			got[k] = s.ent[k]
		}
	}
	for v, m := range s.replies {
		if v == n.p.Name || m.Joined != j {
			continue
		}
		if c.Less(m.Settled) {
			c = m.Settled
		}
		for _, e := range m.Entries {
			if g, ok := got[e.Key]; !ok || g.Ver.Less(e.Ver) {
				got[e.Key] = e
			}
		}
	}
	var es []Entry
	for _, e := range got {
		es = append(es, e)
	}
	sort.Slice(es, func(a, b int) bool {
		return es[a].Ver.Less(es[b].Ver) || es[a].Ver == es[b].Ver && es[a].Key < es[b].Key
	})
	for _, e := range es {
		n.adopt(i, s, e, was, sure, o)
	}
	for _, k := range doubt {
		if _, ok := got[k]; !ok {
			n.forget(i, s, k, o)
		}
	}
	s.snapshot = nil
	s.st, s.seq, s.joined, s.mark, s.settled = finishing, 0, s.epoch, Ver{s.epoch, 0}, c
	s.acked, s.pend, s.holds, s.order = map[string]Ver{}, map[string]*pending{}, map[string]int64{}, nil
	n.join(i, s, o)
	s.owner, s.ownerEp = n.p.Name, s.epoch
	s.beatOK = map[string]int64{}
	e := s.epoch
	n.after(now, o, func(now int64, o *Out) {
		if s.epoch == e && s.st >= finishing {
			n.ack(now, i, s, n.p.Name, Ver{e, 0}, o)
		}
	})
	o.Events = append(o.Events, fmt.Sprintf("slot=%d won=%d read=%d", i, s.epoch, len(es)))
	n.beatAt = 0 // beat at the next tick, so that the lease begins at once
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
