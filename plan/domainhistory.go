package plan

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/gravitational/trace"
)

// DomainHistory is stored in the plan's register before the operator's text. It records the
// revision at which each cache domain began, so that prompts which were cached before a group
// was isolated, or before the weights changed, are not found afterwards (docs/design.md
// §2.1). It is computed from the previous history and the new plan alone; no clock is used.
//
// The groups that are not isolated share one cache domain.
type DomainHistory struct {
	// SharedSince is the revision with which the shared domain began.
	SharedSince uint64 `json:"commons"`
	// SharedGroups are all groups that have been in the shared domain since then.
	SharedGroups []string `json:"shared"`
	// IsolatedSince is the revision at which each isolated group was isolated.
	IsolatedSince map[string]uint64 `json:"walls,omitempty"`
	// WeightsHistory are the weights most recently in force, the newest first.
	WeightsHistory []WeightsRevision `json:"weights"`
}

// WeightsRevision is the name of weights and the revision that put them in force.
type WeightsRevision struct {
	Name     string `json:"name"`
	Revision uint64 `json:"rev"`
}

// Limits on the size of a domain history. With more groups than maxSharedGroups a new shared
// domain begins; engines that run weights older than the last maxWeightsRevisions find nothing
// cached.
const (
	maxSharedGroups     = 1024
	maxWeightsRevisions = 4
)

// historyPrefix begins a register's value that has a domain history. No valid plan begins
// with it, since it is not JSON.
var historyPrefix = []byte("#seal ")

// Next returns the history after a plan is put in force at a revision.
func (h DomainHistory) Next(p *Plan, revision uint64) DomainHistory {
	next := DomainHistory{SharedSince: h.SharedSince, IsolatedSince: map[string]uint64{}, WeightsHistory: h.nextWeights(p.Weights, revision)}
	newShared := len(h.SharedGroups) > maxSharedGroups || h.SharedSince == 0 || h.endsIsolation(p)
	var shared []string
	for name, group := range p.Groups {
		switch {
		case !group.Isolated:
			shared = append(shared, name)
		case h.IsolatedSince[name] > 0:
			next.IsolatedSince[name] = h.IsolatedSince[name]
		default:
			next.IsolatedSince[name] = revision
			newShared = newShared || slices.Contains(h.SharedGroups, name)
		}
	}
	if newShared {
		next.SharedSince = revision
	} else {
		shared = append(shared, h.SharedGroups...)
	}
	slices.Sort(shared)
	next.SharedGroups = slices.Compact(shared)
	return next
}

func (h DomainHistory) nextWeights(name string, revision uint64) []WeightsRevision {
	if len(h.WeightsHistory) > 0 && h.WeightsHistory[0].Name == name {
		return h.WeightsHistory
	}
	history := []WeightsRevision{{name, revision}}
	for _, earlier := range h.WeightsHistory {
		if earlier.Name != name && len(history) < maxWeightsRevisions {
			history = append(history, earlier)
		}
	}
	return history
}

// endsIsolation reports whether a group that was isolated no longer is, or was removed. A new
// shared domain begins then, because prompts that the shared domain cached in the meantime
// must not be available to that group.
func (h DomainHistory) endsIsolation(p *Plan) bool {
	for name := range h.IsolatedSince {
		if group, there := p.Groups[name]; !there || !group.Isolated {
			return true
		}
	}
	return false
}

// Encode returns the register's value for an operator's text at a revision, which replaces the
// value previous.
func Encode(previous, raw []byte, revision uint64) ([]byte, error) {
	history, _, err := Decode(previous)
	if err != nil {
		return nil, err
	}
	var p Plan
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, trace.BadParameter("the plan can't be decoded: %v; check it with violetthread-ctl plan check", err)
	}
	encoded, err := json.Marshal(history.Next(&p, revision))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return slices.Concat(historyPrefix, encoded, []byte("\n"), raw), nil
}

// Decode splits a register's value into its domain history and the operator's text, which is
// returned byte for byte. A value without the prefix consists of text alone.
func Decode(value []byte) (history DomainHistory, raw []byte, err error) {
	unprefixed, ok := bytes.CutPrefix(value, historyPrefix)
	if !ok {
		return history, value, nil
	}
	encoded, raw, ok := bytes.Cut(unprefixed, []byte("\n"))
	if !ok {
		return history, nil, trace.BadParameter("the plan's register is truncated within the domain history; restore it from a control node that reads it")
	}
	if err := json.Unmarshal(encoded, &history); err != nil {
		return history, nil, trace.BadParameter("the plan's domain history can't be decoded: %v; start the version that wrote it", err)
	}
	return history, raw, nil
}

// CacheDomain returns the name of the domain in which a group's cached prompts for the given
// weights may be shared. The name changes when the group becomes isolated or stops being so,
// and when the weights are put in force again after others. The name of the shared domain also
// changes when any group leaves it to become isolated, or when an isolated group stops being so
// or is removed. Weights that are not in the history have a domain for this revision alone.
func (c *Compiled) CacheDomain(group, weights string) string {
	domain := "commons." + strconv.FormatUint(c.domainHistory.SharedSince, 10)
	if c.Groups[group].Isolated {
		domain = "wall." + strconv.FormatUint(c.domainHistory.IsolatedSince[group], 10) + "." + group
	}
	for _, known := range c.domainHistory.WeightsHistory {
		if known.Name == weights {
			return domain + "/" + strconv.FormatUint(known.Revision, 10)
		}
	}
	return domain + "/" + strconv.FormatUint(c.Revision, 10) + "?"
}
