package quorum

import (
	"cmp"
	"hash/fnv"
	"strconv"
	"strings"
)

// Position orders the changes of one slot: first by the leader's term, then by index.
type Position struct{ Term, Index uint64 }

// Compare orders positions as cmp.Compare does.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Term, other.Term), cmp.Compare(p.Index, other.Index))
}

// Before reports whether p comes before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Entry is one register: a key, the position of its newest change, and its value. Revision
// counts the changes of the key and never falls; 0 stands for a key that does not exist.
type Entry struct {
	Key      string
	Position Position
	Revision uint64
	Value    []byte
}

// entryBytes is what a register takes on disk, its record's frame included.
func entryBytes(entry Entry) int { return len(entry.Key) + len(entry.Value) + 256 }

// SlotOf maps a key to its slot. The floor of a slot's claims lies in that slot itself.
func SlotOf(key string, slots int) uint16 {
	if number, ok := strings.CutPrefix(key, floorPrefix); ok {
		if slot, err := strconv.Atoi(number); err == nil && slot >= 0 && slot < slots {
			return uint16(slot)
		}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	return uint16(mixBits(hash.Sum64()) % uint64(slots))
}

// mixBits spreads a hash over all its bits (a part of MurmurHash3's finalizer): the low bits
// of FNV alone put keys that differ in one digit into few slots.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return hash
}
