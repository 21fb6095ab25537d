package cacheindex

import (
	"slices"
	"strconv"
)

// UpdateOp is what an Update says. Its numbers go between processes and must not change.
type UpdateOp uint8

// The operations of updates.
const (
	OpAdd       UpdateOp = iota + 1 // Node is now the nearest node, or one of the nodes, that has the block
	OpRemove                        // Node has it no more
	OpPrefetch                      // the block is worth fetching from Node ahead of need
	OpComputing                     // Node computes it now, and has it soon
)

var opNames = map[UpdateOp]string{OpAdd: "add", OpRemove: "remove", OpPrefetch: "prefetch", OpComputing: "reading"}

// String is the operation's name in logs and test output.
func (o UpdateOp) String() string {
	if name, known := opNames[o]; known {
		return name
	}
	return "op-" + strconv.Itoa(int(o))
}

// Update is one change to where a block is cached.
type Update struct {
	Key  Key
	Node uint64
	Op   UpdateOp
}

// UpdateBatch is the answer to a follower: it applies Updates, after forgetting everything
// from this log if Reset, and polls again with Incarnation and Next.
type UpdateBatch struct {
	Incarnation, Next uint64
	Reset             bool
	Updates           []Update
}

// UpdateLog is a numbered feed of updates that followers poll, of bounded length. A
// follower that fell behind, or that followed another incarnation of the log, starts anew
// from a snapshot.
type UpdateLog struct {
	incarnation uint64
	first       uint64 // number of updates[0]
	updates     []Update
	size        int
	snapshot    func() []Update
	Appended    uint64 // updates ever appended
}

// NewUpdateLog makes a log that keeps the last size updates at least. Incarnation tells it
// from earlier logs of the same name; snapshot lists the updates that lead from nothing to
// the present.
func NewUpdateLog(incarnation uint64, size int, snapshot func() []Update) *UpdateLog {
	return &UpdateLog{incarnation: incarnation, first: 1, size: size, snapshot: snapshot}
}

// Append adds an update. Old ones go when twice the size is reached, which spares copying
// the rest each time.
func (l *UpdateLog) Append(update Update) {
	l.Appended++
	l.updates = append(l.updates, update)
	if len(l.updates) > 2*l.size {
		dropped := len(l.updates) - l.size
		l.first += uint64(dropped)
		l.updates = slices.Clone(l.updates[dropped:])
	}
}

// Since answers a follower that has every update of an incarnation below next, with limit
// updates at most unless it must start anew.
func (l *UpdateLog) Since(incarnation, next uint64, limit int) UpdateBatch {
	end := l.first + uint64(len(l.updates))
	if incarnation != l.incarnation || next < l.first || next > end {
		return UpdateBatch{Incarnation: l.incarnation, Next: end, Reset: true, Updates: l.snapshot()}
	}
	updates := l.updates[next-l.first:]
	if len(updates) > limit {
		updates = updates[:limit]
	}
	return UpdateBatch{Incarnation: l.incarnation, Next: next + uint64(len(updates)), Updates: slices.Clone(updates)}
}
