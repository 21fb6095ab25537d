package quorum

import (
	"bytes"
	"strconv"
	"strings"
)

// Claims belong to generations (design §4.8). The register of GenerationKey counts the
// generations opened: its revision is the newest. Each slot has a floor of its own, a register
// committed like any other, below which its claims are closed: refused for good, and
// forgotten.

// GenerationKey is the register whose revision is the newest generation that is open. It is
// stored.
const GenerationKey = "era"

// Prefixes of keys, as they are stored.
const (
	claimPrefix = "claim/"
	floorPrefix = "floor/"
)

// ClaimKey names a claim of a generation.
func ClaimKey(generation uint64, name string) string {
	return claimPrefix + strconv.FormatUint(generation, 10) + "/" + name
}

func isClaim(key string) bool { return strings.HasPrefix(key, claimPrefix) }

// isInternalKey reports whether only the node itself changes a key.
func isInternalKey(key string) bool {
	return key == GenerationKey || strings.HasPrefix(key, floorPrefix)
}

// claimGeneration is the generation that a claim's key names, 0 for none.
func claimGeneration(key string) uint64 {
	number, _, ok := strings.Cut(strings.TrimPrefix(key, claimPrefix), "/")
	generation, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil {
		return 0
	}
	return generation
}

func floorKey(slot uint16) string { return floorPrefix + strconv.Itoa(int(slot)) }

// floorValue reads a floor out of its register, 0 if there is none.
func floorValue(entry Entry) uint64 {
	generation, _ := strconv.ParseUint(string(entry.Value), 10, 64)
	return generation
}

// ObserveGeneration takes in the newest generation that is known to be open. Voters tell each
// other with every message, since a node may be cut off from the one that opens them alone.
func (n *Node) ObserveGeneration(generation uint64) { n.generation = max(n.generation, generation) }

// Generation is the newest generation of claims heard of.
func (n *Node) Generation() uint64 { return n.generation }

// applyClaim grants a claim once. The very same claim, asked for again by its maker, is
// granted again.
func (n *Node) applyClaim(c *call) {
	operation := c.operation
	generation := claimGeneration(operation.Key)
	taken := len(c.current.Value) > 0
	switch {
	case !isClaim(operation.Key) || generation == 0 || len(operation.Value) == 0:
		c.finish(StatusConflict, Entry{})
	case n.config.GenerationDurationUS > 0 && generation > n.generation+1:
		c.finish(StatusGenerationNotOpen, Entry{})
	case generation < n.claimFloor(c.replica):
		c.finish(StatusGenerationClosed, Entry{})
	case taken && !bytes.Equal(c.current.Value, operation.Value):
		c.finish(StatusConflict, c.current)
	case taken:
		c.finish(StatusDone, c.current)
	default:
		n.change(c, c.next(operation.Value))
	}
}

// applyUnclaim gives a claim back for its maker.
func (n *Node) applyUnclaim(c *call) {
	operation := c.operation
	own := len(operation.Value) > 0 && bytes.Equal(c.current.Value, operation.Value)
	if !isClaim(operation.Key) || !own {
		c.finish(StatusConflict, c.current)
		return
	}
	n.change(c, c.next(nil))
}

// claimFloor is the oldest generation whose claims the slot still takes: by what is committed,
// pending, or due by the newest generation.
func (n *Node) claimFloor(replica *slotReplica) uint64 {
	floor := floorValue(replica.entries[floorKey(replica.id)])
	if open := uint64(n.config.OpenGenerations); open > 0 && n.generation > open {
		floor = max(floor, n.generation-open+1)
	}
	return floor
}

// tickGenerations is the leader's part: it opens generations, and raises its slot's floor.
func (n *Node) tickGenerations(now int64, replica *slotReplica, ready *Ready) {
	if n.config.GenerationDurationUS <= 0 {
		return
	}
	if replica.id == SlotOf(GenerationKey, n.config.Slots) {
		n.tickNewest(now, replica, ready)
	}
	n.raiseFloor(now, replica, ready)
}

// tickNewest opens the next generation once the newest has lasted long enough.
func (n *Node) tickNewest(now int64, replica *slotReplica, ready *Ready) {
	newest, _ := replica.committedEntry(GenerationKey)
	n.ObserveGeneration(newest.Revision)
	if _, pending := replica.pendingByKey[GenerationKey]; pending {
		return
	}
	age := now - replica.generationSince
	if newest.Revision == 0 || age > n.config.GenerationDurationUS || n.claimsCrowded(age) {
		replica.generationSince = now
		n.replicate(now, replica, Entry{Key: GenerationKey, Revision: newest.Revision + 1, Value: []byte{1}}, Operation{}, ready)
	}
}

// claimsCrowded reports whether claims fill seven eighths of their room. A generation is short
// then, but lasts an eighth of its time: refusing all claims would be worse. Its length is
// nobody's safety.
func (n *Node) claimsCrowded(age int64) bool {
	return n.stateBytes > n.maxClaimBytes()/8*7 && age > n.config.GenerationDurationUS/8
}

// raiseFloor closes the generations that are too old.
func (n *Node) raiseFloor(now int64, replica *slotReplica, ready *Ready) {
	key := floorKey(replica.id)
	if _, pending := replica.pendingByKey[key]; pending {
		return
	}
	floor, entry := n.claimFloor(replica), replica.entries[key]
	if floor > floorValue(entry) {
		n.replicate(now, replica, Entry{Key: key, Revision: entry.Revision + 1, Value: strconv.AppendUint(nil, floor, 10)}, Operation{}, ready)
	}
}

// forgetClosedClaims drops the claims below a floor that is beyond doubt. Every voter does so
// by itself and without a record: nobody may ever grant them again, whoever still has them.
func (n *Node) forgetClosedClaims(replica *slotReplica) {
	entry, ok := replica.entries[floorKey(replica.id)]
	if !ok || replica.certain().Before(entry.Position) || floorValue(entry) <= replica.closedBelow {
		return
	}
	replica.closedBelow = floorValue(entry)
	for key := range replica.entries {
		if isClaim(key) && claimGeneration(key) < replica.closedBelow {
			n.remove(replica, key)
		}
	}
	replica.byPosition = replica.changedAfter(Position{})
}

// maxClaimBytes is the live state beyond which claims are refused: configurations, role leases
// and the voter set keep their room.
func (n *Node) maxClaimBytes() int { return n.config.MaxStateBytes / 4 * 3 }
