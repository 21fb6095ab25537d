package cacheindex

import (
	"slices"
	"sync/atomic"
)

const (
	ways        = 4          // entries in a set
	readRetries = 16         // of a set that is being written meanwhile
	stampMask   = 0xffffffff // of a stamp, which has the upper half of meta
)

// Table is an array of fixed entries managed as a 4-way associative cache of hints. One
// goroutine at a time may write it, and any may read it without a lock: each set has a
// version that is odd while the set is written (a seqlock).
type Table struct {
	mask  uint64
	sets  []cacheSet
	clock atomic.Uint64 // stamps entries in the order in which they are written
	used  atomic.Int64
}

type cacheSet struct {
	version atomic.Uint32
	entries [ways]cacheEntry
}

// cacheEntry has 32 bytes: the hash, the node (0: the entry is free), and in meta the stamp
// above the check.
type cacheEntry struct {
	hi, lo, node, meta atomic.Uint64
}

// names reports whether the entry is of a key, whatever its check.
func (e *cacheEntry) names(key Key) bool { return e.hi.Load() == key.Hi && e.lo.Load() == key.Lo }

// NewTable makes a table for at least n entries.
func NewTable(n int) *Table {
	sets := uint64(1)
	for sets*ways < uint64(n) {
		sets <<= 1
	}
	return &Table{mask: sets - 1, sets: make([]cacheSet, sets)}
}

// Len counts the entries in use.
func (t *Table) Len() int { return int(t.used.Load()) }

// Cap counts all entries.
func (t *Table) Cap() int { return len(t.sets) * ways }

func (t *Table) set(key Key) *cacheSet { return &t.sets[key.Lo&t.mask] }

// Get returns the node that the hint for a key names. A set that is written all the time
// counts as a miss.
func (t *Table) Get(key Key) (node uint64, found bool) {
	set := t.set(key)
	for range readRetries {
		version := set.version.Load()
		if version&1 == 1 {
			continue
		}
		node := set.get(key)
		if set.version.Load() == version {
			return node, node != 0
		}
	}
	return 0, false
}

func (s *cacheSet) get(key Key) uint64 {
	for i := range s.entries {
		entry := &s.entries[i]
		if entry.names(key) && uint32(entry.meta.Load()) == key.Check {
			return entry.node.Load()
		}
	}
	return 0
}

// Put makes a node the hint for a key. In a full set the entry goes that was written first.
func (t *Table) Put(key Key, node uint64) {
	set := t.set(key)
	at := set.place(key)
	if set.entries[at].node.Load() == 0 {
		t.used.Add(1)
	}
	set.write(at, key, node, t.clock.Add(1)&stampMask)
}

// place is the entry to write a key to: its own, else the last free one, else the oldest.
func (s *cacheSet) place(key Key) int {
	oldest, at := ^uint64(0), 0
	for i := range s.entries {
		entry := &s.entries[i]
		free := entry.node.Load() == 0
		if free || entry.names(key) {
			at, oldest = i, 0
			if !free {
				break
			}
		} else if stamp := entry.meta.Load() >> 32; oldest != 0 && stamp < oldest {
			at, oldest = i, stamp
		}
	}
	return at
}

// Remove forgets the hint for a key if it names the node, and reports whether it did; node
// 0 stands for any.
func (t *Table) Remove(key Key, node uint64) bool {
	set := t.set(key)
	for i := range set.entries {
		entry := &set.entries[i]
		if hinted := entry.node.Load(); hinted != 0 && entry.names(key) && (node == 0 || hinted == node) {
			t.free(set, i)
			return true
		}
	}
	return false
}

// RemoveNode forgets every hint that names a node, and counts them.
func (t *Table) RemoveNode(node uint64) int {
	removed := 0
	for j := range t.sets {
		set := &t.sets[j]
		for i := range set.entries {
			if set.entries[i].node.Load() == node {
				t.free(set, i)
				removed++
			}
		}
	}
	return removed
}

// Clear forgets everything.
func (t *Table) Clear() {
	for j := range t.sets {
		set := &t.sets[j]
		for i := range set.entries {
			if set.entries[i].node.Load() != 0 {
				set.write(i, Key{}, 0, 0)
			}
		}
	}
	t.used.Store(0)
}

func (t *Table) free(set *cacheSet, i int) {
	set.write(i, Key{}, 0, 0)
	t.used.Add(-1)
}

func (s *cacheSet) write(i int, key Key, node, stamp uint64) {
	s.version.Add(1)
	entry := &s.entries[i]
	entry.hi.Store(key.Hi)
	entry.lo.Store(key.Lo)
	entry.node.Store(node)
	entry.meta.Store(stamp<<32 | uint64(key.Check))
	s.version.Add(1)
}

// Hint says that a node may have a prompt cached up to a block. Recordings contain it under
// the names in the tags.
type Hint struct {
	Block int    `json:"Part"` // index into the keys of the prompt's prefixes
	Node  uint64 `json:"Node"`
}

// LongestPrefix returns the hint of the longest known prefix whose node accept accepts, and
// whether there is one. keys are those of a prompt's prefixes, the shortest first.
func (t *Table) LongestPrefix(keys []Key, accept func(node uint64) bool) (hint Hint, found bool) {
	for i := len(keys) - 1; i >= 0; i-- {
		if node, known := t.Get(keys[i]); known && accept(node) {
			return Hint{Block: i, Node: node}, true
		}
	}
	return Hint{}, false
}

// Hints looks the keys of a prompt's prefixes up, and returns a hint of the longest prefix
// for each node that is named, limit nodes at most, the longest first.
func (t *Table) Hints(keys []Key, limit int) []Hint {
	var hints []Hint
	for i := len(keys) - 1; i >= 0 && len(hints) < limit; i-- {
		node, found := t.Get(keys[i])
		named := slices.ContainsFunc(hints, func(hint Hint) bool { return hint.Node == node })
		if found && !named {
			hints = append(hints, Hint{Block: i, Node: node})
		}
	}
	return hints
}

// Each calls visit for every hint. It is for the goroutine that writes.
func (t *Table) Each(visit func(key Key, node uint64)) {
	for j := range t.sets {
		for i := range t.sets[j].entries {
			entry := &t.sets[j].entries[i]
			if node := entry.node.Load(); node != 0 {
				visit(Key{Hi: entry.hi.Load(), Lo: entry.lo.Load(), Check: uint32(entry.meta.Load())}, node)
			}
		}
	}
}
