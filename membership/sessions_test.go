package membership

import (
	"slices"
	"testing"

	"violetthread/schema/fb"
)

// announce delivers a control node's announcement to others without delay.
func announce(now int64, from *Sessions, to ...*Sessions) {
	announcement := from.Announcement(now)
	for _, peer := range to {
		peer.Merge(now, announcement)
	}
}

// isLive reports whether a control node lists a node as live.
func isLive(sessions *Sessions, now int64, name string) bool {
	return slices.ContainsFunc(sessions.Live(now), func(node *fb.NodeT) bool { return node.Name == name })
}

// countRelayed counts the sessions that a control node without sessions of its own announces.
func countRelayed(sessions *Sessions, now int64) int { return len(sessions.Announcement(now).Nodes) }

// TestSessionsGoRoundACutLink: if one link between control nodes is cut, a third one relays
// sessions before they end, and stops relaying once the link is restored.
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
	if count := countRelayed(b, now); count > 0 {
		t.Fatalf("%d sessions are relayed although all links work", count)
	}
	for range 30 {
		if step(true); !isLive(c, now, "node") {
			t.Fatalf("at %d us the session is not live on the other side of the cut link", now)
		}
	}
	for range 5 {
		step(false)
	}
	if count := countRelayed(b, now); count > 0 {
		t.Fatalf("%d sessions are relayed after the link was restored", count)
	}
}

// TestRelayedSessionsEnd: sessions are relayed over one hop only, so that the sessions of a
// failed control node end however long announcements are in transit.
func TestRelayedSessionsEnd(t *testing.T) {
	a, b, c, d := New("a"), New("b"), New("c"), New("d")
	survivors := []*Sessions{b, c, d}
	a.Heartbeat(0, &fb.NodeT{Name: "node"})
	announce(0, a, b)
	const interval = 100_000
	for now := int64(0); now < 2*SessionTimeoutUS; now += interval {
		// The transit time of an announcement is as long as the interval between two.
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
		if isLive(sessions, 2*SessionTimeoutUS, "node") {
			t.Fatalf("%s still lists a node whose session must have ended", sessions.self)
		}
	}
}

// TestDirectTakesPrecedence: a control node's own sessions are not replaced by relayed ones, but
// by those that the node has opened at another control node.
func TestDirectTakesPrecedence(t *testing.T) {
	a := New("a")
	a.Heartbeat(0, &fb.NodeT{Name: "node"})
	a.Merge(1000, &fb.SessionUpdateT{ControlNode: "b", Nodes: []*fb.NodeT{{Name: "node", ControlNode: "a"}}})
	if live := a.Live(1000); len(live) != 1 || live[0].Age != 1000 {
		t.Fatalf("live nodes are %+v, want the session of control node a", live[0])
	}
	a.Merge(2000, &fb.SessionUpdateT{ControlNode: "b", Nodes: []*fb.NodeT{{Name: "node", ControlNode: "b"}}})
	if live := a.Live(2000); live[0].Age != 0 || live[0].ControlNode != "b" {
		t.Fatalf("after the node moved to b, its session is %+v", live[0])
	}
}
