// Package lincheck checks histories of one register with revisions for linearizability
// (Herlihy and Wing 1990): whether there is an order of the operations that agrees with the
// real-time order of operations that did not overlap, and with every result that clients got.
// The search is that of github.com/anishathalye/porcupine (Wing and Gong 1993, with Lowe's
// cache). The revisions that clients saw are evaluated first, to keep the search short. Only
// tests use this package.
package lincheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Operation is one operation as its client observed it. A confirmed one took effect at some
// instant between Invoked and Returned. These may have any unit and clock that all clients
// share.
type Operation struct {
	Client int
	Write  bool // else a read
	// Confirmed means that the client got the result. An unconfirmed write may take effect
	// at any time after Invoked, or never; its Returned and Revision are ignored.
	Confirmed         bool
	Invoked, Returned int64
	Revision          uint64 // created or read; the register starts at 0
	Value             string // written or read; the register starts with ""
}

// register is the state of the model. Every write increments the revision.
type register struct {
	revision uint64
	value    string
	reads    int // number of reads of this revision so far
}

// history contains what is known from confirmed operations before the search.
type history struct {
	written    map[uint64]bool   // revisions created by confirmed writes
	readValues map[uint64]string // values of the revisions that were read
	reads      map[uint64]int    // number of reads of each revision
	seen       map[string]bool   // values that were read
	newest     uint64            // highest revision written or read
}

// timeout ends a search that takes too long, since the worst case is exponential. One usually
// takes milliseconds.
const timeout = 30 * time.Second

// Check returns an error if the operations are not linearizable, or if the search timed out
// without a result.
func Check(operations []Operation) error {
	h := newHistory(operations)
	completed, err := h.complete(operations)
	if err != nil {
		return err
	}
	var searched []porcupine.Operation
	for _, o := range completed {
		searched = append(searched, porcupine.Operation{ClientId: o.Client, Input: o, Output: o, Call: o.Invoked, Return: o.Returned})
	}
	switch porcupine.CheckOperationsTimeout(h.model(), searched, timeout) {
	case porcupine.Ok:
		return nil
	case porcupine.Illegal:
		return fmt.Errorf("not linearizable: no order explains the results of the %d operations", len(searched))
	}
	return fmt.Errorf("the search over %d operations found no result within %v", len(searched), timeout)
}

func newHistory(operations []Operation) *history {
	h := &history{written: map[uint64]bool{}, readValues: map[uint64]string{}, reads: map[uint64]int{}, seen: map[string]bool{}}
	for _, o := range operations {
		if o.Confirmed {
			h.add(o)
		}
	}
	return h
}

func (h *history) add(o Operation) {
	if o.Write {
		h.written[o.Revision] = true
	} else {
		h.readValues[o.Revision] = o.Value
		h.reads[o.Revision]++
		h.seen[o.Value] = true
	}
	h.newest = max(h.newest, o.Revision)
}

// complete assigns each revision that no confirmed write created to an unconfirmed write, and
// drops all other unconfirmed operations, which had no observed effect. A revision that was
// read is assigned to a write of its value. Revisions that were not read can be assigned to the
// earliest writes in order, since any write that was invoked in time will do; trying all of
// them would take exponential time.
func (h *history) complete(operations []Operation) ([]Operation, error) {
	completed, unconfirmed := split(operations)
	for revision := uint64(1); revision <= h.newest; revision++ {
		if h.written[revision] {
			continue
		}
		i := slices.IndexFunc(unconfirmed, func(o Operation) bool { return h.mayHaveCreated(revision, o) })
		if i < 0 {
			return nil, fmt.Errorf("no write can have created revision %d (%q)", revision, h.readValues[revision])
		}
		write := unconfirmed[i]
		unconfirmed = slices.Delete(unconfirmed, i, i+1)
		write.Revision, write.Returned = revision, math.MaxInt64
		completed = append(completed, write)
	}
	return completed, nil
}

// split returns the confirmed operations, and the unconfirmed writes sorted by the time of
// their invocation. Unconfirmed reads are dropped.
func split(operations []Operation) (confirmed, unconfirmed []Operation) {
	for _, o := range operations {
		switch {
		case o.Confirmed:
			confirmed = append(confirmed, o)
		case o.Write:
			unconfirmed = append(unconfirmed, o)
		}
	}
	slices.SortStableFunc(unconfirmed, func(a, b Operation) int { return cmp.Compare(a.Invoked, b.Invoked) })
	return confirmed, unconfirmed
}

// mayHaveCreated reports whether an unconfirmed write can have created a revision: if the
// revision was read, the write must have its value, otherwise a value that was never read.
func (h *history) mayHaveCreated(revision uint64, write Operation) bool {
	if value, wasRead := h.readValues[revision]; wasRead {
		return write.Value == value
	}
	return !h.seen[write.Value]
}

func (h *history) model() porcupine.Model {
	return porcupine.Model{
		Init:  func() any { return register{} },
		Step:  func(state, input, _ any) (bool, any) { return h.step(state.(register), input.(Operation)) },
		Equal: func(a, b any) bool { return a == b },
	}
}

// step applies an operation to the state, or returns false if the operation can't come next. A
// write must follow all reads of the previous revision, since none of them can come later.
func (h *history) step(state register, o Operation) (bool, any) {
	if o.Write {
		next := register{revision: o.Revision, value: o.Value}
		return o.Revision == state.revision+1 && state.reads == h.reads[state.revision], next
	}
	next := register{state.revision, state.value, state.reads + 1}
	return o.Revision == state.revision && o.Value == state.value, next
}
