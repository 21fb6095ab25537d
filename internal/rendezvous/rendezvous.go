// Package rendezvous ranks candidates for a name by rendezvous hashing (highest random weight,
// Thaler and Ravishankar): whoever knows the same candidates finds the same order without
// talking to anybody, and a candidate that comes or goes moves only the names it wins.
//
// There are two hashes, FNV-1a with different finalizers, since either is part of what running
// nodes agree on: proxies and sessions rank control nodes by Score, index nodes rank nodes for
// roles and proxies rank engines for prompt blocks by Weight. Changing one is a change of the
// protocol between versions, and Weight's would move every cached block's home.
//
// The package is pure, and may be called from any goroutine.
package rendezvous

import "hash/fnv"

const multiplier = 0xff51afd7ed558ccd // of MurmurHash3's finalizer

// Score is the weight of a control node for a follower of it.
func Score(follower, controlNode string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(follower + "|" + controlNode))
	x := h.Sum64()
	return (x ^ x>>29) * multiplier
}

// Weight is the weight of a candidate for a name. The separator keeps the two apart.
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
