// Package lincheck checks histories of one register with revisions for linearizability,
// by the checker porcupine. Tests use it.
package lincheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Op is one operation as its client saw it. Times may be of any unit; an operation
// that was confirmed took effect at an instant between them.
type Operation struct {
	Client            int
	Write             bool // else a read
	Confirmed         bool // confirmed; a change that was not may take effect at any time after From, or never
	Invoked, Returned int64
	Revision          uint64 // revision that was made or read, when known
	Value             string
}

// state is a register: every change adds one to its revision. Reads counts those of
// the revision so far.
type state struct {
	rev   uint64
	val   string
	reads int
}

// history is what is known beforehand of all operations on a register.
type history struct {
	made  map[uint64]bool   // revisions that confirmed changes made
	read  map[uint64]string // values of the revisions that were read
	reads map[uint64]int
	last  uint64 // newest revision that anybody was told
}

// patience ends a check that gets out of hand; a history takes milliseconds.
const patience = 30 * time.Second

// Check reports an error when no order of the operations explains what clients saw.
func Check(ops []Operation) error {
	h := history{made: map[uint64]bool{}, read: map[uint64]string{}, reads: map[uint64]int{}}
	for _, o := range ops {
		h.add(o)
	}
	ops, err := h.complete(ops)
	if err != nil {
		return err
	}
	var all []porcupine.Operation
	for _, o := range ops {
		all = append(all, porcupine.Operation{ClientId: o.Client, Input: o, Output: o, Call: o.Invoked, Return: o.Returned})
	}
	switch porcupine.CheckOperationsTimeout(h.model(), all, patience) {
	case porcupine.Ok:
		return nil
	case porcupine.Illegal:
		return fmt.Errorf("no order explains the %d operations", len(all))
	}
	return fmt.Errorf("no verdict on %d operations within %v", len(all), patience)
}

func (h *history) add(o Operation) {
	switch {
	case !o.Confirmed:
		return
	case o.Write:
		h.made[o.Revision] = true
	default:
		h.read[o.Revision] = o.Value
		h.reads[o.Revision]++
	}
	h.last = max(h.last, o.Revision)
}

// complete gives each revision that no confirmed change made to a change that was not
// confirmed, and leaves all other unconfirmed ones out: nobody saw them. A revision that
// was read belongs to the change of its value. Those that nobody read may be given to the
// earliest changes in their order, since any that began in time will do; trying them all
// would take exponential time.
func (h *history) complete(ops []Operation) ([]Operation, error) {
	var out, open []Operation
	for _, o := range ops {
		switch {
		case o.Confirmed:
			out = append(out, o)
		case o.Write:
			open = append(open, o)
		}
	}
	slices.SortStableFunc(open, func(a, b Operation) int { return cmp.Compare(a.Invoked, b.Invoked) })
	seen := map[string]bool{}
	for _, v := range h.read {
		seen[v] = true
	}
	for rev := uint64(1); rev <= h.last; rev++ {
		if h.made[rev] {
			continue
		}
		val, read := h.read[rev]
		i := slices.IndexFunc(open, func(o Operation) bool { return read && o.Value == val || !read && !seen[o.Value] })
		if i < 0 {
			return nil, fmt.Errorf("nobody made revision %d (%q)", rev, val)
		}
		o := open[i]
		open = slices.Delete(open, i, i+1)
		o.Revision, o.Returned = rev, math.MaxInt64
		out = append(out, o)
	}
	return out, nil
}

func (h *history) model() porcupine.Model {
	return porcupine.Model{
		Init:  func() any { return state{} },
		Step:  func(s, in, _ any) (bool, any) { return h.step(s.(state), in.(Operation)) },
		Equal: func(a, b any) bool { return a == b },
	}
}

// step takes a change only when all reads of the revision before were taken: they could
// never be taken later.
func (h *history) step(s state, o Operation) (bool, any) {
	if !o.Write {
		return o.Revision == s.rev && o.Value == s.val, state{s.rev, s.val, s.reads + 1}
	}
	return o.Revision == s.rev+1 && s.reads == h.reads[s.rev], state{rev: o.Revision, val: o.Value}
}
