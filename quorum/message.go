package quorum

import "strconv"

// MessageType names a message between voters (design §4.2). The numbers are sent.
type MessageType uint8

const (
	// MsgHeartbeat renews the leases of the slots that its sender leads.
	MsgHeartbeat MessageType = iota + 1
	// MsgHeartbeatAck answers it, and repeats what the sender has on disk.
	MsgHeartbeatAck
	// MsgVoteRequest asks for a promise to follow the sender in a term.
	MsgVoteRequest
	// MsgVoteGranted carries a promise and what its sender has beyond the candidate.
	MsgVoteGranted
	// MsgVoteRejected says why and for how long there is no promise.
	MsgVoteRejected
	// MsgAppend carries a change of a slot.
	MsgAppend
	// MsgAppendAck says up to which position the sender has the log on disk.
	MsgAppendAck
	// MsgSnapshotRequest asks a leader for the changes after a position.
	MsgSnapshotRequest
	// MsgSnapshotChunk carries some of them.
	MsgSnapshotChunk
	// MsgVoterSetRequest asks for a newer voter set.
	MsgVoterSetRequest
	// MsgVoterSet carries the voter set in force at its sender.
	MsgVoterSet
	// MsgStepDown says that its sender has given slots up, so that nobody waits for their
	// leases to end.
	MsgStepDown
	// MsgLeaving says that its sender is about to stop.
	MsgLeaving
)

var messageTypeNames = [...]string{
	MsgHeartbeat:       "heartbeat",
	MsgHeartbeatAck:    "heartbeat_ack",
	MsgVoteRequest:     "vote_request",
	MsgVoteGranted:     "vote_granted",
	MsgVoteRejected:    "vote_rejected",
	MsgAppend:          "append",
	MsgAppendAck:       "append_ack",
	MsgSnapshotRequest: "snapshot_request",
	MsgSnapshotChunk:   "snapshot_chunk",
	MsgVoterSetRequest: "voter_set_request",
	MsgVoterSet:        "voter_set",
	MsgStepDown:        "step_down",
	MsgLeaving:         "leaving",
}

func (t MessageType) String() string { return enumName(messageTypeNames[:], uint8(t)) }

// enumName is the name of an enumerated value, or its number if it has none.
func enumName(names []string, value uint8) string {
	if int(value) < len(names) && names[value] != "" {
		return names[value]
	}
	return strconv.Itoa(int(value))
}

// concernsSlot reports whether Message.Slot names the slot that a message is about.
func (t MessageType) concernsSlot() bool {
	switch t {
	case MsgHeartbeat, MsgHeartbeatAck, MsgVoterSetRequest, MsgStepDown, MsgLeaving:
		return false
	default:
		return true
	}
}

// SlotProgress says how far a slot is: in MsgHeartbeat at its leader, in MsgHeartbeatAck on
// the follower's disk. In MsgStepDown only Slot and Term are set.
type SlotProgress struct {
	Slot            uint16
	Term            uint64
	Last, Committed Position
	// Recovered says that the slot was recovered under the present voter set.
	Recovered bool
}

// Message is any message between voters; fields that its type does not use stay zero.
type Message struct {
	Type MessageType
	// From and Incarnation name the sender, VoterSetRevision the set that it goes by.
	From             string
	Incarnation      uint64
	VoterSetRevision uint64
	Slot             uint16
	Term             uint64
	// Time is in microseconds: in MsgHeartbeat the sender's clock, which MsgHeartbeatAck
	// echoes; in MsgVoteRejected for how long the sender votes for nobody.
	Time int64
	// Previous is, in MsgAppend, the position before the first entry; in snapshot messages
	// the position up to which earlier chunks reached.
	Previous Position
	// Last is the position up to which the sender has the log (MsgAppendAck), is certain of
	// what it has (MsgVoteRequest, MsgSnapshotRequest), or has filled it (MsgSnapshotChunk).
	Last      Position
	Committed Position
	// LogTerm is the term whose log a vote's entries belong to.
	LogTerm uint64
	// Joining says that the asker of a snapshot does not follow the leader's log yet.
	Joining bool
	Entries []Entry
	// Keys are those whose newest change the asker is uncertain of; in answers, those of
	// them that do not exist.
	Keys     []string
	Progress []SlotProgress
	// Promised is the term promised by a voter that rejects a candidate.
	Promised uint64
	// Generation is the newest generation of claims that the sender knows of.
	Generation uint64
	// More says of MsgSnapshotRequest that the asker takes chunks, and of MsgSnapshotChunk
	// that another one follows.
	More bool
}

// Envelope is a message and the name of the voter that it goes to.
type Envelope struct {
	To      string
	Message Message
}
