package route

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// changeMachine is the model of a property test: it sends changes in any order and repeatedly,
// and records which were accepted.
type changeMachine struct {
	current  *Document
	sent     []Change
	accepted map[string]bool // by identity
	bases    map[uint64]bool // versions that an accepted change was based on
}

// identity is equal for two changes if they are the same change.
func identity(c Change) string { return fmt.Sprint(c.Replace, c.Base, string(c.Body)) }

func (m *changeMachine) version() uint64 {
	if m.current == nil {
		return 0
	}
	return m.current.Version
}

// send decides a change against the current document and stores an accepted one. The condition
// that the document is still current always holds here.
func (m *changeMachine) send(t *rapid.T, c Change) {
	previous := m.version()
	next, outcome, findings := c.Apply(m.current, parsePools, testFields)
	switch {
	case m.accepted[identity(c)]:
		if outcome != Duplicate {
			t.Fatalf("%s was accepted before, got %v", identity(c), outcome)
		}
	case c.Base != previous:
		if outcome != Stale {
			t.Fatalf("%s against version %d is %v", identity(c), previous, outcome)
		}
	case outcome == Accepted:
		m.accept(t, c, next)
	case outcome != Invalid || len(findings) == 0:
		t.Fatalf("%s against version %d is %v, %v", identity(c), previous, outcome, findings)
	}
	if outcome != Accepted && m.version() != previous {
		t.Fatalf("outcome %v changed version %d to %d", outcome, previous, m.version())
	}
}

func (m *changeMachine) accept(t *rapid.T, c Change, next *Document) {
	if m.bases[c.Base] {
		t.Fatalf("a second change based on version %d was accepted", c.Base)
	}
	if next.Version <= m.version() {
		t.Fatalf("version %d was accepted after %d", next.Version, m.version())
	}
	decoded, err := DecodeDocument(next.Encode())
	if err != nil {
		t.Fatal(err)
	}
	m.current = decoded
	m.accepted[identity(c)], m.bases[c.Base] = true, true
}

func (m *changeMachine) draw(t *rapid.T) Change {
	base := m.version()
	if rapid.IntRange(0, 3).Draw(t, "old base") == 0 {
		base = rapid.Uint64Range(0, base+1).Draw(t, "base")
	}
	version := base + rapid.Uint64Range(0, 3).Draw(t, "rise")
	pool := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "pool")
	if rapid.Bool().Draw(t, "whole") {
		return whole(base, fmt.Sprintf(`{"v":%d,"pools":[{"id":%q}]}`, version, pool))
	}
	return patch(base, fmt.Sprintf(`{"v":%d,"set":{"pools":[{"id":%q}]}}`, version, pool))
}

// TestChangesAnyOrder: in whatever order and however often changes are sent, each change is
// accepted at most once, at most one change per base is accepted, versions only increase, and
// a repeated change is answered with whether it was accepted.
func TestChangesAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &changeMachine{accepted: map[string]bool{}, bases: map[uint64]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				c := m.draw(t)
				m.sent = append(m.sent, c)
				m.send(t, c)
			},
			"send again": func(t *rapid.T) {
				if len(m.sent) == 0 {
					t.Skip("nothing was sent")
				}
				m.send(t, rapid.SampledFrom(m.sent).Draw(t, "sent"))
			},
		})
	})
}
