package quorum

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// SlotOf maps a key to its slot. The key of a slot's claim floor maps to that slot.
func SlotOf(key string, slots int) uint16 {
	if number, ok := strings.CutPrefix(key, floorPrefix); ok {
		if slot, err := strconv.Atoi(number); err == nil && slot >= 0 && slot < slots {
			return uint16(slot)
		}
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	return uint16(mixBits(hash.Sum64()) % uint64(slots))
}

// mixBits distributes a hash over all its bits (part of MurmurHash3's finalizer): the low bits
// of FNV alone map keys that differ in one digit to few slots.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return hash
}

// replicaState is a node's state in a slot, as in Raft; stateRecovering lies between winning an
// election and serving.
type replicaState uint8

const (
	stateFollower replicaState = iota
	stateCandidate
	// stateRecovering: elected; a majority is copying the new log and the entries recovered
	// into it.
	stateRecovering
	stateLeader
)

var replicaStateNames = [...]string{
	stateFollower:   "follower",
	stateCandidate:  "candidate",
	stateRecovering: "recovering",
	stateLeader:     "leader",
}

func (s replicaState) String() string { return enumName(replicaStateNames[:], uint8(s)) }

// elected reports whether the replica won its term, whether or not it serves yet.
func (s replicaState) elected() bool { return s >= stateRecovering }

// slotReplica is one node's replica of a slot. Times are in microseconds.
type slotReplica struct {
	id uint16

	// State on disk.

	promised          uint64   // the highest term that this voter promised to follow
	logTerm           uint64   // the term of the log that entries belong to
	last              Position // entries has all changes of that log up to here
	committed         Position // known to be on a majority
	entries           map[string]Entry
	byPosition        []indexEntry // index of entries; some of its positions may be superseded
	claimsClosedBelow uint64       // claims of generations below were deleted

	// State of a voter in memory only.

	leader              string
	leaderTerm          uint64
	noVoteUntil         int64 // no vote for another candidate before
	noCampaignUntil     int64 // this node does not campaign before
	snapshotRequestedAt int64
	snapshot            *snapshot // in progress, or nil

	// State of a candidate or leader.

	state               replicaState
	campaignImmediately bool   // it led the slot until the voter set changed
	recoveredUnder      uint64 // revision of the voter set under which the slot was last recovered
	term                uint64 // of the newest campaign
	campaignStartedAt   int64
	votes               map[string]Message // granted, by voter
	rejections          map[string]bool
	higherTerm          uint64 // promised by a voter, which therefore can't follow a lower term
	higherTermSeenAt    int64
	nextCampaignAt      int64
	lastIndex           uint64                    // of the newest change in term
	acknowledged        map[string]Position       // by voter
	pendingByKey        map[string]*pendingChange // not committed yet
	pendingOrder        []*pendingChange          // the same, oldest first
	heartbeatAcked      map[string]int64          // when the newest heartbeat that a voter acknowledged was sent, by voter
	leaseUntil          int64
	generationSince     int64            // when the newest generation was opened, by this leader's clock
	roleLeaseUntil      map[string]int64 // by key, by this leader's clock
}

// pendingChange is a change that its leader has not committed yet.
type pendingChange struct {
	key       string
	position  Position
	previous  Entry // still visible to callers
	existed   bool  // whether previous exists
	operation Operation
	queued    []Operation // on the same key, applied after this change
}

// committedEntry returns the register that callers may see, without pending changes.
func (r *slotReplica) committedEntry(key string) (Entry, bool) {
	if change, pending := r.pendingByKey[key]; pending {
		return change.previous, change.existed
	}
	entry, ok := r.entries[key]
	return entry, ok
}

// serves reports whether the replica leads its slot under a live lease.
func (r *slotReplica) serves(now int64) bool {
	return r.state == stateLeader && now < r.leaseUntil
}

// slotOf returns the replica of a key's slot.
func (n *Node) slotOf(key string) *slotReplica { return n.slots[SlotOf(key, n.config.Slots)] }
