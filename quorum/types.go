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
type Ver struct{ Epoch, Seq uint64 }

// Less reports whether a comes before b.
func (a Ver) Less(b Ver) bool {
	return a.Epoch < b.Epoch || a.Epoch == b.Epoch && a.Seq < b.Seq
}

// Entry is one register. Rev counts the changes of its key and never falls.
type Entry struct {
	Key string
	Ver Ver
	Rev uint64
	Val []byte
}

// Kind names a message between voters.
type Kind uint8

// The messages between voters (design §4.2).
const (
	Beat Kind = iota + 1
	BeatOK
	Seek
	SeekOK
	SeekNo
	Write
	WriteOK
	Fetch
	Fill
	RosterAsk
	RosterTell
	Yield
	Leaving
)

// Mark tells of one slot in a Beat or BeatOK.
type Mark struct {
	Slot          uint16
	Epoch         uint64
	Last, Settled Ver
	Firm          bool // won and finished under the present roster
}

// Msg is any message between voters; unused fields stay zero.
type Msg struct {
	Kind     Kind
	From     string
	Inc      uint64
	Roster   uint64
	Slot     uint16
	Epoch    uint64
	At       int64
	Prev     Ver
	Mark     Ver
	Settled  Ver
	Joined   uint64
	First    bool
	Entries  []Entry
	Keys     []string
	Marks    []Mark
	Promised uint64
	Era      uint64 // newest that the sender heard of, with beats
	// More says of a Fetch that it takes a snapshot in parts, and of a Fill that
	// another part follows.
	More bool
}

// RecKind names a record on disk.
type RecKind uint8

// The records a voter keeps on disk (design §4.4).
const (
	RecPromise RecKind = iota + 1
	RecEntry
	RecDrop
	RecJoin
	RecRoster
)

// Rec is a record on disk.
type Rec struct {
	Kind    RecKind
	Slot    uint16
	Epoch   uint64
	Mark    Ver
	Settled Ver
	Entry   Entry
	Roster  *Roster
}

// OpKind names what a caller asks of a key.
type OpKind uint8

// The operations on a key.
const (
	OpGet OpKind = iota + 1
	OpPut
	OpHold
	OpFree
	OpClaim
	OpUnclaim
)

// AnyRev as Op.Expect accepts whatever revision the key has.
const AnyRev = ^uint64(0)

// Op is what a caller asks. For OpPut, Expect is the revision the key must
// have (0: absent). For OpHold and OpFree, Holder and Term describe a duty's
// lease (design §4.5).
type Op struct {
	ID     uint64
	Kind   OpKind
	Key    string
	Val    []byte
	Expect uint64
	Holder string
	Term   int64
}

// Status is how an operation ended.
type Status uint8

// Done: in force on a majority. Conflict: nothing changed. NotOwner: nothing
// changed, ask Owner. Unknown: it may still take effect. Full: nothing changed.
// Closed: the claim's era is over, it is granted to nobody any more. Early: its era
// is not open yet.
const (
	Done Status = iota + 1
	Conflict
	NotOwner
	Unknown
	Full
	Closed
	Early
)

// Answer ends an operation.
type Answer struct {
	ID     uint64
	Status Status
	Rev    uint64
	Val    []byte
	Owner  string
}

// Send is an effect: give Msg to the voter named To.
type Send struct {
	To  string
	Msg Msg
}

// Out collects the effects of one event. Recs must be appended in order and
// synced; Synced is then called with the running count of synced records.
type Out struct {
	Sends   []Send
	Recs    []Rec
	Answers []Answer
	Events  []string
	Roster  *Roster // a roster newly in force
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
