package quorum

// maxTickGap is the time without a tick, in microseconds, after which this process counts
// as having been suspended itself, so that it can't tell who was silent meanwhile.
const maxTickGap = 300_000

// syncCallback is an effect that waits until so many records are synced.
type syncCallback struct {
	records uint64
	run     func(now int64, ready *Ready)
}

// joinRequest is when a newcomer first and last asked to be let in.
type joinRequest struct{ first, last int64 }

// Node is one voter. It is not safe for concurrent use. Times are in microseconds.
type Node struct {
	config           Config
	voterSet         VoterSet
	leaving          bool
	diskLow          bool
	pendingVoterSet  uint64 // revision being put on disk
	self             Voter
	slots            []*slotReplica
	noVoteBefore     int64 // a lease granted before the restart may run until then
	noCampaignBefore int64
	heartbeatSentAt  int64
	recordsIssued    uint64
	recordsSynced    uint64
	generation       uint64                 // the newest generation of claims heard of
	lastHeard        map[string]int64       // by voter
	admittedAt       map[string]int64       // by voter let in while this process runs
	leavingSince     map[string]int64       // by voter that stops, when it last said so
	joinRequests     map[uint64]joinRequest // by incarnation
	listeningSince   int64                  // since when this process runs without a pause
	lastTickAt       int64
	syncCallbacks    []syncCallback
	stateBytes       int
}

// New makes a node at time now from the records that its disk held, in their order. The
// voter set is that of the fleet's bootstrap or any later one; a newer one among the records
// goes before it.
func New(config Config, set VoterSet, now int64, records []Record) *Node {
	n := &Node{
		config:         config,
		voterSet:       set,
		noVoteBefore:   now + config.LeaseDurationUS,
		lastHeard:      map[string]int64{},
		admittedAt:     map[string]int64{},
		leavingSince:   map[string]int64{},
		joinRequests:   map[uint64]joinRequest{},
		listeningSince: now,
		lastTickAt:     now,
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
		// A disk that promised nothing has no lease to wait out and may vote at once. In a
		// fleet that works already it campaigns only after a lease: its promise to itself
		// would keep it from following the live leaders.
		n.noVoteBefore = now
		if set.Step() == 1 {
			n.noCampaignBefore = now
		}
	}
	return n
}

// promisedAny reports whether this disk ever promised to follow a term.
func (n *Node) promisedAny() bool {
	for _, replica := range n.slots {
		if replica.promised > 0 {
			return true
		}
	}
	return false
}

// Tick lets time pass: heartbeats, elections and the ends of leases depend on it. It must be
// called a few times per HeartbeatIntervalUS.
func (n *Node) Tick(now int64) Ready {
	var ready Ready
	if now-n.lastTickAt > maxTickGap {
		n.listeningSince = now
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
	n.forgetClosedClaims(replica)
	switch replica.state {
	case stateFollower:
		n.tickFollower(now, replica, ready)
	case stateCandidate:
		n.tickCandidate(now, replica, ready)
	default:
		n.tickElected(now, replica, ready)
	}
}

// RecordsSynced says that the first count records that this node ever emitted are on disk,
// and returns the effects that waited for that.
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

// SetDiskLow makes the node refuse new changes of the slots that it leads while its disk has
// little room; it still follows other leaders, so that their changes can be committed.
func (n *Node) SetDiskLow(low bool) { n.diskLow = low }

func (n *Node) appendRecord(ready *Ready, record Record) {
	ready.Records = append(ready.Records, record)
	n.recordsIssued++
}

// afterSync runs an effect once everything recorded so far is synced; at once if it is.
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
