package quorum

import (
	"cmp"
	"maps"
	"slices"
	"sort"
)

// positionKey is an entry of the index by position.
type positionKey struct {
	position Position
	key      string
}

// The index is rebuilt when it has more than minIndexSlack entries and more than
// indexSlackFactor times as many as there are registers.
const (
	minIndexSlack    = 64
	indexSlackFactor = 2
)

// store puts a register into the replica's state.
func (n *Node) store(replica *slotReplica, entry Entry) {
	if old, ok := replica.entries[entry.Key]; ok {
		n.stateBytes -= entryBytes(old)
	}
	n.stateBytes += entryBytes(entry)
	replica.entries[entry.Key] = entry
	replica.index(entry)
}

// index adds a register to the index by position; most come in order.
func (r *slotReplica) index(entry Entry) {
	at := len(r.byPosition)
	if at > 0 && !r.byPosition[at-1].position.Before(entry.Position) {
		at = r.firstAfter(entry.Position)
	}
	r.byPosition = slices.Insert(r.byPosition, at, positionKey{entry.Position, entry.Key})
	if len(r.byPosition) > minIndexSlack && len(r.byPosition) > indexSlackFactor*len(r.entries) {
		r.byPosition = r.changedAfter(Position{})
	}
}

// firstAfter is the place in the index of the first change after a position.
func (r *slotReplica) firstAfter(position Position) int {
	return sort.Search(len(r.byPosition), func(i int) bool { return position.Before(r.byPosition[i].position) })
}

// remove takes a register out of the replica's state, if it is there.
func (n *Node) remove(replica *slotReplica, key string) {
	if old, ok := replica.entries[key]; ok {
		n.stateBytes -= entryBytes(old)
		delete(replica.entries, key)
	}
}

// changedAfter lists the registers whose newest change is after a position, oldest first.
func (r *slotReplica) changedAfter(position Position) []positionKey {
	var live []positionKey
	for _, change := range r.byPosition[r.firstAfter(position):] {
		entry, ok := r.entries[change.key]
		if !ok || entry.Position != change.position {
			continue // replaced or removed since
		}
		if count := len(live); count == 0 || live[count-1] != change {
			live = append(live, change)
		}
	}
	return live
}

// certain is the position up to which this replica's entries are beyond doubt.
func (r *slotReplica) certain() Position {
	if r.last.Before(r.committed) {
		return r.last
	}
	return r.committed
}

// uncertainKeys are the keys whose newest change here may never be committed.
func (r *slotReplica) uncertainKeys() []string {
	var keys []string
	for _, change := range r.changedAfter(r.certain()) {
		keys = append(keys, change.key)
	}
	return keys
}

// changesSince lists what a node must learn that is certain up to a position and doubts some
// keys; absent are the doubted keys that do not exist here.
func (r *slotReplica) changesSince(position Position, doubted []string) (entries []Entry, absent []string) {
	listed := map[string]bool{}
	for _, key := range doubted {
		if listed[key] {
			continue
		}
		listed[key] = true
		if entry, ok := r.entries[key]; ok {
			entries = append(entries, entry)
		} else {
			absent = append(absent, key)
		}
	}
	for _, change := range r.changedAfter(position) {
		if !listed[change.key] {
			entries = append(entries, r.entries[change.key])
		}
	}
	return entries, absent
}

// byOrder lists registers by position. Keys break ties, so that a seed replays alike.
func byOrder(entries map[string]Entry) []Entry {
	return slices.SortedFunc(maps.Values(entries), func(a, b Entry) int {
		return cmp.Or(a.Position.Compare(b.Position), cmp.Compare(a.Key, b.Key))
	})
}

// stageEntry takes a register of a newer log over before that log is followed: until
// recordLogState is on disk the old log stands, with nothing beyond certain beyond doubt.
func (n *Node) stageEntry(replica *slotReplica, entry Entry, certain Position, ready *Ready) {
	n.store(replica, entry)
	n.appendRecord(ready, Record{Type: RecordEntry, Slot: replica.id, Term: replica.logTerm,
		Last: certain, Committed: certain, Entry: entry})
}

// recordEntry records a change of the log that the replica follows.
func (n *Node) recordEntry(replica *slotReplica, entry Entry, last Position, ready *Ready) {
	n.appendRecord(ready, Record{Type: RecordEntry, Slot: replica.id, Term: replica.logTerm,
		Last: last, Committed: replica.committed, Entry: entry})
}

// deleteEntry takes a register out, and records that.
func (n *Node) deleteEntry(replica *slotReplica, key string, ready *Ready) {
	n.remove(replica, key)
	n.appendRecord(ready, Record{Type: RecordDelete, Slot: replica.id, Entry: Entry{Key: key}})
}

// recordLogState records which log the replica follows from now on, and how far it has it.
func (n *Node) recordLogState(replica *slotReplica, ready *Ready) {
	n.appendRecord(ready, replica.logState())
}

func (r *slotReplica) logState() Record {
	return Record{Type: RecordLogState, Slot: r.id, Term: r.logTerm, Last: r.last, Committed: r.committed}
}
