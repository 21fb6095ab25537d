package cacheindex

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
)

// Key names a prefix of a prompt, or a block that callers name themselves: a hash over the
// cache domain, the weights' version and the prefix. Check repeats domain and weights
// alone; it is compared wherever a key is used, so that a collision never crosses domains.
// Recordings contain keys under the names in the tags.
type Key struct {
	Hi    uint64 `json:"Hi"`
	Lo    uint64 `json:"Lo"`
	Check uint32 `json:"Check"`
}

const (
	// BlockBytes is how many bytes of a prompt one block has.
	BlockBytes = 1024
	// MaxBlocks bounds how many blocks of a prompt have keys.
	MaxBlocks = 64
)

// keyOf takes the hash part of a key out of a digest.
func keyOf(digest [sha256.Size]byte, check uint32) Key {
	return Key{Hi: binary.LittleEndian.Uint64(digest[:]), Lo: binary.LittleEndian.Uint64(digest[8:]), Check: check}
}

// checkOf takes a check out of a digest, from bytes that keyOf does not use.
func checkOf(digest [sha256.Size]byte) uint32 { return binary.LittleEndian.Uint32(digest[24:]) }

// DomainCheck is the Check of all keys under a cache domain and weights.
func DomainCheck(domain, weights string) uint32 { return checkOf(domainHash(domain, weights)) }

func domainHash(domain, weights string) [sha256.Size]byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(domain)))
	b = append(b, domain...)
	b = append(b, weights...)
	return sha256.Sum256(b)
}

// PrefixKeys lists the keys of a prompt's complete blocks, shortest prefix first.
func PrefixKeys(domain, weights, prompt string) []Key {
	digest := domainHash(domain, weights)
	check := checkOf(digest)
	var keys []Key
	buffer := make([]byte, 0, sha256.Size+BlockBytes)
	for start := 0; start+BlockBytes <= len(prompt) && len(keys) < MaxBlocks; start += BlockBytes {
		buffer = append(buffer[:0], digest[:]...)
		buffer = append(buffer, prompt[start:start+BlockBytes]...)
		digest = sha256.Sum256(buffer)
		keys = append(keys, keyOf(digest, check))
	}
	return keys
}

// BlockKey names a block that callers name themselves by an id, as an engine caches it:
// under a salt, which stands for domain and weights, and a model.
func BlockKey(salt, model, id string) Key {
	b := make([]byte, 0, 64)
	b = appendSized(b, salt)
	b = appendSized(b, model)
	check := checkOf(sha256.Sum256(b))
	b = append(b, id...)
	return keyOf(sha256.Sum256(b), check)
}

func appendSized(b []byte, s string) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(s)))
	return append(b, s...)
}

// NodeID names one incarnation of an engine or a store: a restarted one has another id. It
// is never 0.
func NodeID(name string, incarnation uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte(name+"\x00"), incarnation))
	if sum := h.Sum64(); sum != 0 {
		return sum
	}
	return 1
}

// Shard is the shard that a key belongs to, out of so many.
func (k Key) Shard(shards int) int { return int(k.Hi % uint64(shards)) }
