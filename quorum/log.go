package quorum

import (
	"cmp"
	"maps"
	"slices"
	"sort"
)

// indexEntry is an entry of the index by position.
type indexEntry struct {
	position Position
	key      string
}

// The index is rebuilt when it has more than minIndexSlack entries and more than
// indexSlackFactor times as many entries as there are registers.
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

// index adds a register to the index by position; most are added at the end.
func (r *slotReplica) index(entry Entry) {
	at := len(r.byPosition)
	if at > 0 && !r.byPosition[at-1].position.Before(entry.Position) {
		at = r.firstAfter(entry.Position)
	}
	r.byPosition = slices.Insert(r.byPosition, at, indexEntry{entry.Position, entry.Key})
	if len(r.byPosition) > minIndexSlack && len(r.byPosition) > indexSlackFactor*len(r.entries) {
		r.byPosition = r.changedAfter(Position{})
	}
}

// firstAfter returns the place in the index of the first change after a position.
func (r *slotReplica) firstAfter(position Position) int {
	return sort.Search(len(r.byPosition), func(i int) bool { return position.Before(r.byPosition[i].position) })
}

// remove deletes a register from the replica's state, if it exists.
func (n *Node) remove(replica *slotReplica, key string) {
	if old, ok := replica.entries[key]; ok {
		n.stateBytes -= entryBytes(old)
		delete(replica.entries, key)
	}
}

// changedAfter lists the registers whose newest change is after a position, oldest first.
func (r *slotReplica) changedAfter(position Position) []indexEntry {
	var live []indexEntry
	for _, change := range r.byPosition[r.firstAfter(position):] {
		entry, ok := r.entries[change.key]
		if !ok || entry.Position != change.position {
			continue // changed again or deleted since
		}
		if count := len(live); count == 0 || live[count-1] != change {
			live = append(live, change)
		}
	}
	return live
}

// knownCommitted is the position up to which the replica has all changes and knows that they
// are committed.
func (r *slotReplica) knownCommitted() Position {
	if r.last.Before(r.committed) {
		return r.last
	}
	return r.committed
}

// uncommittedKeys lists the keys whose newest change here may never be committed.
func (r *slotReplica) uncommittedKeys() []string {
	var keys []string
	for _, change := range r.changedAfter(r.knownCommitted()) {
		keys = append(keys, change.key)
	}
	return keys
}

// changesSince lists the entries needed by a node that has everything up to a position, and
// whose changes of the uncommitted keys may never be committed; absent lists the uncommitted
// keys that do not exist here.
func (r *slotReplica) changesSince(position Position, uncommitted []string) (entries []Entry, absent []string) {
	listed := map[string]bool{}
	for _, key := range uncommitted {
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

// sortedByPosition sorts registers by position. Ties are broken by key, so that runs are
// reproducible.
func sortedByPosition(entries map[string]Entry) []Entry {
	return slices.SortedFunc(maps.Values(entries), func(a, b Entry) int {
		return cmp.Or(a.Position.Compare(b.Position), cmp.Compare(a.Key, b.Key))
	})
}

// stageEntry stores a register of a newer log before the replica switches to that log. Until
// recordLogState is on disk the old log stays current, and nothing in it after knownCommitted
// counts as committed.
func (n *Node) stageEntry(replica *slotReplica, entry Entry, knownCommitted Position, ready *Ready) {
	n.store(replica, entry)
	n.appendRecord(ready, Record{Type: RecordEntry, Slot: replica.id, Term: replica.logTerm,
		Last: knownCommitted, Committed: knownCommitted, Entry: entry})
}

// recordEntry records a change of the log that the replica follows.
func (n *Node) recordEntry(replica *slotReplica, entry Entry, last Position, ready *Ready) {
	n.appendRecord(ready, Record{Type: RecordEntry, Slot: replica.id, Term: replica.logTerm,
		Last: last, Committed: replica.committed, Entry: entry})
}

// deleteEntry deletes a register and records the deletion.
func (n *Node) deleteEntry(replica *slotReplica, key string, ready *Ready) {
	n.remove(replica, key)
	n.appendRecord(ready, Record{Type: RecordDelete, Slot: replica.id, Entry: Entry{Key: key}})
}

// recordLogState records which log the replica follows from now on, and how much of it the
// replica has.
func (n *Node) recordLogState(replica *slotReplica, ready *Ready) {
	n.appendRecord(ready, replica.logState())
}

func (r *slotReplica) logState() Record {
	return Record{Type: RecordLogState, Slot: r.id, Term: r.logTerm, Last: r.last, Committed: r.committed}
}
