package quorum

import (
	"strconv"
	"strings"
)

// Claims belong to eras (design §4.8). The register of EraKey counts the eras
// opened: its revision is the newest. Each slot has a floor of its own, settled like
// any change, below which its claims are closed: refused for good, and forgotten.

// EraKey is the register whose revision is the newest era that is open.
const GenerationKey = "era"

const (
	claimPrefix = "claim/"
	floorPrefix = "floor/"
)

// ClaimKey names a claim of an era.
func ClaimKey(era uint64, name string) string {
	return claimPrefix + strconv.FormatUint(era, 10) + "/" + name
}

func isClaim(k string) bool { return strings.HasPrefix(k, claimPrefix) }

// ownKey is a key that only the node itself changes.
func isInternalKey(k string) bool { return k == GenerationKey || strings.HasPrefix(k, floorPrefix) }

// claimEra is the era that a claim's key names, 0 for none.
func claimGeneration(k string) uint64 {
	e, _, ok := strings.Cut(strings.TrimPrefix(k, claimPrefix), "/")
	n, err := strconv.ParseUint(e, 10, 64)
	if !ok || err != nil {
		return 0
	}
	return n
}

func floorKey(i uint16) string { return floorPrefix + strconv.Itoa(int(i)) }

func floorValue(e Entry) uint64 {
	n, _ := strconv.ParseUint(string(e.Value), 10, 64)
	return n
}

// Hear takes in the newest era that is known to be open. Voters tell each other with
// every message, since a node may be cut off from the one that opens them alone.
func (n *Node) ObserveGeneration(era uint64) { n.generation = max(n.generation, era) }

// Open is the newest era heard of.
func (n *Node) Generation() uint64 { return n.generation }

// floorNow is the oldest era whose claims the slot still takes: what is settled,
// or on its way, or due by the newest era.
func (n *Node) claimFloor(i uint16, s *slotReplica) uint64 {
	f := floorValue(s.entries[floorKey(i)])
	if n.config.OpenGenerations > 0 && n.generation > uint64(n.config.OpenGenerations) {
		f = max(f, n.generation-uint64(n.config.OpenGenerations)+1)
	}
	return f
}

// tickEras is the owner's part: it opens eras, and raises its slot's floor.
func (n *Node) tickGenerations(now int64, i uint16, s *slotReplica, o *Ready) {
	if n.config.GenerationDuration <= 0 {
		return
	}
	if i == SlotOf(GenerationKey, n.config.Slots) {
		e, _ := s.committedEntry(GenerationKey)
		n.ObserveGeneration(e.Revision)
		_, busy := s.pendingByKey[GenerationKey]
		open := now - s.generationSince
		// With claims filling the state an era is short; refusing them all would
		// be worse. Its length is nobody's safety.
		tight := n.stateBytes > n.maxClaimBytes()/8*7 && open > n.config.GenerationDuration/8
		if !busy && (e.Revision == 0 || open > n.config.GenerationDuration || tight) {
			s.generationSince = now
			n.replicate(now, i, s, Entry{Key: GenerationKey, Revision: e.Revision + 1, Value: []byte{1}}, Operation{}, o)
		}
	}
	k := floorKey(i)
	if _, busy := s.pendingByKey[k]; busy {
		return
	}
	if e := s.entries[k]; n.claimFloor(i, s) > floorValue(e) {
		n.replicate(now, i, s, Entry{Key: k, Revision: e.Revision + 1, Value: strconv.AppendUint(nil, n.claimFloor(i, s), 10)}, Operation{}, o)
	}
}

// close forgets the claims below a floor that is beyond doubt. Every voter does so
// by itself: nobody may ever grant them again, whoever still has them.
func (n *Node) forgetClosedClaims(i uint16, s *slotReplica) {
	e, ok := s.entries[floorKey(i)]
	if !ok || s.certain().Before(e.Position) || floorValue(e) <= s.closedBelow {
		return
	}
	s.closedBelow = floorValue(e)
	for k := range s.entries {
		if isClaim(k) && claimGeneration(k) < s.closedBelow {
			n.remove(s, k)
		}
	}
	s.byPosition = s.changedAfter(Position{})
}

// claimLimit is the live state beyond which claims are refused: plans, duties and
// the roster keep their room.
func (n *Node) maxClaimBytes() int { return n.config.MaxStateBytes / 4 * 3 }
