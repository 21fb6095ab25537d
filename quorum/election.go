package quorum

import (
	"fmt"
	"sort"
)

// hears tells whether a majority was heard lately. Without one a slot can't be won, and
// the promise that seeking it takes would only keep this node from following its owner.
func (n *Node) hearsMajority(now int64) bool {
	c := 0
	for _, v := range n.voterSet.Voters {
		if at, ok := n.lastHeard[v.Name]; v.Name == n.config.Name || ok && now-at < SuspectAfter {
			c++
		}
	}
	return c >= n.voterSet.Majority()
}

// rank is this node's place in line for a slot, so that candidates do not duel. It goes
// by round robin, so that every voter starts with its fair part; who is silent is passed,
// and who lacks the slot's line comes last, since it would have to be sent all of it.
func (n *Node) campaignRank(now int64, i uint16) int64 {
	vs := make([]string, 0, len(n.voterSet.Voters))
	for _, v := range n.voterSet.Voters {
		vs = append(vs, v.Name)
	}
	sort.Strings(vs)
	var r int64
	if n.slots[i].lacksLog() && n.voterSet.Step() > 1 {
		r = int64(len(vs))
	}
	for k := range vs {
		v := vs[(int(i)+k)%len(vs)]
		if v == n.config.Name {
			return r
		}
		if n.Silence(now, v) < SuspectAfter {
			r++
		}
	}
	return r
}

func (n *Node) tickSlot(now int64, i uint16, s *slotReplica, o *Ready) {
	n.forgetClosedClaims(i, s)
	switch s.state {
	case stateFollower:
		if n.leaving {
			return
		}
		free := max(s.noVoteUntil, s.noCampaignUntil, n.noCampaignBefore)
		if !n.hearsMajority(now) {
			return
		}
		if s.campaignAtOnce && now >= s.nextCampaignAt || now >= free+n.campaignRank(now, i)*2*n.config.HeartbeatInterval && now >= s.nextCampaignAt {
			s.campaignAtOnce = false
			n.campaign(now, i, s, o)
		}
	case stateCandidate:
		if now-s.campaignStartedAt > n.config.LeaseDuration/2 {
			n.becomeFollower(now, s, o)
			s.nextCampaignAt = now + n.config.HeartbeatInterval*(1+n.campaignRank(now, i))
		}
	default:
		if s.leaseUntil > 0 && now >= s.leaseUntil || s.leaseUntil == 0 && now-s.campaignStartedAt > n.config.LeaseDuration {
			n.becomeFollower(now, s, o)
			o.Events = append(o.Events, fmt.Sprintf("slot=%d lost=lease epoch=%d", i, s.term))
			return
		}
		if s.higherTerm > s.term && now-s.higherTermSeenAt > 3*n.config.HeartbeatInterval && len(s.pendingOrder) == 0 {
			// A candidate that failed keeps its promise to itself and would never
			// follow: the slot is won anew above it, while the lease keeps others off.
			s.promised = max(s.promised, s.higherTerm)
			n.becomeFollower(now, s, o)
			n.campaign(now, i, s, o)
			return
		}
		if s.state == stateLeader {
			n.tickGenerations(now, i, s, o)
			if e, ok := s.committedEntry(VoterSetKey); ok {
				if r, err := ParseVoterSet(e.Value); err == nil {
					n.installVoterSet(now, r, o)
				}
			}
			if i == SlotOf(VoterSetKey, n.config.Slots) {
				n.removeSurplus(now, o)
			}
		}
	}
}

// retreat gives the slot up. What is still being written is answered Unknown.
func (n *Node) becomeFollower(now int64, s *slotReplica, o *Ready) {
	for _, p := range s.pendingOrder {
		if p.operation.ID != 0 {
			o.Results = append(o.Results, Result{ID: p.operation.ID, Status: StatusUnknown})
		}
		for _, q := range p.queued {
			o.Results = append(o.Results, Result{ID: q.ID, Status: StatusNotLeader})
		}
	}
	s.state, s.votes, s.pendingOrder, s.pendingByKey, s.acknowledged, s.heartbeatAcked, s.roleLeaseUntil = stateFollower, nil, nil, nil, nil, nil, nil
	s.leaseUntil, s.higherTerm = 0, 0
	if s.leader == n.config.Name {
		s.leader = ""
	}
	s.nextCampaignAt = now + n.config.LeaseDuration/2
}

func (n *Node) campaign(now int64, i uint16, s *slotReplica, o *Ready) {
	e := (s.promised>>16+1)<<16 | uint64(n.self.Number)
	s.state, s.term, s.campaignStartedAt, s.promised = stateCandidate, e, now, e
	s.votes, s.rejections = map[string]Message{}, map[string]bool{}
	n.appendRecord(o, Record{Type: RecordPromise, Slot: i, Term: e})
	n.afterSync(now, o, func(now int64, o *Ready) {
		if s.state == stateCandidate && s.term == e {
			s.votes[n.config.Name] = Message{LogTerm: s.logTerm, Committed: s.committed}
			n.countVotes(now, i, s, o)
		}
	})
	// It goes out once the promise is on disk: else, after a loss of power, an answer to
	// this life's question could be taken for one to the next life's, of the same epoch.
	m := Message{Type: MsgVoteRequest, Slot: i, Term: e, Last: s.certain(), Keys: s.uncertainKeys()}
	n.afterSync(now, o, func(_ int64, o *Ready) {
		if s.state == stateCandidate && s.term == e {
			n.forEachPeer(func(v string) { n.send(o, v, m) })
		}
	})
}

