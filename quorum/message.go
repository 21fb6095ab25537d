package quorum

import "strconv"

// MessageType is the type of a message between voters (design §4.2). The numbers are sent.
type MessageType uint8

const (
	// MsgHeartbeat renews the leases of the slots that its sender leads.
	MsgHeartbeat MessageType = iota + 1
	// MsgHeartbeatAck acknowledges a heartbeat, and repeats which positions are on disk.
	MsgHeartbeatAck
	// MsgVoteRequest asks for a vote, and with it for a promise to follow the sender's term.
	MsgVoteRequest
	// MsgVoteGranted grants a vote, with all changes that the voter has and the candidate
	// lacks.
	MsgVoteGranted
	// MsgVoteRejected rejects a vote request, with the reason and for how long.
	MsgVoteRejected
	// MsgAppend carries a change of a slot.
	MsgAppend
	// MsgAppendAck acknowledges the position up to which the sender has the log on disk.
	MsgAppendAck
	// MsgSnapshotRequest asks a leader for the changes after a position.
	MsgSnapshotRequest
	// MsgSnapshotChunk carries a part of these changes.
	MsgSnapshotChunk
	// MsgVoterSetRequest asks for a newer voter set.
	MsgVoterSetRequest
	// MsgVoterSet carries the voter set in force at its sender.
	MsgVoterSet
	// MsgStepDown announces that its sender has given up slots, so that nobody waits for their
	// leases to expire.
	MsgStepDown
	// MsgLeaving announces that its sender is about to stop.
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

// enumName returns the name of an enum value, or its number if it has no name.
func enumName(names []string, value uint8) string {
	if int(value) < len(names) && names[value] != "" {
		return names[value]
	}
	return strconv.Itoa(int(value))
}

// concernsSlot reports whether messages of the type are about the slot in Message.Slot.
func (t MessageType) concernsSlot() bool {
	switch t {
	case MsgHeartbeat, MsgHeartbeatAck, MsgVoterSetRequest, MsgStepDown, MsgLeaving:
		return false
	default:
		return true
	}
}

// SlotProgress is the state of a slot: at the leader in MsgHeartbeat, on the follower's disk in
// MsgHeartbeatAck. In MsgStepDown only Slot and Term are set.
type SlotProgress struct {
	Slot            uint16
	Term            uint64
	Last, Committed Position
	// Recovered is whether the slot was recovered under the current voter set.
	Recovered bool
}

// Message is a message between voters; fields that its type does not use are zero.
type Message struct {
	Type MessageType
	// From and Incarnation identify the sender, VoterSetRevision the voter set that it uses.
	From             string
	Incarnation      uint64
	VoterSetRevision uint64
	Slot             uint16
	Term             uint64
	// Time is in microseconds: the sender's clock in MsgHeartbeat, which MsgHeartbeatAck
	// echoes; in MsgVoteRejected, for how long the sender grants no vote.
	Time int64
	// Previous is the position before the first entry in MsgAppend, and in snapshot messages
	// the position up to which earlier chunks reached.
	Previous Position
	// Last depends on the type. MsgAppendAck: the position up to which the sender has the log.
	// MsgVoteRequest: the position up to which the sender has all changes and knows that they
	// are committed. MsgSnapshotRequest: the same, or the last position if the sender follows
	// the leader's log already. MsgSnapshotChunk: the position that the chunks sent so far
	// reach.
	Last      Position
	Committed Position
	// LogTerm is the term of the log that the entries of a vote belong to.
	LogTerm uint64
	// Joining is whether the requester of a snapshot does not follow the leader's log yet.
	Joining bool
	Entries []Entry
	// Keys are the keys whose newest change at the requester may never be committed; in
	// answers, those of them that do not exist.
	Keys     []string
	Progress []SlotProgress
	// Promised is the highest term promised by a voter that rejects a candidate.
	Promised uint64
	// Generation is the newest claim generation that the sender knows of.
	Generation uint64
	// More is whether the requester accepts a snapshot in chunks (MsgSnapshotRequest), or
	// whether another chunk follows (MsgSnapshotChunk).
	More bool
}

// Envelope is a message with the name of its recipient.
type Envelope struct {
	To      string
	Message Message
}
