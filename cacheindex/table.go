package cacheindex

import "sync/atomic"

const ways = 4

// Table is an array of fixed entries managed as a 4-way associative cache. One
// writer at a time; readers take no lock: each set has a count that is odd
// while it is being written.
type Table struct {
	mask uint64
	sets []cacheSet
	tick atomic.Uint64
	used atomic.Int64
}

type cacheSet struct {
	version atomic.Uint32
	entries [ways]cacheEntry
}

// slot is 32 bytes: the wide hash, the holder, the check and a stamp.
type cacheEntry struct {
	hi, lo, node, meta atomic.Uint64
}

// NewTable makes a table for at least n entries.
func NewTable(n int) *Table {
	s := uint64(1)
	for s*ways < uint64(n) {
		s <<= 1
	}
	return &Table{mask: s - 1, sets: make([]cacheSet, s)}
}

// Len counts the entries in use.
func (t *Table) Len() int { return int(t.used.Load()) }

// Cap counts all entries.
func (t *Table) Cap() int { return len(t.sets) * ways }

func (t *Table) set(k Key) *cacheSet { return &t.sets[k.Lo&t.mask] }

// Get returns the holder that the hint for k names.
func (t *Table) Get(k Key) (uint64, bool) {
	s := t.set(k)
	for try := 0; try < 16; try++ {
		q := s.version.Load()
		if q&1 == 1 {
			continue
		}
		var node uint64
		for i := range s.entries {
			w := &s.entries[i]
			if w.hi.Load() == k.Hi && w.lo.Load() == k.Lo && uint32(w.meta.Load()) == k.Check {
				node = w.node.Load()
				break
			}
		}
		if s.version.Load() == q {
			return node, node != 0
		}
	}
	return 0, false // busy counts as a plain miss
}

// Put makes node the hint for k. In a full set the oldest written entry goes.
func (t *Table) Put(k Key, node uint64) {
	s := t.set(k)
	old, at := ^uint64(0), 0
	for i := range s.entries {
		w := &s.entries[i]
		if n := w.node.Load(); n == 0 || w.hi.Load() == k.Hi && w.lo.Load() == k.Lo {
			at, old = i, 0
			if n != 0 {
				break
			}
		} else if st := w.meta.Load() >> 32; old != 0 && st < old {
			at, old = i, st
		}
	}
	if s.entries[at].node.Load() == 0 {
		t.used.Add(1)
	}
	t.write(s, at, k, node, t.tick.Add(1)&0xffffffff)
}

// Drop forgets the hint for k if it names node; node 0 drops any.
func (t *Table) Remove(k Key, node uint64) bool {
	s := t.set(k)
	for i := range s.entries {
		w := &s.entries[i]
		if n := w.node.Load(); n != 0 && w.hi.Load() == k.Hi && w.lo.Load() == k.Lo && (node == 0 || n == node) {
			t.write(s, i, Key{}, 0, 0)
			t.used.Add(-1)
			return true
		}
	}
	return false
}

// DropNode forgets every hint that names node.
func (t *Table) RemoveNode(node uint64) int {
	n := 0
	for j := range t.sets {
		s := &t.sets[j]
		for i := range s.entries {
			if s.entries[i].node.Load() == node {
				t.write(s, i, Key{}, 0, 0)
				t.used.Add(-1)
				n++
			}
		}
	}
	return n
}

// Clear forgets everything.
func (t *Table) Clear() {
	for j := range t.sets {
		s := &t.sets[j]
		for i := range s.entries {
			if s.entries[i].node.Load() != 0 {
				t.write(s, i, Key{}, 0, 0)
			}
		}
	}
	t.used.Store(0)
}

func (t *Table) write(s *cacheSet, i int, k Key, node, stamp uint64) {
	s.version.Add(1)
	w := &s.entries[i]
	w.hi.Store(k.Hi)
	w.lo.Store(k.Lo)
	w.node.Store(node)
	w.meta.Store(stamp<<32 | uint64(k.Check))
	s.version.Add(1)
}

// Hint is the longest hinted part of a chain.
type Hint struct {
	Block int    `json:"Part"` // index into the chain
	Node  uint64 `json:"Node"`
}

// Longest looks a chain up from its longest part down and returns the first
// hint whose holder ok accepts.
func (t *Table) LongestPrefix(ks []Key, ok func(uint64) bool) (Hint, bool) {
	for i := len(ks) - 1; i >= 0; i-- {
		if n, hit := t.Get(ks[i]); hit && ok(n) {
			return Hint{i, n}, true
		}
	}
	return Hint{}, false
}

// Each calls f for every hint, for the one writer's use.
func (t *Table) Each(f func(Key, uint64)) {
	for j := range t.sets {
		for i := range t.sets[j].entries {
			w := &t.sets[j].entries[i]
			if n := w.node.Load(); n != 0 {
				f(Key{w.hi.Load(), w.lo.Load(), uint32(w.meta.Load())}, n)
			}
		}
	}
}
