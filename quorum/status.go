package quorum

// SlotStatus is what a node knows of one slot, for operators.
type SlotStatus struct {
	// Leader is the name of the leader last heard of, or "".
	Leader string
	// Term is the highest that this node promised to follow.
	Term uint64
	// IsLeader says that this node leads the slot under a live lease.
	IsLeader bool
	// Keys counts the slot's registers here.
	Keys            int
	Last, Committed Position
}

// Status lists what this node knows of every slot, by number.
func (n *Node) Status(now int64) []SlotStatus {
	var slots []SlotStatus
	for _, replica := range n.slots {
		slots = append(slots, SlotStatus{
			Leader:    replica.leader,
			Term:      replica.promised,
			IsLeader:  replica.serves(now),
			Keys:      len(replica.entries),
			Last:      replica.last,
			Committed: replica.committed,
		})
	}
	return slots
}

// Leader names the leader of a key's slot that this node last heard of, or "".
func (n *Node) Leader(key string) string { return n.slotOf(key).leader }

// StateBytes is the size of the live state, as it counts against Config.MaxStateBytes.
func (n *Node) StateBytes() int { return n.stateBytes }

// TimeSinceHeard is how long, in microseconds, a voter has not been heard. It counts from the
// start, from the step that let the voter in, and from the end of a pause of this process:
// what this node could not hear proves nothing.
func (n *Node) TimeSinceHeard(now int64, name string) int64 {
	if name == n.config.Name || now-n.lastTickAt > maxTickGap {
		return 0
	}
	return now - max(n.lastHeard[name], n.admittedAt[name], n.listeningSince)
}
