package quorum

// maxTickGapUS is the time between ticks, in microseconds, above which this process counts as
// having been suspended. It can't tell then which voters were silent meanwhile.
const maxTickGapUS = 300_000

// syncCallback is an effect that waits until the given number of records is synced.
type syncCallback struct {
	records uint64
	run     func(now int64, ready *Ready)
}

// joinRequest records when a node first and last asked to join.
type joinRequest struct{ first, last int64 }

// Node is one voter. It is not safe for concurrent use. Times are in microseconds.
type Node struct {
	config           Config
	voterSet         VoterSet
	leaving          bool
	diskLow          bool
	pendingVoterSet  uint64 // revision that is being written to disk
	self             Voter
	slots            []*slotReplica
	noVoteBefore     int64 // a lease acknowledged before the restart may last until then
	noCampaignBefore int64
	heartbeatSentAt  int64
	recordsIssued    uint64
	recordsSynced    uint64
	generation       uint64                 // the newest claim generation known
	lastHeard        map[string]int64       // by voter
	installedAt      map[string]int64       // when this process installed the voter, by name
	leavingSince     map[string]int64       // when the voter last announced that it stops, by name
	joinRequests     map[uint64]joinRequest // by incarnation
	runningSince     int64                  // when this process started or was last resumed
	lastTickAt       int64
	syncCallbacks    []syncCallback
	stateBytes       int
}

// New creates a node at time now from the records on its disk, in their order. set is the voter
// set of the fleet's bootstrap or any later one; a newer one in the records takes precedence.
func New(config Config, set VoterSet, now int64, records []Record) *Node {
	n := &Node{
		config:       config,
		voterSet:     set,
		noVoteBefore: now + config.LeaseDurationUS,
		lastHeard:    map[string]int64{},
		installedAt:  map[string]int64{},
		leavingSince: map[string]int64{},
		joinRequests: map[uint64]joinRequest{},
		runningSince: now,
		lastTickAt:   now,
	}
	for id := range config.Slots {
		n.slots = append(n.slots, &slotReplica{id: uint16(id), entries: map[string]Entry{}})
	}
	for _, record := range records {
		n.replayRecord(record)
	}
	n.self, _ = n.voterSet.Find(config.Name)
	n.self.Incarnation = config.Incarnation
	n.pendingVoterSet = n.voterSet.Revision
	n.noCampaignBefore = now + config.LeaseDurationUS
	if !n.promisedAny() {
		// A disk without a promise has acknowledged no lease and may vote at once. In a running
		// fleet it campaigns only after a lease duration: the term that it would promise to
		// itself would keep it from following the live leaders.
		n.noVoteBefore = now
		if set.Step() == 1 {
			n.noCampaignBefore = now
		}
	}
	return n
}

// promisedAny reports whether this disk holds a promise to follow any term.
func (n *Node) promisedAny() bool {
	for _, replica := range n.slots {
		if replica.promised > 0 {
			return true
		}
	}
	return false
}

// Tick advances time, which drives heartbeats, elections and lease expiry. It must be called
// several times per HeartbeatIntervalUS.
func (n *Node) Tick(now int64) Ready {
	var ready Ready
	if now-n.lastTickAt > maxTickGapUS {
		n.runningSince = now
	}
	n.lastTickAt = now
	if !n.isVoter() {
		return ready
	}
	if now-n.heartbeatSentAt >= n.config.HeartbeatIntervalUS {
		n.heartbeatSentAt = now
		n.broadcastHeartbeat(now, &ready)
	}
	for _, replica := range n.slots {
		n.tickSlot(now, replica, &ready)
	}
	return ready
}

func (n *Node) tickSlot(now int64, replica *slotReplica, ready *Ready) {
	n.dropClosedClaims(replica)
	switch replica.state {
	case stateFollower:
		n.tickFollower(now, replica, ready)
	case stateCandidate:
		n.tickCandidate(now, replica, ready)
	default:
		n.tickElected(now, replica, ready)
	}
}

// RecordsSynced reports that the first count records that this node ever emitted are on disk,
// and returns the effects that waited for them.
func (n *Node) RecordsSynced(now int64, count uint64) Ready {
	var ready Ready
	n.recordsSynced = max(n.recordsSynced, count)
	for len(n.syncCallbacks) > 0 && n.syncCallbacks[0].records <= n.recordsSynced {
		callback := n.syncCallbacks[0]
		n.syncCallbacks = n.syncCallbacks[1:]
		callback.run(now, &ready)
	}
	return ready
}

// SetDiskLow makes the node refuse new changes for the slots that it leads while its disk is
// low on space. It still follows other leaders, so that their changes can be committed.
func (n *Node) SetDiskLow(low bool) { n.diskLow = low }

func (n *Node) appendRecord(ready *Ready, record Record) {
	ready.Records = append(ready.Records, record)
	n.recordsIssued++
}

// afterSync runs an effect once everything recorded so far is synced, or at once if it is
// already.
func (n *Node) afterSync(now int64, ready *Ready, run func(int64, *Ready)) {
	if n.recordsSynced >= n.recordsIssued {
		run(now, ready)
		return
	}
	n.syncCallbacks = append(n.syncCallbacks, syncCallback{n.recordsIssued, run})
}

func (n *Node) send(ready *Ready, to string, message Message) {
	message.From = n.config.Name
	message.Incarnation = n.self.Incarnation
	message.VoterSetRevision = n.voterSet.Revision
	message.Generation = n.generation
	ready.Messages = append(ready.Messages, Envelope{to, message})
}

// broadcast sends a message to all other voters.
func (n *Node) broadcast(ready *Ready, message Message) {
	for _, voter := range n.voterSet.Voters {
		if voter.Name != n.config.Name {
			n.send(ready, voter.Name, message)
		}
	}
}
