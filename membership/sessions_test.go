package membership

import (
	"slices"
	"testing"

	"violetthread/schema/fb"
)

// announce carries a control node's announcement to others.
func announce(now int64, from *Sessions, to ...*Sessions) {
	announcement := from.Announcement(now)
	for _, peer := range to {
		peer.Merge(now, announcement)
	}
}

// has reports whether a node's session has not ended, as a control node knows it.
func has(sessions *Sessions, now int64, name string) bool {
	return slices.ContainsFunc(sessions.Live(now), func(node *fb.NodeT) bool { return node.Name == name })
}

// relayed is how many sessions a control node without any of its own announces.
func relayed(sessions *Sessions, now int64) int { return len(sessions.Announcement(now).Nodes) }

// TestSessionsGoRoundACutLink: with one link between control nodes cut, a third one relays
// sessions before they end, and stops that once the link is mended.
func TestSessionsGoRoundACutLink(t *testing.T) {
	a, b, c := New("a"), New("b"), New("c")
	now := int64(0)
	step := func(cut bool) {
		now += 300_000
		a.Heartbeat(now, &fb.NodeT{Name: "node"})
		announce(now, a, b)
		announce(now, c, b)
		if !cut {
			announce(now, a, c)
			announce(now, c, a)
		}
		announce(now, b, a, c)
	}
	for range 5 {
		step(false)
	}
	if count := relayed(b, now); count > 0 {
		t.Fatalf("%d sessions are relayed, and all hear each other", count)
	}
	for range 30 {
		if step(true); !has(c, now, "node") {
			t.Fatalf("at %d the session is not known beyond the cut", now)
		}
	}
	for range 5 {
		step(false)
	}
	if count := relayed(b, now); count > 0 {
		t.Fatalf("%d sessions are relayed after the link was mended", count)
	}
}

// TestPassedOnSessionsEnd: what is relayed goes no further than one control node, so that
// the sessions of a dead one end in time however long an announcement is under way.
func TestPassedOnSessionsEnd(t *testing.T) {
	a, b, c, d := New("a"), New("b"), New("c"), New("d")
	survivors := []*Sessions{b, c, d}
	a.Heartbeat(0, &fb.NodeT{Name: "node"})
	announce(0, a, b)
	const interval = 100_000
	for now := int64(0); now < 2*SessionTimeoutUS; now += interval {
		// Each announcement takes as long as the time between two.
		var announcements []*fb.SessionUpdateT
		for _, from := range survivors {
			announcements = append(announcements, from.Announcement(now))
		}
		for _, to := range survivors {
			for _, announcement := range announcements {
				if announcement.ControlNode != to.self {
					to.Merge(now+interval, announcement)
				}
			}
		}
	}
	for _, sessions := range survivors {
		if has(sessions, 2*SessionTimeoutUS, "node") {
			t.Fatalf("%s keeps a session that ended long ago", sessions.self)
		}
	}
}

// TestFirsthandGoesBefore: a control node's own word on its sessions is not replaced by
// what another relays.
func TestFirsthandGoesBefore(t *testing.T) {
	a := New("a")
	a.Heartbeat(0, &fb.NodeT{Name: "node"})
	a.Merge(1000, &fb.SessionUpdateT{ControlNode: "b", Nodes: []*fb.NodeT{{Name: "node", ControlNode: "a"}}})
	if live := a.Live(1000); len(live) != 1 || live[0].Age != 1000 {
		t.Fatalf("%+v", live[0])
	}
	a.Merge(2000, &fb.SessionUpdateT{ControlNode: "b", Nodes: []*fb.NodeT{{Name: "node", ControlNode: "b"}}})
	if live := a.Live(2000); live[0].Age != 0 || live[0].ControlNode != "b" {
		t.Fatalf("a node that went over to b: %+v", live[0])
	}
}
