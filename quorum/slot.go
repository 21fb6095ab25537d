package quorum

import (
	"hash/fnv"
	"strconv"
	"strings"
)

// SlotOf maps a key to its slot. The floor of a slot's claims lies in that slot itself.
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

// mixBits spreads a hash over all its bits (a part of MurmurHash3's finalizer): the low bits
// of FNV alone put keys that differ in one digit into few slots.
func mixBits(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return hash
}

// replicaState is what a node is to a slot, in the words of Raft; stateRecovering comes
// between winning an election and serving.
type replicaState uint8

const (
	stateFollower replicaState = iota
	stateCandidate
	// stateRecovering: elected; a majority is copying the new log, and with it what was in
	// doubt.
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

// elected reports whether the replica won its term, whether it serves yet or not.
func (s replicaState) elected() bool { return s >= stateRecovering }

// slotReplica is one node's replica of a slot. Times are in microseconds.
type slotReplica struct {
	id uint16

	// What a voter keeps on disk.

	promised    uint64   // the highest term that this voter promised to follow
	logTerm     uint64   // the term whose log entries belong to
	last        Position // all changes of that log up to here are in entries
	committed   Position // known to be on a majority
	entries     map[string]Entry
	byPosition  []positionKey // index of entries, with some that were replaced since
	closedBelow uint64        // claims of generations below were forgotten here

	// What a voter has in memory alone.

	leader          string
	leaderTerm      uint64
	noVoteUntil     int64 // no other candidate is voted for before
	noCampaignUntil int64 // this node campaigns no sooner
	snapshotAskedAt int64
	snapshot        *snapshot // under way, or nil

	// What a candidate or a leader has.

	state             replicaState
	campaignAtOnce    bool   // it led the slot until the voter set changed
	recoveredUnder    uint64 // revision of the voter set under which the slot was last recovered
	term              uint64 // of the newest campaign
	campaignStartedAt int64
	votes             map[string]Message // granted, by voter
	rejections        map[string]bool
	higherTerm        uint64 // a voter promised this much, and can't follow a lower term
	higherTermSeenAt  int64
	nextCampaignAt    int64
	lastIndex         uint64                    // of the newest change in term
	acknowledged      map[string]Position       // by voter
	pendingByKey      map[string]*pendingChange // not committed yet
	pendingOrder      []*pendingChange          // the same, oldest first
	heartbeatAcked    map[string]int64          // by voter, when the newest heartbeat it answered was sent
	leaseUntil        int64
	generationSince   int64            // when the newest generation was opened, as this leader counts it
	roleLeaseUntil    map[string]int64 // by key, as this leader counts it
}

// pendingChange is a change that its leader has not committed yet.
type pendingChange struct {
	key       string
	position  Position
	previous  Entry // what callers still see
	existed   bool  // whether previous exists
	operation Operation
	queued    []Operation // on the same key, to be applied after it
}

// committedEntry is the register as callers may see it: without changes that are pending.
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

// slotOf is the replica of the slot that a key belongs to.
func (n *Node) slotOf(key string) *slotReplica { return n.slots[SlotOf(key, n.config.Slots)] }
