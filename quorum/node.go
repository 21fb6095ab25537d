package quorum

// Plan sets a node's sizes and times, in microseconds.
type Config struct {
	Name              string
	Incarnation       uint64
	Slots             int
	HeartbeatInterval int64 // between beats
	LeaseDuration     int64 // of a slot owner's lease
	LeaseMargin       int64 // the owner stops this much before its lease ends
	ChunkBytes        int   // bytes of entries in one message
	MaxStateBytes     int   // bytes of live state before changes are refused
	// EraTerm is how long an era of claims stays the newest, Eras how many are open
	// at a time; with EraTerm 0 there is none and claims stay for ever.
	GenerationDuration int64
	OpenGenerations    int
}

// Defaults are the values the daemons start from.
func DefaultConfig(name string, inc uint64) Config {
	return Config{Name: name, Incarnation: inc, Slots: 16, HeartbeatInterval: 100_000, LeaseDuration: 1_000_000,
		LeaseMargin: 150_000, ChunkBytes: 256 << 10, MaxStateBytes: 96 << 20, GenerationDuration: 120_000_000, OpenGenerations: 5}
}

type syncCallback struct {
	records uint64 // record count that must be synced
	run     func(now int64, o *Ready)
}

type joinRequest struct{ first, last int64 }

// Node is one voter. It is not safe for concurrent use.
type Node struct {
	config           Config
	voterSet         VoterSet
	leaving          bool
	diskLow          bool
	pendingVoterSet  uint64 // roster being put on disk
	self             Voter
	slots            []*slotReplica
	startedAt        int64
	noCampaignBefore int64 // no slot is sought before
	heartbeatSentAt  int64
	recordsIssued    uint64
	recordsSynced    uint64
	generation       uint64                 // the newest era heard of
	lastHeard        map[string]int64       // voters, when last
	admittedAt       map[string]int64       // voters let in while this process runs, when
	leavingSince     map[string]int64       // voters that stop, when they last said so
	joinRequests     map[uint64]joinRequest // newcomers, by incarnation
	listeningSince   int64                  // since when this process runs without a pause
	lastTickAt       int64
	syncCallbacks    []syncCallback
	stateBytes       int
}

// New makes a node at time now from the records its disk held.
func New(p Config, r VoterSet, now int64, recs []Record) *Node {
	n := &Node{config: p, voterSet: r, startedAt: now, lastHeard: map[string]int64{}, admittedAt: map[string]int64{}, leavingSince: map[string]int64{}, joinRequests: map[uint64]joinRequest{}, listeningSince: now, lastTickAt: now}
	for i := 0; i < p.Slots; i++ {
		n.slots = append(n.slots, &slotReplica{entries: map[string]Entry{}})
	}
	for _, c := range recs {
		n.replayRecord(c)
	}
	n.self, _ = n.voterSet.Find(p.Name)
	n.self.Incarnation = p.Incarnation
	n.pendingVoterSet = n.voterSet.Revision
	voted := false
	for _, s := range n.slots {
		voted = voted || s.promised > 0
	}
	n.noCampaignBefore = now + p.LeaseDuration
	if !voted {
		// A disk that granted nothing has no grant to wait out. In a roster that works
		// already it still hears the owners first: its own promise to itself would
		// keep it from following them.
		n.startedAt = now - p.LeaseDuration
		if r.Step() == 1 {
			n.noCampaignBefore = now
		}
	}
	return n
}

func (n *Node) appendRecord(o *Ready, c Record) {
	o.Records = append(o.Records, c)
	n.recordsIssued++
}

// after runs fn once everything recorded so far is synced.
func (n *Node) afterSync(now int64, o *Ready, fn func(int64, *Ready)) {
	if n.recordsSynced >= n.recordsIssued {
		fn(now, o)
		return
	}
	n.syncCallbacks = append(n.syncCallbacks, syncCallback{n.recordsIssued, fn})
}

// Synced tells that the first count records ever emitted are on disk.
func (n *Node) RecordsSynced(now int64, count uint64) Ready {
	var o Ready
	n.recordsSynced = max(n.recordsSynced, count)
	for len(n.syncCallbacks) > 0 && n.syncCallbacks[0].records <= n.recordsSynced {
		w := n.syncCallbacks[0]
		n.syncCallbacks = n.syncCallbacks[1:]
		w.run(now, &o)
	}
	return o
}

func (n *Node) send(o *Ready, to string, m Message) {
	m.From, m.Incarnation, m.VoterSetRevision, m.Generation = n.config.Name, n.self.Incarnation, n.voterSet.Revision, n.generation
	o.Messages = append(o.Messages, Envelope{to, m})
}

func (n *Node) forEachPeer(f func(name string)) {
	for _, v := range n.voterSet.Voters {
		if v.Name != n.config.Name {
			f(v.Name)
		}
	}
}

// Owner names the owner of a key's slot as this node last heard, or "".
func (n *Node) Leader(key string) string { return n.slots[SlotOf(key, n.config.Slots)].leader }

// Tight makes the node refuse new changes of its slots while its disk has little
// room; it still follows others', so that what they settle is not held up.
func (n *Node) SetDiskLow(v bool) { n.diskLow = v }

// Size is the bytes of live state.
func (n *Node) StateBytes() int { return n.stateBytes }

// pause is the time without a tick after which this process was held up itself, so
// that it can't tell who was silent meanwhile.
const maxTickGap = 300_000

// Tick must be called often; a few times per beat.
func (n *Node) Tick(now int64) Ready {
	var o Ready
	if now-n.lastTickAt > maxTickGap {
		n.listeningSince = now
	}
	n.lastTickAt = now
	if !n.isVoter() {
		return o
	}
	if now-n.heartbeatSentAt >= n.config.HeartbeatInterval {
		n.heartbeatSentAt = now
		n.broadcastHeartbeat(now, &o)
	}
	for i, s := range n.slots {
		n.tickSlot(now, uint16(i), s, &o)
	}
	return o
}
