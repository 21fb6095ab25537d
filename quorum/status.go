package quorum

// SlotStatus is what a node knows of one slot, for operators.
type SlotStatus struct {
	// Leader is the last known leader, or "".
	Leader string
	// Term is the highest term that this node promised to follow.
	Term uint64
	// IsLeader is whether this node leads the slot under a live lease.
	IsLeader bool
	// Keys counts the slot's registers at this node.
	Keys            int
	Last, Committed Position
}

// Status returns what this node knows of every slot, by number.
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

// Leader returns the last known leader of a key's slot, or "".
func (n *Node) Leader(key string) string { return n.slotOf(key).leader }

// StateBytes is the size of the live state that counts against Config.MaxStateBytes.
func (n *Node) StateBytes() int { return n.stateBytes }

// TimeSinceHeard returns how long ago a voter was last heard, in microseconds. It counts from
// the last message, or from the start of this process, the installation of the voter or the end
// of a suspension of this process if that was later: a time in which this node could not
// receive is no evidence of a failure.
func (n *Node) TimeSinceHeard(now int64, name string) int64 {
	if name == n.config.Name || now-n.lastTickAt > maxTickGapUS {
		return 0
	}
	return now - max(n.lastHeard[name], n.installedAt[name], n.runningSince)
}
