package quorum

import "sort"

type replicaState uint8

const (
	stateFollower replicaState = iota
	stateCandidate
	stateRecovering // read back; a majority is joining the line, and with it what was in doubt
	stateLeader
)

// slot is one node's view of a slot: as voter, and while it lasts, as owner.
type slotReplica struct {
	// As voter, kept on disk.
	promised    uint64
	logTerm     uint64   // epoch whose line of changes ent follows
	last        Position // all changes of that line up to here are in ent
	committed   Position // known to be on a majority
	entries     map[string]Entry
	byPosition  []positionKey
	closedBelow uint64 // the floor below which claims were forgotten here
	// As voter, in memory.
	leader          string
	leaderTerm      uint64
	noVoteUntil     int64 // no other candidate is granted before
	noCampaignUntil int64 // this node seeks the slot no sooner
	snapshotAskedAt int64
	snapshot        *snapshot // of a line that is being joined
	// As candidate or owner.
	state             replicaState
	campaignAtOnce    bool   // was the owner until the roster changed: seek at once
	recoveredUnder    uint64 // roster under which the slot was last known to be finished
	term              uint64
	campaignStartedAt int64
	votes             map[string]Message
	rejections        map[string]bool
	higherTerm        uint64 // a voter promised this much, and can't follow a lesser epoch
	higherTermSeenAt  int64
	nextCampaignAt    int64
	lastIndex         uint64
	acknowledged      map[string]Position
	pendingByKey      map[string]*pendingChange
	pendingOrder      []*pendingChange
	heartbeatAcked    map[string]int64
	leaseUntil        int64
	generationSince   int64            // since when the newest era is, as this owner counts it
	roleLeaseUntil    map[string]int64 // duty key: lease end as this owner counts it
}

type positionKey struct {
	position Position
	key      string
}

type pendingChange struct {
	key       string
	position  Position
	previous  Entry
	existed   bool
	operation Operation
	queued    []Operation
}

// Slot tells of one slot for operators.
type SlotStatus struct {
	Leader          string
	Term            uint64
	IsLeader        bool
	Keys            int
	Last, Committed Position
}

// Slots lists what this node knows of every slot.
func (n *Node) Status(now int64) []SlotStatus {
	var out []SlotStatus
	for _, s := range n.slots {
		out = append(out, SlotStatus{s.leader, s.promised, s.state == stateLeader && now < s.leaseUntil, len(s.entries), s.last, s.committed})
	}
	return out
}

// entSize is what a register takes on disk, its record's frame included.
func entryBytes(e Entry) int { return len(e.Key) + len(e.Value) + 256 }

func (n *Node) store(s *slotReplica, e Entry) {
	if o, ok := s.entries[e.Key]; ok {
		n.stateBytes -= entryBytes(o)
	}
	n.stateBytes += entryBytes(e)
	s.entries[e.Key] = e
	i := len(s.byPosition)
	if i > 0 && !s.byPosition[i-1].position.Before(e.Position) {
		i = sort.Search(len(s.byPosition), func(j int) bool { return e.Position.Before(s.byPosition[j].position) })
	}
	s.byPosition = append(s.byPosition, positionKey{})
	copy(s.byPosition[i+1:], s.byPosition[i:])
	s.byPosition[i] = positionKey{e.Position, e.Key}
	if len(s.byPosition) > 64 && len(s.byPosition) > 2*len(s.entries) {
		s.byPosition = s.changedAfter(Position{})
	}
}

func (n *Node) remove(s *slotReplica, k string) {
	if o, ok := s.entries[k]; ok {
		n.stateBytes -= entryBytes(o)
		delete(s.entries, k)
	}
}

// live lists the registers changed after m, oldest change first.
func (r *slotReplica) changedAfter(m Position) []positionKey {
	i := sort.Search(len(r.byPosition), func(j int) bool { return m.Before(r.byPosition[j].position) })
	var out []positionKey
	for _, vk := range r.byPosition[i:] {
		if e, ok := r.entries[vk.key]; ok && e.Position == vk.position {
			if l := len(out); l == 0 || out[l-1] != vk {
				out = append(out, vk)
			}
		}
	}
	return out
}

// sure is the mark up to which this voter's registers are beyond doubt.
func (r *slotReplica) certain() Position {
	if r.last.Before(r.committed) {
		return r.last
	}
	return r.committed
}

func (r *slotReplica) uncertainKeys() []string {
	var ks []string
	for _, vk := range r.changedAfter(r.certain()) {
		ks = append(ks, vk.key)
	}
	return ks
}

// since lists what a node sure up to m, doubting keys, must learn; absent are
// the doubted keys that do not exist.
func (r *slotReplica) changesSince(m Position, keys []string) (es []Entry, absent []string) {
	seen := map[string]bool{}
	for _, k := range keys {
		if seen[k] {
			continue
		}
		seen[k] = true
		if e, ok := r.entries[k]; ok {
			es = append(es, e)
		} else {
			absent = append(absent, k)
		}
	}
	for _, vk := range r.changedAfter(m) {
		if !seen[vk.key] {
			es = append(es, r.entries[vk.key])
		}
	}
	return es, absent
}

// adopt stores a register of a newer line before that line is joined: until
// the join is on disk the old line stands, with nothing beyond sure certain.
func (n *Node) stageEntry(i uint16, s *slotReplica, e Entry, was uint64, sure Position, o *Ready) {
	n.store(s, e)
	n.appendRecord(o, Record{Type: RecordEntry, Slot: i, Term: was, Last: sure, Committed: sure, Entry: e})
}

func (n *Node) deleteEntry(i uint16, s *slotReplica, k string, o *Ready) {
	n.remove(s, k)
	n.appendRecord(o, Record{Type: RecordDelete, Slot: i, Entry: Entry{Key: k}})
}

func (n *Node) recordLogState(i uint16, s *slotReplica, o *Ready) {
	n.appendRecord(o, Record{Type: RecordLogState, Slot: i, Term: s.logTerm, Last: s.last, Committed: s.committed})
}
