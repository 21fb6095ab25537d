package quorum

// RecordType is the type of a record on disk (design §4.4). The numbers are stored.
type RecordType uint8

const (
	// RecordPromise holds the term that a voter promised to follow.
	RecordPromise RecordType = iota + 1
	// RecordEntry holds a register, and the state of the log that it belongs to.
	RecordEntry
	// RecordDelete deletes a register.
	RecordDelete
	// RecordLogState holds which log a replica follows, and how much of it the replica has. It
	// ends a batch of entries of a newer log: until it is on disk, the older log stays current.
	RecordLogState
	// RecordVoterSet holds a voter set in force.
	RecordVoterSet
)

var recordTypeNames = [...]string{
	RecordPromise:  "promise",
	RecordEntry:    "entry",
	RecordDelete:   "delete",
	RecordLogState: "log_state",
	RecordVoterSet: "voter_set",
}

func (t RecordType) String() string { return enumName(recordTypeNames[:], uint8(t)) }

// Record is a record on disk; fields that its type does not use are zero.
type Record struct {
	Type RecordType
	Slot uint16
	// Term is the promised term, or the term of the log.
	Term uint64
	// Last and Committed are the state of the log once the record is on disk.
	Last      Position
	Committed Position
	Entry     Entry
	VoterSet  *VoterSet
}

// replayRecord applies a record read from disk. Records of slots that this configuration does
// not have are skipped.
func (n *Node) replayRecord(record Record) {
	if record.Type == RecordVoterSet {
		if record.VoterSet != nil && record.VoterSet.Revision > n.voterSet.Revision {
			n.voterSet = *record.VoterSet
		}
		return
	}
	if int(record.Slot) >= len(n.slots) {
		return
	}
	replica := n.slots[record.Slot]
	switch record.Type {
	case RecordPromise:
		replica.promised = max(replica.promised, record.Term)
	case RecordEntry:
		n.store(replica, record.Entry)
		replica.replayLogState(record)
	case RecordDelete:
		n.remove(replica, record.Entry.Key)
	case RecordLogState:
		replica.replayLogState(record)
	}
}

func (r *slotReplica) replayLogState(record Record) {
	r.logTerm, r.last, r.committed = record.Term, record.Last, record.Committed
}

// Checkpoint returns records that represent the whole state, so that the caller can drop all
// records emitted before.
func (n *Node) Checkpoint() []Record {
	set := n.voterSet
	records := []Record{{Type: RecordVoterSet, VoterSet: &set}}
	for _, replica := range n.slots {
		records = append(records, Record{Type: RecordPromise, Slot: replica.id, Term: replica.promised})
		state := replica.logState()
		for _, change := range replica.changedAfter(Position{}) {
			entry := state
			entry.Type, entry.Entry = RecordEntry, replica.entries[change.key]
			records = append(records, entry)
		}
		records = append(records, state)
	}
	return records
}
