package cacheindex

import (
	"slices"
	"strconv"
)

// UpdateOp is the operation of an Update. Its values are sent between processes and must not
// change.
type UpdateOp uint8

// The operations of updates.
const (
	OpAdd       UpdateOp = iota + 1 // Node is now the nearest holder, or one of the holders, of the block
	OpRemove                        // Node no longer has the block
	OpPrefetch                      // the block is worth prefetching from Node
	OpComputing                     // Node is computing the block, and will soon have it cached
)

var opNames = map[UpdateOp]string{OpAdd: "add", OpRemove: "remove", OpPrefetch: "prefetch", OpComputing: "reading"}

// String returns the operation's name in logs and test output.
func (o UpdateOp) String() string {
	if name, known := opNames[o]; known {
		return name
	}
	return "op-" + strconv.Itoa(int(o))
}

// Update is one change to the holders of a block.
type Update struct {
	Key  Key
	Node uint64
	Op   UpdateOp
}

// UpdateBatch is the response to a poll of an UpdateLog. The follower applies Updates, after
// discarding all earlier state from this log if Reset is set, and polls again with Incarnation
// and Next.
type UpdateBatch struct {
	Incarnation, Next uint64
	Reset             bool
	Updates           []Update
}

// UpdateLog is a numbered log of updates of bounded length that followers poll. A follower that
// fell behind, or that followed another incarnation of the log, is reset and receives a snapshot.
type UpdateLog struct {
	incarnation uint64
	first       uint64 // number of updates[0]
	updates     []Update
	size        int
	snapshot    func() []Update
	Appended    uint64 // total number of updates appended
}

// NewUpdateLog creates a log that keeps at least the last size updates. The incarnation
// distinguishes it from earlier logs of the same name; snapshot returns updates that lead from
// the empty to the current state.
func NewUpdateLog(incarnation uint64, size int, snapshot func() []Update) *UpdateLog {
	return &UpdateLog{incarnation: incarnation, first: 1, size: size, snapshot: snapshot}
}

// Append adds an update. Old updates are discarded only when the log reaches twice its size, so
// that the remaining ones are not copied on each call.
func (l *UpdateLog) Append(update Update) {
	l.Appended++
	l.updates = append(l.updates, update)
	if len(l.updates) > 2*l.size {
		dropped := len(l.updates) - l.size
		l.first += uint64(dropped)
		l.updates = slices.Clone(l.updates[dropped:])
	}
}

// Since returns the updates for a follower that has all updates of an incarnation with numbers
// below next: at most limit updates, or a snapshot if the follower has to be reset.
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
