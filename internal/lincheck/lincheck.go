// Package lincheck checks histories of one register with revisions for linearizability
// (Herlihy and Wing 1990): whether some order of the operations, which keeps that of
// operations that did not overlap, explains everything that clients saw. The search is
// that of github.com/anishathalye/porcupine (Wing and Gong 1993, with Lowe's cache); what
// clients learn from revisions is used beforehand, to keep it short. Tests use it.
package lincheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Operation is one operation as its client saw it. A confirmed one took effect at an
// instant between Invoked and Returned, which may be of any unit and clock, as long as it
// is the same for all clients.
type Operation struct {
	Client int
	Write  bool // else a read
	// Confirmed tells that the client learnt the result. A write that was not confirmed
	// may take effect at any time after Invoked, or never; Returned and Revision mean
	// nothing then.
	Confirmed         bool
	Invoked, Returned int64
	Revision          uint64 // that was made or read; the register starts at 0
	Value             string // that was written or read; the register starts with ""
}

// register is the model's state: every write adds one to its revision.
type register struct {
	revision uint64
	value    string
	reads    int // of this revision so far
}

// history is what is known of all operations before the search.
type history struct {
	written map[uint64]bool   // revisions that confirmed writes made
	read    map[uint64]string // values of the revisions that were read
	reads   map[uint64]int    // how often
	seen    map[string]bool   // the values that were read
	newest  uint64            // revision that any client saw
}

// timeout ends a search that gets out of hand; one takes milliseconds.
const timeout = 30 * time.Second

// Check returns an error if no order of the operations explains what clients saw, or if
// the search took too long to tell.
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
		return fmt.Errorf("no order explains the %d operations", len(searched))
	}
	return fmt.Errorf("no verdict on %d operations within %v", len(searched), timeout)
}

func newHistory(operations []Operation) *history {
	h := &history{written: map[uint64]bool{}, read: map[uint64]string{}, reads: map[uint64]int{}, seen: map[string]bool{}}
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
		h.read[o.Revision] = o.Value
		h.reads[o.Revision]++
		h.seen[o.Value] = true
	}
	h.newest = max(h.newest, o.Revision)
}

// complete gives each revision that no confirmed write made to an unconfirmed one, and
// leaves out all other unconfirmed operations: nobody saw them. A revision that was read
// belongs to the write of its value. Those that nobody read may be given to the earliest
// writes in their order, since any that was invoked in time will do; trying them all would
// take exponential time.
func (h *history) complete(operations []Operation) ([]Operation, error) {
	completed, open := split(operations)
	for revision := uint64(1); revision <= h.newest; revision++ {
		if h.written[revision] {
			continue
		}
		i := slices.IndexFunc(open, func(o Operation) bool { return h.mayHaveMade(revision, o) })
		if i < 0 {
			return nil, fmt.Errorf("nobody made revision %d (%q)", revision, h.read[revision])
		}
		write := open[i]
		open = slices.Delete(open, i, i+1)
		write.Revision, write.Returned = revision, math.MaxInt64
		completed = append(completed, write)
	}
	return completed, nil
}

// split returns the confirmed operations, and the unconfirmed writes by when they were
// invoked.
func split(operations []Operation) (confirmed, open []Operation) {
	for _, o := range operations {
		switch {
		case o.Confirmed:
			confirmed = append(confirmed, o)
		case o.Write:
			open = append(open, o)
		}
	}
	slices.SortStableFunc(open, func(a, b Operation) int { return cmp.Compare(a.Invoked, b.Invoked) })
	return confirmed, open
}

// mayHaveMade reports whether an unconfirmed write fits a revision: it wrote the value
// that was read there, or, if nobody read it, one that nobody read anywhere.
func (h *history) mayHaveMade(revision uint64, write Operation) bool {
	if value, wasRead := h.read[revision]; wasRead {
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

// step applies an operation, or returns false if it can't come next. A write comes only
// after all reads of the revision before it: they could never come later.
func (h *history) step(state register, o Operation) (bool, any) {
	if o.Write {
		next := register{revision: o.Revision, value: o.Value}
		return o.Revision == state.revision+1 && state.reads == h.reads[state.revision], next
	}
	next := register{state.revision, state.value, state.reads + 1}
	return o.Revision == state.revision && o.Value == state.value, next
}
