package quorum

import (
	"bytes"
	"strconv"
	"strings"
)

// Claims belong to generations (design §4.8). The revision of the GenerationKey register is the
// newest generation. Each slot has a claim floor, a register that is committed like any other:
// claims of generations below it are closed, that is refused for good and deleted.

// GenerationKey is the register whose revision is the newest open generation. The key is
// stored.
const GenerationKey = "era"

// Key prefixes. They are stored.
const (
	claimPrefix = "claim/"
	floorPrefix = "floor/"
)

// ClaimKey returns the key of a claim in a generation.
func ClaimKey(generation uint64, name string) string {
	return claimPrefix + strconv.FormatUint(generation, 10) + "/" + name
}

func isClaim(key string) bool { return strings.HasPrefix(key, claimPrefix) }

// isInternalKey reports whether a key may be changed only by the node itself.
func isInternalKey(key string) bool {
	return key == GenerationKey || strings.HasPrefix(key, floorPrefix)
}

// claimGeneration returns the generation in a claim's key, 0 if there is none.
func claimGeneration(key string) uint64 {
	number, _, ok := strings.Cut(strings.TrimPrefix(key, claimPrefix), "/")
	generation, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil {
		return 0
	}
	return generation
}

func floorKey(slot uint16) string { return floorPrefix + strconv.Itoa(int(slot)) }

// floorValue decodes the register of a claim floor, 0 if there is none.
func floorValue(entry Entry) uint64 {
	generation, _ := strconv.ParseUint(string(entry.Value), 10, 64)
	return generation
}

// ObserveGeneration takes note of an open generation. Every message between voters carries the
// newest one, because a node may be partitioned from the single node that opens them.
func (n *Node) ObserveGeneration(generation uint64) { n.generation = max(n.generation, generation) }

// Generation returns the newest claim generation that this node knows of.
func (n *Node) Generation() uint64 { return n.generation }

// applyClaim grants a claim once. A repeated request with the same value, that is by the owner,
// succeeds again.
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

// applyUnclaim releases a claim at the request of its owner.
func (n *Node) applyUnclaim(c *call) {
	operation := c.operation
	own := len(operation.Value) > 0 && bytes.Equal(c.current.Value, operation.Value)
	if !isClaim(operation.Key) || !own {
		c.finish(StatusConflict, c.current)
		return
	}
	n.change(c, c.next(nil))
}

// claimFloor returns the oldest generation whose claims the slot still accepts, according to
// the committed or pending floor and the newest generation.
func (n *Node) claimFloor(replica *slotReplica) uint64 {
	floor := floorValue(replica.entries[floorKey(replica.id)])
	if open := uint64(n.config.OpenGenerations); open > 0 && n.generation > open {
		floor = max(floor, n.generation-open+1)
	}
	return floor
}

// tickGenerations runs at the leader: it opens generations and raises the claim floor of its
// slot.
func (n *Node) tickGenerations(now int64, replica *slotReplica, ready *Ready) {
	if n.config.GenerationDurationUS <= 0 {
		return
	}
	if replica.id == SlotOf(GenerationKey, n.config.Slots) {
		n.tickGenerationCounter(now, replica, ready)
	}
	n.raiseFloor(now, replica, ready)
}

// tickGenerationCounter opens the next generation once the newest has lasted long enough.
func (n *Node) tickGenerationCounter(now int64, replica *slotReplica, ready *Ready) {
	newest, _ := replica.committedEntry(GenerationKey)
	n.ObserveGeneration(newest.Revision)
	if _, pending := replica.pendingByKey[GenerationKey]; pending {
		return
	}
	age := now - replica.generationSince
	if newest.Revision == 0 || age > n.config.GenerationDurationUS || n.claimsNearLimit(age) {
		replica.generationSince = now
		n.replicate(now, replica, Entry{Key: GenerationKey, Revision: newest.Revision + 1, Value: []byte{1}}, Operation{}, ready)
	}
}

// claimsNearLimit reports whether the state fills seven eighths of the claim limit and the
// newest generation has lasted an eighth of its duration. The next generation is then opened
// early: short generations are better than refusing all claims, and no safety property depends
// on their length.
func (n *Node) claimsNearLimit(age int64) bool {
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

// dropClosedClaims deletes the claims below a committed floor. Every voter does this on its own
// and without a record: these claims can never be granted again, whichever voters still have
// them.
func (n *Node) dropClosedClaims(replica *slotReplica) {
	entry, ok := replica.entries[floorKey(replica.id)]
	if !ok || replica.knownCommitted().Before(entry.Position) || floorValue(entry) <= replica.claimsClosedBelow {
		return
	}
	replica.claimsClosedBelow = floorValue(entry)
	for key := range replica.entries {
		if isClaim(key) && claimGeneration(key) < replica.claimsClosedBelow {
			n.remove(replica, key)
		}
	}
	replica.byPosition = replica.changedAfter(Position{})
}

// maxClaimBytes is the size of the live state from which on claims are refused; the rest is
// reserved for configurations, role leases and the voter set.
func (n *Node) maxClaimBytes() int { return n.config.MaxStateBytes / 4 * 3 }
