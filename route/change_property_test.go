package route

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// changeMachine sends changes to a document in any order, again and again, and knows
// which were accepted.
type changeMachine struct {
	current  *Document
	sent     []Change
	accepted map[string]bool // by what makes a change the very same
	bases    map[uint64]bool // that a change was accepted on
}

func identity(c Change) string { return fmt.Sprint(c.Replace, c.Base, string(c.Body)) }

func (m *changeMachine) version() uint64 {
	if m.current == nil {
		return 0
	}
	return m.current.Version
}

// send decides a change on the current document. It is put on the condition that the
// document is still current, which it is here.
func (m *changeMachine) send(t *rapid.T, c Change) {
	was := m.version()
	next, outcome, findings := c.Apply(m.current, plain, words)
	switch {
	case m.accepted[identity(c)]:
		if outcome != Duplicate {
			t.Fatalf("%s, which was accepted, is %v", identity(c), outcome)
		}
	case c.Base != was:
		if outcome != Stale {
			t.Fatalf("%s on version %d is %v", identity(c), was, outcome)
		}
	case outcome == Accepted:
		m.accept(t, c, next)
	case outcome != Invalid || len(findings) == 0:
		t.Fatalf("%s on version %d is %v, %v", identity(c), was, outcome, findings)
	}
	if outcome != Accepted && m.version() != was {
		t.Fatalf("%v, and version %d became %d", outcome, was, m.version())
	}
}

func (m *changeMachine) accept(t *rapid.T, c Change, next *Document) {
	if m.bases[c.Base] {
		t.Fatalf("a second change on version %d", c.Base)
	}
	if next.Version <= m.version() {
		t.Fatalf("version %d follows %d", next.Version, m.version())
	}
	back, err := DecodeDocument(next.Encode())
	if err != nil {
		t.Fatal(err)
	}
	m.current = back
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

// TestChangesAnyOrder: whatever is sent, in whatever order and however often, a change is
// accepted once, one is accepted on a version, versions rise, and a sender who sends again
// learns whether its change was accepted.
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
