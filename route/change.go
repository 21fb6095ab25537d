package route

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/samber/lo"
)

// Change is an operator's request to change the configuration: a whole configuration, or a
// patch to the version that it is based on.
type Change struct {
	Replace bool   // Body is a whole configuration; otherwise a patch for Merge
	Base    uint64 // version that the change is based on; 0 if there is none yet
	HasBase bool   // Base was given
	Body    []byte
}

// Outcome is the result of deciding a change.
type Outcome uint8

// The outcomes of a change.
const (
	Accepted    Outcome = iota + 1 // takes effect once the register holds the next Document
	Duplicate                      // was accepted before; later changes may have followed
	Stale                          // its base is not the current version, and it was provably not accepted
	Invalid                        // will never be accepted
	Undecidable                    // older than the recorded changes: whether it was accepted is unknown
	TooLarge                       // valid, but the register can't hold the configuration that results
)

// String is the outcome's name in logs.
func (o Outcome) String() string {
	names := [...]string{"none", "accepted", "duplicate", "stale", "invalid", "undecidable", "too_large"}
	if int(o) < len(names) {
		return names[o]
	}
	return fmt.Sprintf("Outcome(%d)", uint8(o))
}

// digest identifies the change.
func (c Change) digest() [sha256.Size]byte {
	h := sha256.New()
	head := [9]byte{lo.Ternary[byte](c.Replace, 1, 0)}
	binary.LittleEndian.PutUint64(head[1:], c.Base)
	_, _ = h.Write(head[:])
	_, _ = h.Write(c.Body)
	return [sha256.Size]byte(h.Sum(nil))
}

// Apply decides a change against the current document, nil if there is none. Only an Accepted
// change has a next document, which the caller must write on condition that the register still
// holds current; only an Invalid change has findings. parse translates a text into a Config;
// names are the field names for Merge.
//
// Whether the change was accepted before is checked first, so that an accepted change is never
// rejected because of later ones. Whether the base is current is checked before the change is
// validated, so that the sender who loses a race with a lower version number is told that the
// base has changed.
func (c Change) Apply(current *Document, parse func([]byte) (Config, []Finding), names FieldNames) (next *Document, outcome Outcome, findings []Finding) {
	current = lo.CoalesceOrEmpty(current, &Document{})
	if !c.HasBase {
		return nil, Invalid, []Finding{{"", "no-base", "give the version that the change is based on, 0 for the first change"}}
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
	text, config, findings := c.result(current, parse, names)
	if len(findings) > 0 {
		return nil, Invalid, findings
	}
	past := current.Accepted[max(0, len(current.Accepted)-MaxAccepted+1):]
	next = &Document{Version: config.Version, Text: text, KeysRequired: !config.KeysRequired && current.requiresKeys(parse)}
	next.Accepted = append(append(next.Accepted, past...), AcceptedChange{config.Version, c.Base, digest})
	return next, Accepted, nil
}

// requiresKeys reports whether requests need API keys under the document.
func (d *Document) requiresKeys(parse func([]byte) (Config, []Finding)) bool {
	if d.KeysRequired || len(d.Text) == 0 {
		return d.KeysRequired
	}
	config, _ := parse(d.Text)
	return config.KeysRequired
}

// result returns the configuration text that the change makes of the current document, and the
// configuration that it is parsed to. Neither is valid if there are findings.
func (c Change) result(current *Document, parse func([]byte) (Config, []Finding), names FieldNames) (text []byte, config Config, findings []Finding) {
	text = c.Body
	if c.Replace {
		// Later patches can only be merged into one valid JSON object without repeated members.
		if _, err := topLevelMembers(text); err != nil {
			return nil, Config{}, []Finding{unreadable("", err)}
		}
	} else if text, findings = Merge(current.Text, c.Body, names); len(findings) > 0 {
		return nil, Config{}, findings
	}
	if len(text) > MaxConfigBytes {
		return nil, Config{}, []Finding{{"", "too-large", "remove items that are no longer needed"}}
	}
	config, findings = parse(text)
	if len(findings) == 0 {
		findings = Validate(config, current.Version)
	}
	return text, config, findings
}
