package plan

import (
	"bytes"
	"encoding/json"
	"slices"
	"sort"
	"strconv"

	"github.com/gravitational/trace"
)

// Seal is what a plan's register holds beside the operator's text: since which
// revision each cache domain is what it is, so that what was kept before a wall
// or the weights moved is named otherwise afterwards (design §2.1). It follows
// from the seal before and the two plans alone; no clock takes part.
type Seal struct {
	// Commons is since when the groups without a wall share as they do, Shared
	// whoever has shared there since.
	Commons uint64   `json:"commons"`
	Shared  []string `json:"shared"`
	// Walls is since when each walled group has been.
	Walls map[string]uint64 `json:"walls,omitempty"`
	// Weights is since when the newest name is, and those before it were, in force.
	Weights []Naming `json:"weights"`
}

// Naming is a name of weights and the revision that named it.
type Naming struct {
	Name string `json:"name"`
	Rev  uint64 `json:"rev"`
}

// Bounds on what a seal remembers: with more names than that in the commons it
// begins anew, and engines that still run older weights than the last few named
// find nothing kept.
const (
	sharedMost = 1024
	namedMost  = 4
)

// mark begins a sealed plan: no plan that an operator may send begins so.
var mark = []byte("#seal ")

// Next is the seal of a plan that follows under revision rev.
func (s Seal) Next(p *Plan, rev uint64) Seal {
	n := Seal{Commons: s.Commons, Walls: map[string]uint64{}, Weights: s.Weights}
	if len(s.Weights) == 0 || s.Weights[0].Name != p.Weights {
		n.Weights = []Naming{{p.Weights, rev}}
		for _, w := range s.Weights {
			if w.Name != p.Weights && len(n.Weights) < namedMost {
				n.Weights = append(n.Weights, w)
			}
		}
	}
	anew := len(s.Shared) > sharedMost || s.Commons == 0
	for g := range s.Walls {
		// Opened, or gone: what was kept in the commons meanwhile is not for it.
		if x, ok := p.Groups[g]; !ok || !x.Wall {
			anew = true
		}
	}
	var open []string
	for g, x := range p.Groups {
		switch {
		case !x.Wall:
			open = append(open, g)
		case s.Walls[g] > 0:
			n.Walls[g] = s.Walls[g]
		default:
			n.Walls[g] = rev
			anew = anew || slices.Contains(s.Shared, g)
		}
	}
	if anew {
		n.Commons = rev
	} else {
		open = append(open, s.Shared...)
	}
	sort.Strings(open)
	n.Shared = slices.Compact(open)
	return n
}

// Sealed makes the register's value of a plan that follows the value prev and
// gets revision rev.
func Sealed(prev, raw []byte, rev uint64) ([]byte, error) {
	s, _, err := Open(prev)
	if err != nil {
		return nil, err
	}
	var p Plan
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, trace.BadParameter("the plan can't be read: %v; check it with dealer plan check", err)
	}
	h, err := json.Marshal(s.Next(&p, rev))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return slices.Concat(mark, h, []byte("\n"), raw), nil
}

// Open takes a register's value apart into its seal and the operator's text, to
// the byte.
func Open(val []byte) (s Seal, raw []byte, err error) {
	t, ok := bytes.CutPrefix(val, mark)
	if !ok {
		return s, val, nil
	}
	h, raw, ok := bytes.Cut(t, []byte("\n"))
	if !ok {
		return s, nil, trace.BadParameter("the sealed plan is cut short; restore it from a registrar that reads it")
	}
	if err := json.Unmarshal(h, &s); err != nil {
		return s, nil, trace.BadParameter("the plan's seal can't be read: %v; start the version that wrote it", err)
	}
	return s, raw, nil
}

// Domain names what a group's kept prompts under these weights may be shared
// with now. It changes when a wall moves, and when the weights are named anew.
func (c *Compiled) Domain(group, weights string) string {
	d := "commons." + strconv.FormatUint(c.seal.Commons, 10)
	if c.Groups[group].Wall {
		d = "wall." + strconv.FormatUint(c.seal.Walls[group], 10) + "." + group
	}
	for _, w := range c.seal.Weights {
		if w.Name == weights {
			return d + "/" + strconv.FormatUint(w.Rev, 10)
		}
	}
	return d + "/" + strconv.FormatUint(c.Rev, 10) + "?"
}
