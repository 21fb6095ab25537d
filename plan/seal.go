package plan

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
)

// Seal is what the plan's register contains before the operator's text: since which
// revision each cache domain exists, so that prompts that were cached before a group was
// isolated, or before the weights were named anew, are found under no key afterwards
// (docs/design.md §2.1). It follows from the seal before and the two plans alone; no clock
// takes part.
//
// The groups that are not isolated share one cache domain.
type Seal struct {
	// SharedSince is the revision with which the shared domain began.
	SharedSince uint64 `json:"commons"`
	// SharedGroups are all groups that were in the shared domain since then.
	SharedGroups []string `json:"shared"`
	// IsolatedSince is the revision since which each isolated group has been so.
	IsolatedSince map[string]uint64 `json:"walls,omitempty"`
	// WeightsHistory are the names of weights in force of late, the newest first.
	WeightsHistory []WeightsRevision `json:"weights"`
}

// WeightsRevision is a name of weights and the revision that put it in force.
type WeightsRevision struct {
	Name     string `json:"name"`
	Revision uint64 `json:"rev"`
}

// Bounds on what a seal contains: with more groups than that the shared domain begins
// anew, and engines that still run weights older than the last few find nothing cached.
const (
	maxSharedGroups     = 1024
	maxWeightsRevisions = 4
)

// sealPrefix begins a register's value that has a seal. No plan that an operator may send
// begins so.
var sealPrefix = []byte("#seal ")

// Next is the seal of a plan that follows under a revision.
func (s Seal) Next(p *Plan, revision uint64) Seal {
	next := Seal{SharedSince: s.SharedSince, IsolatedSince: map[string]uint64{}, WeightsHistory: s.nextWeights(p.Weights, revision)}
	anew := len(s.SharedGroups) > maxSharedGroups || s.SharedSince == 0 || s.endsIsolation(p)
	var shared []string
	for name, group := range p.Groups {
		switch {
		case !group.Isolated:
			shared = append(shared, name)
		case s.IsolatedSince[name] > 0:
			next.IsolatedSince[name] = s.IsolatedSince[name]
		default:
			next.IsolatedSince[name] = revision
			anew = anew || slices.Contains(s.SharedGroups, name)
		}
	}
	if anew {
		next.SharedSince = revision
	} else {
		shared = append(shared, s.SharedGroups...)
	}
	slices.Sort(shared)
	next.SharedGroups = slices.Compact(shared)
	return next
}

func (s Seal) nextWeights(name string, revision uint64) []WeightsRevision {
	if len(s.WeightsHistory) > 0 && s.WeightsHistory[0].Name == name {
		return s.WeightsHistory
	}
	history := []WeightsRevision{{name, revision}}
	for _, earlier := range s.WeightsHistory {
		if earlier.Name != name && len(history) < maxWeightsRevisions {
			history = append(history, earlier)
		}
	}
	return history
}

// endsIsolation reports whether a group that was isolated is not any more, or is gone: what
// the shared domain cached meanwhile is not for it.
func (s Seal) endsIsolation(p *Plan) bool {
	for name := range s.IsolatedSince {
		if group, there := p.Groups[name]; !there || !group.Isolated {
			return true
		}
	}
	return false
}

// Encode makes the register's value of an operator's text that follows the value previous
// and gets a revision.
func Encode(previous, raw []byte, revision uint64) ([]byte, error) {
	seal, _, err := Decode(previous)
	if err != nil {
		return nil, err
	}
	var p Plan
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, trace.BadParameter("the plan can't be read: %v; check it with violetthread-ctl plan check", err)
	}
	encoded, err := json.Marshal(seal.Next(&p, revision))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return slices.Concat(sealPrefix, encoded, []byte("\n"), raw), nil
}

// Decode takes a register's value apart into its seal and the operator's text, which is
// returned to the byte. A value without a seal is all text.
func Decode(value []byte) (seal Seal, raw []byte, err error) {
	sealed, ok := bytes.CutPrefix(value, sealPrefix)
	if !ok {
		return seal, value, nil
	}
	encoded, raw, ok := bytes.Cut(sealed, []byte("\n"))
	if !ok {
		return seal, nil, trace.BadParameter("the sealed plan is cut short; restore it from a control node that reads it")
	}
	if err := json.Unmarshal(encoded, &seal); err != nil {
		return seal, nil, trace.BadParameter("the plan's seal can't be read: %v; start the version that wrote it", err)
	}
	return seal, raw, nil
}

// CacheDomain names what a group's cached prompts under these weights may be shared with
// now. The name changes when the group begins or ends to share, and when the weights are
// named anew. Weights that the plan does not know of late have a domain of this revision
// alone.
func (c *Compiled) CacheDomain(group, weights string) string {
	domain := "commons." + strconv.FormatUint(c.seal.SharedSince, 10)
	if c.Groups[group].Isolated {
		domain = "wall." + strconv.FormatUint(c.seal.IsolatedSince[group], 10) + "." + group
	}
	for _, known := range c.seal.WeightsHistory {
		if known.Name == weights {
			return domain + "/" + strconv.FormatUint(known.Revision, 10)
		}
	}
	return domain + "/" + strconv.FormatUint(c.Revision, 10) + "?"
}
