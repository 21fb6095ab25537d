package cacheindex

// maxHolders bounds how many holders of a block a HolderTable has.
const maxHolders = 16

// slotStep spreads the entries of one key over the table: 2^64 divided by the golden ratio.
const slotStep = 0x9e3779b97f4a7c15

// HolderTable has up to sixteen holders of each block, the nodes that have it cached, each
// in an entry of its own of one Table. One goroutine at a time may write it, and any may
// read it without a lock.
type HolderTable struct{ entries *Table }

// NewHolderTable makes a table for at least n entries.
func NewHolderTable(n int) *HolderTable { return &HolderTable{NewTable(n)} }

// slot is the key of the i-th entry of a key.
func (k Key) slot(i int) Key { return Key{k.Hi, k.Lo ^ uint64(i)*slotStep, k.Check} }

// Get appends the hinted holders of a block to holders.
func (t *HolderTable) Get(key Key, holders []uint64) []uint64 {
	for i := range maxHolders {
		if node, found := t.entries.Get(key.slot(i)); found {
			holders = append(holders, node)
		}
	}
	return holders
}

// Put adds a holder. Where there is no place for another, one of them goes.
func (t *HolderTable) Put(key Key, node uint64) {
	free := -1
	for i := range maxHolders {
		holder, found := t.entries.Get(key.slot(i))
		if found && holder == node {
			return
		}
		if !found && free < 0 {
			free = i
		}
	}
	if free < 0 {
		free = int(node % maxHolders)
	}
	t.entries.Put(key.slot(free), node)
}

// Remove forgets a holder of a block.
func (t *HolderTable) Remove(key Key, node uint64) {
	for i := range maxHolders {
		if holder, found := t.entries.Get(key.slot(i)); found && holder == node {
			t.entries.Remove(key.slot(i), node)
		}
	}
}

// RemoveNode forgets a holder of all blocks, and counts the entries that it had.
func (t *HolderTable) RemoveNode(node uint64) int { return t.entries.RemoveNode(node) }

// Clear forgets everything.
func (t *HolderTable) Clear() { t.entries.Clear() }

// Len counts the entries in use.
func (t *HolderTable) Len() int { return t.entries.Len() }

// Each calls visit for every entry. The keys are those of the entries, not of the blocks.
// It is for the goroutine that writes.
func (t *HolderTable) Each(visit func(key Key, node uint64)) { t.entries.Each(visit) }
