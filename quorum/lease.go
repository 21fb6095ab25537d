package quorum

import "sort"

func (n *Node) broadcastHeartbeat(now int64, o *Ready) {
	var ms []SlotProgress
	for i, s := range n.slots {
		if s.state >= stateRecovering {
			ms = append(ms, SlotProgress{uint16(i), s.term, Position{s.term, s.lastIndex}, s.committed, s.state == stateLeader && s.recoveredUnder == n.voterSet.Revision})
			if s.heartbeatAcked == nil {
				s.heartbeatAcked = map[string]int64{}
			}
			s.heartbeatAcked[n.config.Name] = now
			n.renewLease(now, s)
		}
	}
	n.forEachPeer(func(v string) { n.send(o, v, Message{Type: MsgHeartbeat, Time: now, Progress: ms}) })
	if n.leaving {
		n.forEachPeer(func(v string) { n.send(o, v, Message{Type: MsgLeaving}) })
	}
}

// renew works out the owner's lease: it runs from the sending of the newest
// beat that a majority answered.
func (n *Node) renewLease(now int64, s *slotReplica) {
	var ts []int64
	for _, t := range s.heartbeatAcked {
		ts = append(ts, t)
	}
	if len(ts) < n.voterSet.Majority() {
		return
	}
	sort.Slice(ts, func(i, j int) bool { return ts[i] > ts[j] })
	if u := ts[n.voterSet.Majority()-1] + n.config.LeaseDuration - n.config.LeaseMargin; u > s.leaseUntil {
		s.leaseUntil = u
	}
	s.noVoteUntil = max(s.noVoteUntil, now+n.config.LeaseDuration)
}

func (n *Node) handleHeartbeat(now int64, m Message, o *Ready) {
	var ms []SlotProgress
	for _, k := range m.Progress {
		if int(k.Slot) >= len(n.slots) {
			continue
		}
		s := n.slots[k.Slot]
		if k.Term < s.promised {
			// There is an owner that this voter can't follow: it is told by how much.
			s.noCampaignUntil = max(s.noCampaignUntil, now+n.config.LeaseDuration)
			ms = append(ms, SlotProgress{Slot: k.Slot, Term: s.promised})
			continue
		}
		n.followHigherTerm(now, s, k.Term, o)
		if k.Term > s.promised {
			n.promise(now, k.Slot, s, k.Term, o)
		}
		s.leader, s.leaderTerm = m.From, k.Term
		if k.Recovered {
			s.recoveredUnder = n.voterSet.Revision
		}
		s.noVoteUntil = max(s.noVoteUntil, now+n.config.LeaseDuration)
		if s.logTerm == k.Term && s.committed.Before(k.Committed) {
			s.committed = k.Committed
		}
		n.catchUp(now, k.Slot, s, k.Last, o)
		a := SlotProgress{Slot: k.Slot, Term: k.Term}
		if s.logTerm == k.Term {
			// Said again at every beat: a lost WriteOK must not hold a change up.
			a.Last = s.last
		}
		ms = append(ms, a)
	}
	// The promise to hold off others must itself be on disk when it names a
	// new epoch, or a power loss could let two owners in.
	n.afterSync(now, o, func(_ int64, o *Ready) { n.send(o, m.From, Message{Type: MsgHeartbeatAck, Time: m.Time, Progress: ms}) })
}

func (n *Node) handleHeartbeatAck(now int64, m Message, o *Ready) {
	for _, k := range m.Progress {
		if int(k.Slot) >= len(n.slots) {
			continue
		}
		s := n.slots[k.Slot]
		if s.state >= stateRecovering && k.Term > s.term {
			if s.higherTerm <= s.term {
				s.higherTermSeenAt = now
			}
			s.higherTerm = max(s.higherTerm, k.Term)
		}
		if s.state >= stateRecovering && s.term == k.Term && m.Time <= now {
			s.heartbeatAcked[m.From] = max(s.heartbeatAcked[m.From], m.Time)
			n.renewLease(now, s)
			if k.Last != (Position{}) {
				n.acknowledge(now, k.Slot, s, m.From, k.Last, o)
			}
		}
	}
}

// Leave gives all slots up ahead of a polite stop and tells the voters, so that
// others need not wait the leases out. The node seeks nothing any more, and votes on.
func (n *Node) Leave(now int64) Ready {
	var o Ready
	n.leaving = true
	n.stepDownFromAll(now, &o)
	n.forEachPeer(func(v string) { n.send(&o, v, Message{Type: MsgLeaving}) })
	return o
}
