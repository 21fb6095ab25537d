package quorum

// Receive handles a message from another voter. It is ignored if the voter set does not have
// its sender with that incarnation (design §4.6).
func (n *Node) Receive(now int64, message Message) Ready {
	var ready Ready
	if n.isFromVoter(message) {
		n.lastHeard[message.From] = now
	}
	if message.VoterSetRevision != n.voterSet.Revision && message.From != n.config.Name {
		n.handleVoterSetMismatch(now, message, &ready)
		return ready
	}
	if !n.isFromVoter(message) || message.From == n.config.Name || !n.isVoter() {
		ready.event(Event{Type: EventUnknownSender, Peer: message.From, Incarnation: message.Incarnation,
			VoterSetRevision: message.VoterSetRevision})
		return ready
	}
	n.ObserveGeneration(message.Generation)
	if !message.Type.concernsSlot() {
		n.handleNodeMessage(now, message, &ready)
		return ready
	}
	if int(message.Slot) >= len(n.slots) {
		ready.event(Event{Type: EventUnknownSlot, Peer: message.From, Slot: message.Slot})
		return ready
	}
	n.handleSlotMessage(now, n.slots[message.Slot], message, &ready)
	return ready
}

// isFromVoter reports whether the sender is a voter with the incarnation in the message.
func (n *Node) isFromVoter(message Message) bool {
	voter, ok := n.voterSet.Find(message.From)
	return ok && voter.Incarnation == message.Incarnation
}

func (n *Node) handleNodeMessage(now int64, message Message, ready *Ready) {
	switch message.Type {
	case MsgHeartbeat:
		n.handleHeartbeat(now, message, ready)
	case MsgHeartbeatAck:
		n.handleHeartbeatAck(now, message, ready)
	case MsgStepDown:
		n.handleStepDown(now, message)
	case MsgLeaving:
		n.leavingSince[message.From] = now
	case MsgVoterSetRequest:
		n.send(ready, message.From, n.voterSetMessage())
	}
}

func (n *Node) handleSlotMessage(now int64, replica *slotReplica, message Message, ready *Ready) {
	switch message.Type {
	case MsgVoteRequest:
		n.handleVoteRequest(now, replica, message, ready)
	case MsgVoteGranted:
		n.handleVoteGranted(now, replica, message, ready)
	case MsgVoteRejected:
		n.handleVoteRejected(now, replica, message, ready)
	case MsgAppend:
		n.handleAppend(now, replica, message, ready)
	case MsgAppendAck:
		n.handleAppendAck(now, replica, message, ready)
	case MsgSnapshotRequest:
		n.handleSnapshotRequest(replica, message, ready)
	case MsgSnapshotChunk:
		n.handleSnapshotChunk(now, replica, message, ready)
	}
}