// elected merges what a majority holds once enough have answered (design §4.3).
func (n *Node) countVotes(now int64, i uint16, s *slotReplica, o *Ready) {
	if _, self := s.votes[n.config.Name]; !self || len(s.votes) < n.voterSet.Majority() {
		return
	}
	var j uint64
	for _, m := range s.votes {
		j = max(j, m.LogTerm)
	}
	// Only the newest line counts: what an older line holds beyond its settled
	// mark was either carried into the newer one or never settled.
	sure, doubt, was := s.certain(), s.uncertainKeys(), s.logTerm
	var c Position
	got := map[string]Entry{}
	if was == j {
		c = s.committed
		for _, k := range doubt {
			got[k] = s.entries[k]
		}
	}
	for v, m := range s.votes {
		if v == n.config.Name || m.LogTerm != j {
			continue
		}
		if c.Before(m.Committed) {
			c = m.Committed
		}
		for _, e := range m.Entries {
			if g, ok := got[e.Key]; !ok || g.Position.Before(e.Position) {
				got[e.Key] = e
			}
		}
	}
	var es []Entry
	for _, e := range got {
		es = append(es, e)
	}
	sort.Slice(es, func(a, b int) bool {
		return es[a].Position.Before(es[b].Position) || es[a].Position == es[b].Position && es[a].Key < es[b].Key
	})
	for _, e := range es {
		n.stageEntry(i, s, e, was, sure, o)
	}
	for _, k := range doubt {
		if _, ok := got[k]; !ok {
			n.deleteEntry(i, s, k, o)
		}
	}
	s.snapshot = nil
	s.state, s.lastIndex, s.logTerm, s.last, s.committed = stateRecovering, 0, s.term, Position{s.term, 0}, c
	s.acknowledged, s.pendingByKey, s.roleLeaseUntil, s.pendingOrder = map[string]Position{}, map[string]*pendingChange{}, map[string]int64{}, nil
	n.recordLogState(i, s, o)
	s.leader, s.leaderTerm = n.config.Name, s.term
	s.heartbeatAcked = map[string]int64{}
	e := s.term
	n.afterSync(now, o, func(now int64, o *Ready) {
		if s.term == e && s.state >= stateRecovering {
			n.acknowledge(now, i, s, n.config.Name, Position{e, 0}, o)
		}
	})
	o.Events = append(o.Events, fmt.Sprintf("slot=%d won=%d read=%d", i, s.term, len(es)))
	n.heartbeatSentAt = 0 // beat at the next tick, so that the lease begins at once
}

// onSeekNo gives up once no majority can grant any more, or one asks for more than this
// node knew of. What the refuser holds off is its own matter: this node only waits.
func (n *Node) handleVoteRejected(now int64, m Message, o *Ready) {
	s := n.slots[m.Slot]
	if s.state != stateCandidate || s.term != m.Term {
		return
	}
	s.rejections[m.From] = true
	s.noCampaignUntil = max(s.noCampaignUntil, now+m.Time)
	if m.Promised < m.Term && len(s.rejections) <= len(n.voterSet.Voters)-n.voterSet.Majority() {
		return
	}
	n.becomeFollower(now, s, o)
	s.nextCampaignAt = now + n.config.HeartbeatInterval*(1+n.campaignRank(now, m.Slot))
	if m.Promised > s.promised {
		n.promise(now, m.Slot, s, m.Promised, o)
	}
}

func (n *Node) promise(_ int64, i uint16, s *slotReplica, e uint64, o *Ready) {
	s.promised = e
	n.appendRecord(o, Record{Type: RecordPromise, Slot: i, Term: e})
}

// yield steps back when another owner with a higher epoch is seen.
func (n *Node) followHigherTerm(now int64, s *slotReplica, e uint64, o *Ready) {
	if s.state != stateFollower && s.term < e {
		n.becomeFollower(now, s, o)
	}
}

func (n *Node) handleVoteRequest(now int64, m Message, o *Ready) {
	s := n.slots[m.Slot]
	held := max(s.noVoteUntil, n.startedAt+n.config.LeaseDuration) - now
	// The live owner itself may win its slot anew: its lease guards nobody else.
	if m.Term <= s.promised || held > 0 && m.From != s.leader {
		n.send(o, m.From, Message{Type: MsgVoteRejected, Slot: m.Slot, Term: m.Term, Promised: s.promised, Time: max(0, held)})
		return
	}
	n.followHigherTerm(now, s, m.Term, o)
	n.promise(now, m.Slot, s, m.Term, o)
	es, absent := s.changesSince(m.Last, m.Keys)
	r := Message{Type: MsgVoteGranted, Slot: m.Slot, Term: m.Term, LogTerm: s.logTerm, Committed: s.committed, Entries: es, Keys: absent}
	n.afterSync(now, o, func(_ int64, o *Ready) { n.send(o, m.From, r) })
}
