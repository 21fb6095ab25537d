package cacheindex

// maxHolders is the maximum number of holders of a block in a HolderTable.
const maxHolders = 16

// entryKeyStep distributes the entries of one key over the table: 2^64 divided by the golden
// ratio.
const entryKeyStep = 0x9e3779b97f4a7c15

// HolderTable records up to sixteen holders of each block, the nodes that have it cached, each in
// a separate entry of one Table. One goroutine at a time may write it, and any may read it
// without a lock.
type HolderTable struct{ entries *Table }

// NewHolderTable creates a table with at least n entries.
func NewHolderTable(n int) *HolderTable { return &HolderTable{NewTable(n)} }

// entryKey derives the key of the i-th table entry for a block's key.
func (k Key) entryKey(i int) Key { return Key{k.Hi, k.Lo ^ uint64(i)*entryKeyStep, k.Check} }

// Get appends the hinted holders of a block to holders.
func (t *HolderTable) Get(key Key, holders []uint64) []uint64 {
	for i := range maxHolders {
		if node, found := t.entries.Get(key.entryKey(i)); found {
			holders = append(holders, node)
		}
	}
	return holders
}

// Put adds a holder of a block. If the block already has maxHolders holders, it replaces one of
// them.
func (t *HolderTable) Put(key Key, node uint64) {
	free := -1
	for i := range maxHolders {
		holder, found := t.entries.Get(key.entryKey(i))
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
	t.entries.Put(key.entryKey(free), node)
}

// Remove removes a holder of a block.
func (t *HolderTable) Remove(key Key, node uint64) {
	for i := range maxHolders {
		if holder, found := t.entries.Get(key.entryKey(i)); found && holder == node {
			t.entries.Remove(key.entryKey(i), node)
		}
	}
}

// RemoveNode removes a holder from all blocks, and returns the number of entries removed.
func (t *HolderTable) RemoveNode(node uint64) int { return t.entries.RemoveNode(node) }

// Clear removes all entries.
func (t *HolderTable) Clear() { t.entries.Clear() }

// Len returns the number of entries in use.
func (t *HolderTable) Len() int { return t.entries.Len() }

// Each calls visit for every entry. The keys are those of the entries, not of the blocks. It must
// be called only from the writing goroutine.
func (t *HolderTable) Each(visit func(key Key, node uint64)) { t.entries.Each(visit) }
