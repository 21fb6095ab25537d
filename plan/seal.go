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
	SharedSince  uint64   `json:"commons"`
	SharedGroups []string `json:"shared"`
	// Walls is since when each walled group has been.
	IsolatedSince map[string]uint64 `json:"walls,omitempty"`
	// Weights is since when the newest name is, and those before it were, in force.
	WeightsHistory []WeightsRevision `json:"weights"`
}

// Naming is a name of weights and the revision that named it.
type WeightsRevision struct {
	Name     string `json:"name"`
	Revision uint64 `json:"rev"`
}

// Bounds on what a seal remembers: with more names than that in the commons it
// begins anew, and engines that still run older weights than the last few named
// find nothing kept.
const (
	maxSharedGroups     = 1024
	maxWeightsRevisions = 4
)

// mark begins a sealed plan: no plan that an operator may send begins so.
var sealPrefix = []byte("#seal ")

// Next is the seal of a plan that follows under revision rev.
func (s Seal) Next(p *Plan, rev uint64) Seal {
	n := Seal{SharedSince: s.SharedSince, IsolatedSince: map[string]uint64{}, WeightsHistory: s.WeightsHistory}
	if len(s.WeightsHistory) == 0 || s.WeightsHistory[0].Name != p.Weights {
		n.WeightsHistory = []WeightsRevision{{p.Weights, rev}}
		for _, w := range s.WeightsHistory {
			if w.Name != p.Weights && len(n.WeightsHistory) < maxWeightsRevisions {
				n.WeightsHistory = append(n.WeightsHistory, w)
			}
		}
	}
	anew := len(s.SharedGroups) > maxSharedGroups || s.SharedSince == 0
	for g := range s.IsolatedSince {
		// Opened, or gone: what was kept in the commons meanwhile is not for it.
		if x, ok := p.Groups[g]; !ok || !x.Isolated {
			anew = true
		}
	}
	var open []string
	for g, x := range p.Groups {
		switch {
		case !x.Isolated:
			open = append(open, g)
		case s.IsolatedSince[g] > 0:
			n.IsolatedSince[g] = s.IsolatedSince[g]
		default:
			n.IsolatedSince[g] = rev
			anew = anew || slices.Contains(s.SharedGroups, g)
		}
	}
	if anew {
		n.SharedSince = rev
	} else {
		open = append(open, s.SharedGroups...)
	}
	sort.Strings(open)
	n.SharedGroups = slices.Compact(open)
	return n
}

// Sealed makes the register's value of a plan that follows the value prev and
// gets revision rev.
func Encode(prev, raw []byte, rev uint64) ([]byte, error) {
	s, _, err := Decode(prev)
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
	return slices.Concat(sealPrefix, h, []byte("\n"), raw), nil
}

// Open takes a register's value apart into its seal and the operator's text, to
// the byte.
func Decode(val []byte) (s Seal, raw []byte, err error) {
	t, ok := bytes.CutPrefix(val, sealPrefix)
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
func (c *Compiled) CacheDomain(group, weights string) string {
	d := "commons." + strconv.FormatUint(c.seal.SharedSince, 10)
	if c.Groups[group].Isolated {
		d = "wall." + strconv.FormatUint(c.seal.IsolatedSince[group], 10) + "." + group
	}
	for _, w := range c.seal.WeightsHistory {
		if w.Name == weights {
			return d + "/" + strconv.FormatUint(w.Revision, 10)
		}
	}
	return d + "/" + strconv.FormatUint(c.Revision, 10) + "?"
}
