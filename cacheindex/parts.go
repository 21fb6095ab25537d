package cacheindex

import (
	"crypto/sha256"
	"encoding/binary"
)

// PartKey names a part that callers name themselves, such as an engine keeps it:
// under a salt (which stands for wall and weights), a model and the part's own id.
func BlockKey(salt, model, id string) Key {
	b := make([]byte, 0, 64)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(salt)))
	b = append(b, salt...)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(model)))
	b = append(b, model...)
	n := len(b)
	b = append(b, id...)
	h := sha256.Sum256(b)
	return Key{binary.LittleEndian.Uint64(h[:]), binary.LittleEndian.Uint64(h[8:]), blockCheck(b[:n])}
}

func blockCheck(b []byte) uint32 {
	h := sha256.Sum256(b)
	return binary.LittleEndian.Uint32(h[24:])
}

// Holders keeps up to sixteen holders of each part in one table, each in an entry of
// its own. One writer at a time; readers take no lock.
type HolderTable struct{ entries *Table }

// NewHolders makes a table with room for n entries.
func NewHolderTable(n int) *HolderTable { return &HolderTable{NewTable(n)} }

const maxHolders = 16

// at is the place of a key's i-th entry.
func (k Key) slot(i int) Key { return Key{k.Hi, k.Lo ^ uint64(i)*0x9e3779b97f4a7c15, k.Check} }

// Get appends the hinted holders of a part to out.
func (h *HolderTable) Get(k Key, out []uint64) []uint64 {
	for i := range maxHolders {
		if n, ok := h.entries.Get(k.slot(i)); ok {
			out = append(out, n)
		}
	}
	return out
}

// Put adds a holder. Where there is no room for another, one of them goes.
func (h *HolderTable) Put(k Key, node uint64) {
	free := -1
	for i := range maxHolders {
		n, ok := h.entries.Get(k.slot(i))
		if ok && n == node {
			return
		}
		if !ok && free < 0 {
			free = i
		}
	}
	if free < 0 {
		free = int(node % maxHolders)
	}
	h.entries.Put(k.slot(free), node)
}

// Drop forgets a holder of a part.
func (h *HolderTable) Remove(k Key, node uint64) {
	for i := range maxHolders {
		if n, ok := h.entries.Get(k.slot(i)); ok && n == node {
			h.entries.Remove(k.slot(i), node)
		}
	}
}

// DropNode forgets all that a holder held.
func (h *HolderTable) RemoveNode(node uint64) int { return h.entries.RemoveNode(node) }

// Clear forgets everything.
func (h *HolderTable) Clear() { h.entries.Clear() }

// Len counts the entries in use.
func (h *HolderTable) Len() int { return h.entries.Len() }

// Each calls f for every holding.
func (h *HolderTable) Each(f func(Key, uint64)) { h.entries.Each(f) }
