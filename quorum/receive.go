package quorum

import "fmt"

// Recv takes a message from another voter. A sender that the roster does not
// know under that incarnation is not heard (design §4.6).
func (n *Node) Receive(now int64, m Message) Ready {
	var o Ready
	if v, ok := n.voterSet.Find(m.From); ok && v.Incarnation == m.Incarnation {
		n.lastHeard[m.From] = now
	}
	if m.VoterSetRevision != n.voterSet.Revision && m.From != n.config.Name {
		n.handleOtherVoterSet(now, m, &o)
		return o
	}
	v, ok := n.voterSet.Find(m.From)
	if !ok || v.Incarnation != m.Incarnation || m.From == n.config.Name || !n.isVoter() {
		o.Events = append(o.Events, fmt.Sprintf("unheard=%s inc=%d roster=%d", m.From, m.Incarnation, m.VoterSetRevision))
		return o
	}
	n.ObserveGeneration(m.Generation)
	if m.Type == MsgVoterSetRequest {
		n.sendVoterSet(&o, m.From)
		return o
	}
	if m.Type != MsgHeartbeat && m.Type != MsgHeartbeatAck && m.Type != MsgStepDown && m.Type != MsgLeaving && int(m.Slot) >= len(n.slots) {
		o.Events = append(o.Events, fmt.Sprintf("unheard=%s slot=%d", m.From, m.Slot))
		return o
	}
	switch m.Type {
	case MsgHeartbeat:
		n.handleHeartbeat(now, m, &o)
	case MsgStepDown:
		for _, k := range m.Progress {
			if int(k.Slot) >= len(n.slots) {
				continue
			}
			if s := n.slots[k.Slot]; s.leader == m.From && s.leaderTerm == k.Term && s.promised <= k.Term {
				s.leader, s.noVoteUntil = "", now
			}
		}
	case MsgLeaving:
		n.leavingSince[m.From] = now
	case MsgHeartbeatAck:
		n.handleHeartbeatAck(now, m, &o)
	case MsgVoteRequest:
		n.handleVoteRequest(now, m, &o)
	case MsgVoteGranted:
		if s := n.slots[m.Slot]; s.state == stateCandidate && s.term == m.Term {
			s.votes[m.From] = m
			n.countVotes(now, m.Slot, s, &o)
		}
	case MsgVoteRejected:
		n.handleVoteRejected(now, m, &o)
	case MsgAppend:
		n.handleAppend(now, m, &o)
	case MsgAppendAck:
		if s := n.slots[m.Slot]; s.state >= stateRecovering && s.term == m.Term {
			n.acknowledge(now, m.Slot, s, m.From, m.Last, &o)
		}
	case MsgSnapshotRequest:
		n.handleSnapshotRequest(m, &o)
	case MsgSnapshotChunk:
		n.handleSnapshotChunk(now, m, &o)
	}
	return o
}
