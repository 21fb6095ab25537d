package hint

import (
	"crypto/sha256"
	"encoding/binary"
)

// PartKey names a part that callers name themselves, such as an engine keeps it:
// under a salt (which stands for wall and weights), a model and the part's own id.
func PartKey(salt, model, id string) Key {
	b := make([]byte, 0, 64)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(salt)))
	b = append(b, salt...)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(model)))
	b = append(b, model...)
	n := len(b)
	b = append(b, id...)
	h := sha256.Sum256(b)
	return Key{binary.LittleEndian.Uint64(h[:]), binary.LittleEndian.Uint64(h[8:]), saltCheck(b[:n])}
}

func saltCheck(b []byte) uint32 {
	h := sha256.Sum256(b)
	return binary.LittleEndian.Uint32(h[24:])
}

// Holders keeps up to sixteen holders of each part in one table, each in an entry of
// its own. One writer at a time; readers take no lock.
type Holders struct{ t *Table }

// NewHolders makes a table with room for n entries.
func NewHolders(n int) *Holders { return &Holders{NewTable(n)} }

const mostHolders = 16

// at is the place of a key's i-th entry.
func (k Key) at(i int) Key { return Key{k.Hi, k.Lo ^ uint64(i)*0x9e3779b97f4a7c15, k.Check} }

// Get appends the hinted holders of a part to out.
func (h *Holders) Get(k Key, out []uint64) []uint64 {
	for i := range mostHolders {
		if n, ok := h.t.Get(k.at(i)); ok {
			out = append(out, n)
		}
	}
	return out
}

// Put adds a holder. Where there is no room for another, one of them goes.
func (h *Holders) Put(k Key, node uint64) {
	free := -1
	for i := range mostHolders {
		n, ok := h.t.Get(k.at(i))
		if ok && n == node {
			return
		}
		if !ok && free < 0 {
			free = i
		}
	}
	if free < 0 {
		free = int(node % mostHolders)
	}
	h.t.Put(k.at(free), node)
}

// Drop forgets a holder of a part.
func (h *Holders) Drop(k Key, node uint64) {
	for i := range mostHolders {
		if n, ok := h.t.Get(k.at(i)); ok && n == node {
			h.t.Drop(k.at(i), node)
		}
	}
}

// DropNode forgets all that a holder held.
func (h *Holders) DropNode(node uint64) int { return h.t.DropNode(node) }

// Clear forgets everything.
func (h *Holders) Clear() { h.t.Clear() }

// Len counts the entries in use.
func (h *Holders) Len() int { return h.t.Len() }

// Each calls f for every holding.
func (h *Holders) Each(f func(Key, uint64)) { h.t.Each(f) }
