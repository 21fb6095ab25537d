package quorum

import "fmt"

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
	if m.Kind != Beat && m.Kind != BeatOK && m.Kind != Yield && m.Kind != Leaving && int(m.Slot) >= len(n.slots) {
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
	case Leaving:
		n.leavers[m.From] = now
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
