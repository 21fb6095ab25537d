package route

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/samber/lo"
)

// Change is what an operator sends: a whole configuration, or items to merge into the one
// it builds on.
type Change struct {
	Replace bool   // Body is a whole configuration; otherwise a patch for Merge
	Base    uint64 // version it builds on, 0 being none
	HasBase bool   // Base was given
	Body    []byte
}

// Outcome is what becomes of a change.
type Outcome uint8

// The outcomes of a change.
const (
	Accepted    Outcome = iota + 1 // in force once the register holds the next Document
	Duplicate                      // accepted before, though others may have followed
	Stale                          // its base is not current, and it was certainly not accepted
	Invalid                        // never will be accepted
	Undecidable                    // older than what is remembered: nobody knows whether it was accepted
)

// String is the outcome's name in logs.
func (o Outcome) String() string {
	names := [...]string{"none", "accepted", "duplicate", "stale", "invalid", "undecidable"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("Outcome(%d)", uint8(o))
}

// digest tells the change from every other one.
func (c Change) digest() [sha256.Size]byte {
	h := sha256.New()
	head := [9]byte{lo.Ternary[byte](c.Replace, 1, 0)}
	binary.LittleEndian.PutUint64(head[1:], c.Base)
	_, _ = h.Write(head[:])
	_, _ = h.Write(c.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// Apply decides a change on the current document, nil being none. Only an Accepted one has a
// next document, to be put on condition that current is still current; only an Invalid one
// has findings. parse translates a text into a Config, names are the fields that Merge needs.
//
// Whether it was accepted before comes first: a change that was accepted is never refused for
// what came after it. Whether the base is current comes before whether the change is valid:
// whoever loses a race with a lower version number should learn that the base has moved.
func (c Change) Apply(current *Document, parse func([]byte) (Config, []Finding), names FieldNames) (next *Document, outcome Outcome, findings []Finding) {
	current = lo.CoalesceOrEmpty(current, &Document{})
	if !c.HasBase {
		return nil, Invalid, []Finding{{"", "no-base", "say which version the change builds on, 0 for the first"}}
	}
	digest := c.digest()
	if lo.ContainsBy(current.Accepted, func(a AcceptedChange) bool { return a.Base == c.Base && a.Digest == digest }) {
		return nil, Duplicate, nil
	}
	if c.Base < current.oldestBase() {
		return nil, Undecidable, nil
	}
	if c.Base != current.Version {
		return nil, Stale, nil
	}
	text, version, findings := c.result(current, parse, names)
	if len(findings) > 0 {
		return nil, Invalid, findings
	}
	past := current.Accepted[max(0, len(current.Accepted)-MaxAccepted+1):]
	next = &Document{Version: version, Text: text}
	next.Accepted = append(append(next.Accepted, past...), AcceptedChange{version, c.Base, digest})
	return next, Accepted, nil
}

// result is the configuration text that a change on the current document leads to, and its
// version. With findings it is not valid.
func (c Change) result(current *Document, parse func([]byte) (Config, []Finding), names FieldNames) (text []byte, version uint64, findings []Finding) {
	text = c.Body
	if c.Replace {
		// Later merges must be able to tell the members apart.
		if _, err := topLevelMembers(text); err != nil {
			return nil, 0, []Finding{unreadable("", err)}
		}
	} else if text, findings = Merge(current.Text, c.Body, names); len(findings) > 0 {
		return nil, 0, findings
	}
	if len(text) > MaxConfigBytes {
		return nil, 0, []Finding{{"", "too-large", "remove items that are not needed any more"}}
	}
	config, findings := parse(text)
	if len(findings) == 0 {
		findings = Validate(config, current.Version)
	}
	return text, config.Version, findings
}
