package membership

import (
	"testing"

	"violetthread/schema/fb"
)

// tell carries a control node's list to others.
func tell(now int64, from *Sessions, to ...*Sessions) {
	t := from.Announcement(now)
	for _, r := range to {
		r.Merge(now, t)
	}
}

func has(r *Sessions, now int64, name string) bool {
	for _, n := range r.Live(now) {
		if n.Name == name {
			return true
		}
	}
	return false
}

// TestSessionsGoRoundACutLink: with one link between control nodes cut, a third one
// passes sessions on before they end, and takes it back once the link is mended.
func TestSessionsGoRoundACutLink(t *testing.T) {
	a, b, c := New("a"), New("b"), New("c")
	now := int64(0)
	step := func(cut bool) {
		now += 300_000
		a.Heartbeat(now, &fb.NodeT{Name: "node"})
		tell(now, a, b)
		tell(now, c, b)
		if !cut {
			tell(now, a, c)
			tell(now, c, a)
		}
		tell(now, b, a, c)
	}
	for range 5 {
		step(false)
	}
	if n := len(b.Announcement(now).Nodes); n > 0 {
		t.Fatalf("%d sessions are passed on, and all hear each other", n)
	}
	for range 30 {
		if step(true); !has(c, now, "node") {
			t.Fatalf("at %d the session is not known beyond the cut", now)
		}
	}
	for range 5 {
		step(false)
	}
	if n := len(b.Announcement(now).Nodes); n > 0 {
		t.Fatalf("%d sessions are passed on after the link was mended", n)
	}
}

// TestPassedOnSessionsEnd: what is passed on goes no further than one control node, so
// that the sessions of a dead one end in time however long a list is under way.
func TestPassedOnSessionsEnd(t *testing.T) {
	a, b, c, d := New("a"), New("b"), New("c"), New("d")
	a.Heartbeat(0, &fb.NodeT{Name: "node"})
	tell(0, a, b)
	for now := int64(0); now < 2*SessionTimeout; now += 100_000 {
		// Each list takes as long as the time between two.
		fromB, fromC, fromD := b.Announcement(now), c.Announcement(now), d.Announcement(now)
		for _, r := range []*Sessions{b, c, d} {
			for _, t := range []*fb.SessionUpdateT{fromB, fromC, fromD} {
				if t.ControlNode != r.self {
					r.Merge(now+100_000, t)
				}
			}
		}
	}
	for _, r := range []*Sessions{b, c, d} {
		if has(r, 2*SessionTimeout, "node") {
			t.Fatalf("%s keeps a session that ended long ago", r.self)
		}
	}
}

// TestFirsthandGoesBefore: a control node's own word on its sessions is not replaced by
// what another passes on.
func TestFirsthandGoesBefore(t *testing.T) {
	a := New("a")
	a.Heartbeat(0, &fb.NodeT{Name: "node"})
	a.Merge(1000, &fb.SessionUpdateT{ControlNode: "b", Nodes: []*fb.NodeT{{Name: "node", ControlNode: "a"}}})
	if n := a.Live(1000); len(n) != 1 || n[0].Age != 1000 {
		t.Fatalf("%+v", n[0])
	}
	a.Merge(2000, &fb.SessionUpdateT{ControlNode: "b", Nodes: []*fb.NodeT{{Name: "node", ControlNode: "b"}}})
	if n := a.Live(2000); n[0].Age != 0 || n[0].ControlNode != "b" {
		t.Fatalf("a node that went over to b: %+v", n[0])
	}
}
