// Package rendezvous ranks candidates for a name by rendezvous hashing (highest random weight,
// Thaler and Ravishankar): whoever knows the same candidates finds the same order without
// talking to anybody, and a candidate that comes or goes moves only the names it wins.
//
// It is pure, and may be called from any goroutine.
package rendezvous

import "hash/fnv"

// Score is the weight of a candidate for a name. The control side, the proxies and the index
// nodes must agree on it: changing it is a change of the protocol between versions.
func Score(name, candidate string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "|" + candidate))
	x := h.Sum64()
	return (x ^ x>>29) * 0xff51afd7ed558ccd
}
