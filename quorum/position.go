// Package quorum keeps small registers on a majority of synced disks.
//
// Keys hash to slots. A slot has one owner at a time; the owner wins an epoch
// from a majority, reads back what they hold, finishes what is in doubt and
// only then answers. There is no common log and no leader for all keys
// (design §4). The package is pure: events go in, effects come out, and the
// caller owns the clock, the wires and the disk.
package quorum

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// Ver orders the changes of one slot: first by owner's epoch, then by count.
type Position struct{ Term, Index uint64 }

// Less reports whether a comes before b.
func (p Position) Before(other Position) bool {
	return p.Term < other.Term || p.Term == other.Term && p.Index < other.Index
}

// Entry is one register. Rev counts the changes of its key and never falls.
type Entry struct {
	Key      string
	Position Position
	Revision uint64
	Value    []byte
}

// Kind names a message between voters.
type MessageType uint8

// The messages between voters (design §4.2).
const (
	MsgHeartbeat MessageType = iota + 1
	MsgHeartbeatAck
	MsgVoteRequest
	MsgVoteGranted
	MsgVoteRejected
	MsgAppend
	MsgAppendAck
	MsgSnapshotRequest
	MsgSnapshotChunk
	MsgVoterSetRequest
	MsgVoterSet
	MsgStepDown
	MsgLeaving
)

// Mark tells of one slot in a Beat or BeatOK.
type SlotProgress struct {
	Slot            uint16
	Term            uint64
	Last, Committed Position
	Recovered       bool // won and finished under the present roster
}

// Msg is any message between voters; unused fields stay zero.
type Message struct {
	Type             MessageType
	From             string
	Incarnation      uint64
	VoterSetRevision uint64
	Slot             uint16
	Term             uint64
	Time             int64
	Previous         Position
	Last             Position
	Committed        Position
	LogTerm          uint64
	Joining          bool
	Entries          []Entry
	Keys             []string
	Progress         []SlotProgress
	Promised         uint64
	Generation       uint64 // newest that the sender heard of, with beats
	// More says of a Fetch that it takes a snapshot in parts, and of a Fill that
	// another part follows.
	More bool
}

// RecKind names a record on disk.
type RecordType uint8

// The records a voter keeps on disk (design §4.4).
const (
	RecordPromise RecordType = iota + 1
	RecordEntry
	RecordDelete
	RecordLogState
	RecordVoterSet
)

// Rec is a record on disk.
type Record struct {
	Type      RecordType
	Slot      uint16
	Term      uint64
	Last      Position
	Committed Position
	Entry     Entry
	VoterSet  *VoterSet
}

// OpKind names what a caller asks of a key.
type OperationType uint8

// The operations on a key.
const (
	OpGet OperationType = iota + 1
	OpPut
	OpAcquire
	OpRelease
	OpClaim
	OpUnclaim
)

// AnyRev as Op.Expect accepts whatever revision the key has.
const AnyRevision = ^uint64(0)

// Op is what a caller asks. For OpPut, Expect is the revision the key must
// have (0: absent). For OpHold and OpFree, Holder and Term describe a duty's
// lease (design §4.5).
type Operation struct {
	ID               uint64
	Type             OperationType
	Key              string
	Value            []byte
	ExpectedRevision uint64
	Holder           string
	LeaseDuration    int64
}

// Status is how an operation ended.
type Status uint8

// Done: in force on a majority. Conflict: nothing changed. NotOwner: nothing
// changed, ask Owner. Unknown: it may still take effect. Full: nothing changed.
// Closed: the claim's era is over, it is granted to nobody any more. Early: its era
// is not open yet.
const (
	StatusDone Status = iota + 1
	StatusConflict
	StatusNotLeader
	StatusUnknown
	StatusFull
	StatusGenerationClosed
	StatusGenerationNotOpen
)

// Answer ends an operation.
type Result struct {
	ID       uint64
	Status   Status
	Revision uint64
	Value    []byte
	Leader   string
}

// Send is an effect: give Msg to the voter named To.
type Envelope struct {
	To      string
	Message Message
}

// Out collects the effects of one event. Recs must be appended in order and
// synced; Synced is then called with the running count of synced records.
type Ready struct {
	Messages []Envelope
	Records  []Record
	Results  []Result
	Events   []string
	VoterSet *VoterSet // a roster newly in force
}

// SlotOf maps a key to its slot.
func SlotOf(key string, slots int) uint16 {
	if f, ok := strings.CutPrefix(key, floorPrefix); ok {
		if n, err := strconv.Atoi(f); err == nil && n >= 0 && n < slots {
			return uint16(n) // each slot has its own
		}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return uint16(x % uint64(slots))
}
