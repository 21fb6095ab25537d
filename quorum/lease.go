package quorum

import "sort"

func (n *Node) beat(now int64, o *Out) {
	var ms []Mark
	for i, s := range n.slots {
		if s.st >= finishing {
			ms = append(ms, Mark{uint16(i), s.epoch, Ver{s.epoch, s.seq}, s.settled, s.st == owning && s.firm == n.roster.Rev})
			if s.beatOK == nil {
				s.beatOK = map[string]int64{}
			}
			s.beatOK[n.p.Name] = now
			n.renew(now, s)
		}
	}
	n.others(func(v string) { n.send(o, v, Msg{Kind: Beat, At: now, Marks: ms}) })
	if n.leaving {
		n.others(func(v string) { n.send(o, v, Msg{Kind: Leaving}) })
	}
}

// renew works out the owner's lease: it runs from the sending of the newest
// beat that a majority answered.
func (n *Node) renew(now int64, s *slot) {
	var ts []int64
	for _, t := range s.beatOK {
		ts = append(ts, t)
	}
	if len(ts) < n.roster.Majority() {
		return
	}
	sort.Slice(ts, func(i, j int) bool { return ts[i] > ts[j] })
	if u := ts[n.roster.Majority()-1] + n.p.Term - n.p.Slack; u > s.ownUntil {
		s.ownUntil = u
	}
	s.heldUntil = max(s.heldUntil, now+n.p.Term)
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

// Leave gives all slots up ahead of a polite stop and tells the voters, so that
// others need not wait the leases out. The node seeks nothing any more, and votes on.
func (n *Node) Leave(now int64) Out {
	var o Out
	n.leaving = true
	n.yieldSlots(now, &o)
	n.others(func(v string) { n.send(&o, v, Msg{Kind: Leaving}) })
	return o
}
