package cacheindex

import (
	"slices"
	"sync/atomic"
)

const (
	ways        = 4          // entries per set
	readRetries = 16         // attempts to read a set that is being written
	stampMask   = 0xffffffff // stamps occupy the upper 32 bits of meta
)

// Table is a 4-way set-associative cache of hints with a fixed number of entries. One goroutine
// at a time may write it, and any may read it without a lock: each set has a version that is odd
// while the set is being written (a seqlock).
type Table struct {
	mask  uint64
	sets  []cacheSet
	clock atomic.Uint64 // source of stamps, which record the order in which entries are written
	used  atomic.Int64
}

type cacheSet struct {
	version atomic.Uint32
	entries [ways]cacheEntry
}

// cacheEntry has 32 bytes: the hash of the key, the node (0 if the entry is free), and meta, with
// the stamp in the upper and the check in the lower 32 bits.
type cacheEntry struct {
	hi, lo, node, meta atomic.Uint64
}

// matches reports whether the entry has the hash of a key. It does not compare the check.
func (e *cacheEntry) matches(key Key) bool { return e.hi.Load() == key.Hi && e.lo.Load() == key.Lo }

// NewTable creates a table with at least n entries.
func NewTable(n int) *Table {
	sets := uint64(1)
	for sets*ways < uint64(n) {
		sets <<= 1
	}
	return &Table{mask: sets - 1, sets: make([]cacheSet, sets)}
}

// Len returns the number of entries in use.
func (t *Table) Len() int { return int(t.used.Load()) }

// Cap returns the total number of entries.
func (t *Table) Cap() int { return len(t.sets) * ways }

func (t *Table) set(key Key) *cacheSet { return &t.sets[key.Lo&t.mask] }

// Get returns the node of the hint for a key. It reports a miss if the set is still being written
// after readRetries attempts.
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
		if entry.matches(key) && uint32(entry.meta.Load()) == key.Check {
			return entry.node.Load()
		}
	}
	return 0
}

// Put sets the hint for a key to a node. In a full set it replaces the entry written first.
func (t *Table) Put(key Key, node uint64) {
	set := t.set(key)
	at := set.entryFor(key)
	if set.entries[at].node.Load() == 0 {
		t.used.Add(1)
	}
	set.write(at, key, node, t.clock.Add(1)&stampMask)
}

// entryFor returns the index of the entry to which to write a key: the entry of the key itself,
// or else the last free entry, or else the oldest.
func (s *cacheSet) entryFor(key Key) int {
	oldest, at := ^uint64(0), 0
	for i := range s.entries {
		entry := &s.entries[i]
		free := entry.node.Load() == 0
		if free || entry.matches(key) {
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

// Remove removes the hint for a key if its node is the given one, and reports whether it did.
// Node 0 matches any node.
func (t *Table) Remove(key Key, node uint64) bool {
	set := t.set(key)
	for i := range set.entries {
		entry := &set.entries[i]
		if hinted := entry.node.Load(); hinted != 0 && entry.matches(key) && (node == 0 || hinted == node) {
			t.free(set, i)
			return true
		}
	}
	return false
}

// RemoveNode removes all hints to a node, and returns their number.
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

// Clear removes all hints.
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

// Hint says that a node may have a prompt cached up to and including a block. Recordings contain
// it under the names in the tags.
type Hint struct {
	Block int    `json:"Part"` // index into the keys of the prompt's prefixes
	Node  uint64 `json:"Node"`
}

// LongestPrefix returns the hint for the longest prefix whose node satisfies accept, and whether
// there is one. keys are the keys of a prompt's prefixes, the shortest first.
func (t *Table) LongestPrefix(keys []Key, accept func(node uint64) bool) (hint Hint, found bool) {
	for i := len(keys) - 1; i >= 0; i-- {
		if node, known := t.Get(keys[i]); known && accept(node) {
			return Hint{Block: i, Node: node}, true
		}
	}
	return Hint{}, false
}

// Hints looks up the keys of a prompt's prefixes, and returns for each node found the hint for
// its longest prefix, for at most limit nodes, the longest prefix first.
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

// Each calls visit for every hint. It must be called only from the writing goroutine.
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
