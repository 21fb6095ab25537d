// Package rendezvous contains the hash functions of rendezvous hashing (highest random weight,
// Thaler and Ravishankar). All nodes that know the same candidates rank them for a name in the
// same order without communicating, and adding or removing a candidate reassigns only the names
// for which it ranks highest.
//
// There are two functions, FNV-1a with different finalizers: proxies and sessions rank control
// nodes by Score; by Weight index nodes rank nodes for roles, and proxies rank engines for prompt
// blocks. Nodes of different versions must agree on both, so that changing either is a protocol
// change. Changing Weight would also move every cached block to another engine.
//
// The functions keep no state and may be called from any goroutine.
package rendezvous

import "hash/fnv"

const multiplier = 0xff51afd7ed558ccd // of MurmurHash3's finalizer

// Score returns the weight of a control node for a process that chooses one to follow.
func Score(follower, controlNode string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(follower + "|" + controlNode))
	x := h.Sum64()
	return (x ^ x>>29) * multiplier
}

// Weight returns the weight of a candidate for a name. The separator is hashed between the two.
func Weight(name, separator, candidate string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte(separator))
	_, _ = h.Write([]byte(candidate))
	x := h.Sum64()
	x ^= x >> 33
	x *= multiplier
	return x ^ x>>29
}
