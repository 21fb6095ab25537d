package cacheindex

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
)

// Key identifies a prefix of a prompt, or a block that has an ID from its caller. It is a hash of
// the cache domain, the version of the weights, and the prefix. Check is a hash of the domain and
// the weights alone; it is compared wherever a key is used, so that a hash collision never
// crosses domains. Recordings contain keys under the names in the tags.
type Key struct {
	Hi    uint64 `json:"Hi"`
	Lo    uint64 `json:"Lo"`
	Check uint32 `json:"Check"`
}

const (
	// BlockBytes is the size of a prompt block in bytes.
	BlockBytes = 1024
	// MaxBlocks is the maximum number of blocks of a prompt that have keys.
	MaxBlocks = 64
)

// keyFromDigest makes a key from the first 16 bytes of a digest and a check.
func keyFromDigest(digest [sha256.Size]byte, check uint32) Key {
	return Key{Hi: binary.LittleEndian.Uint64(digest[:]), Lo: binary.LittleEndian.Uint64(digest[8:]), Check: check}
}

// checkFromDigest returns the check in a digest, from bytes that keyFromDigest does not use.
func checkFromDigest(digest [sha256.Size]byte) uint32 { return binary.LittleEndian.Uint32(digest[24:]) }

// DomainCheck returns the Check of all keys under a cache domain and weights.
func DomainCheck(domain, weights string) uint32 { return checkFromDigest(domainHash(domain, weights)) }

func domainHash(domain, weights string) [sha256.Size]byte {
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(domain)))
	b = append(b, domain...)
	b = append(b, weights...)
	return sha256.Sum256(b)
}

// PrefixKeys returns the keys of the prefixes that end with each complete block of a prompt, the
// shortest first.
func PrefixKeys(domain, weights, prompt string) []Key {
	digest := domainHash(domain, weights)
	check := checkFromDigest(digest)
	var keys []Key
	buffer := make([]byte, 0, sha256.Size+BlockBytes)
	for start := 0; start+BlockBytes <= len(prompt) && len(keys) < MaxBlocks; start += BlockBytes {
		buffer = append(buffer[:0], digest[:]...)
		buffer = append(buffer, prompt[start:start+BlockBytes]...)
		digest = sha256.Sum256(buffer)
		keys = append(keys, keyFromDigest(digest, check))
	}
	return keys
}

// BlockKey returns the key of a block that has an ID from its caller, under a salt, which
// represents the cache domain and the weights, and a model.
func BlockKey(salt, model, id string) Key {
	b := make([]byte, 0, 64)
	b = appendLengthPrefixed(b, salt)
	b = appendLengthPrefixed(b, model)
	check := checkFromDigest(sha256.Sum256(b))
	b = append(b, id...)
	return keyFromDigest(sha256.Sum256(b), check)
}

func appendLengthPrefixed(b []byte, s string) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(s)))
	return append(b, s...)
}

// NodeID returns the ID of one incarnation of an engine or a store, which changes with a restart.
// It is never 0.
func NodeID(name string, incarnation uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte(name+"\x00"), incarnation))
	if sum := h.Sum64(); sum != 0 {
		return sum
	}
	return 1
}

// Shard returns the shard of a key, from 0 to shards-1.
func (k Key) Shard(shards int) int { return int(k.Hi % uint64(shards)) }
