package quorum

import "cmp"

// Position orders the changes of one slot: by the leader's term, then by index.
type Position struct{ Term, Index uint64 }

// Compare orders positions as cmp.Compare does.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Term, other.Term), cmp.Compare(p.Index, other.Index))
}

// Before reports whether p precedes other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Entry is one register: a key, the position of its newest change, and its value. Revision
// counts the changes of the key and never decreases; 0 means that the key does not exist.
type Entry struct {
	Key      string
	Position Position
	Revision uint64
	Value    []byte
}

// entryBytes is the size of a register on disk, with an allowance for the framing of its
// record.
func entryBytes(entry Entry) int { return len(entry.Key) + len(entry.Value) + 256 }
