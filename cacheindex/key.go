// Package hint is the fleet's index of kept prompts: in every proxy and index
// node a table of fixed entries that names, for a part of a prompt, the nearest
// engine or store known to keep it (design §7; docs/paper.md says what comes
// from the paper and what changed).
package cacheindex

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
)

// Key names a part of a prompt: a wide hash over the wall's domain, the
// weights' version and the prefix up to the part's end. Check repeats domain
// and weights alone, and is compared again wherever a key is used.
type Key struct {
	Hi    uint64 `json:"Hi"`
	Lo    uint64 `json:"Lo"`
	Check uint32 `json:"Check"`
}

// Block is how many bytes of prompt one part adds; MaxParts bounds a chain.
const (
	BlockBytes = 1024
	MaxBlocks  = 64
)

// Salt hashes what must never be mixed: the domain and the weights' version.
func DomainCheck(domain, weights string) uint32 {
	s := domainHash(domain, weights)
	return binary.LittleEndian.Uint32(s[24:])
}

func domainHash(domain, weights string) [32]byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(domain)))
	b = append(b, domain...)
	b = append(b, weights...)
	return sha256.Sum256(b)
}

// Chain lists the keys of a prompt's whole blocks, shortest prefix first.
func PrefixKeys(domain, weights, prompt string) []Key {
	h := domainHash(domain, weights)
	check := binary.LittleEndian.Uint32(h[24:])
	var ks []Key
	buf := make([]byte, 0, 32+BlockBytes)
	for o := 0; o+BlockBytes <= len(prompt) && len(ks) < MaxBlocks; o += BlockBytes {
		buf = append(buf[:0], h[:]...)
		buf = append(buf, prompt[o:o+BlockBytes]...)
		h = sha256.Sum256(buf)
		ks = append(ks, Key{binary.LittleEndian.Uint64(h[:]), binary.LittleEndian.Uint64(h[8:]), check})
	}
	return ks
}

// NodeID names an engine's or a store's one life: a restarted one has another.
func NodeID(name string, inc uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte(name+"\x00"), inc))
	if s := h.Sum64(); s != 0 {
		return s
	}
	return 1
}

// Shard is the shard a key belongs to.
func (k Key) Shard(shards int) int { return int(k.Hi % uint64(shards)) }
