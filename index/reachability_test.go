package index

import (
	"slices"
	"testing"
)

// holdEngine gives a node an engine's lease at time now.
func holdEngine(n *Node, now int64, engine string, token uint64) {
	role := EngineRole(engine)
	n.leases[role] = &roleLease{}
	n.LeaseAnswered(now, LeaseOp{Key: role}, now, true, token)
}

// TestReachability: an owned engine that falls silent is told of, and polled on after its
// lease went to another node until it answers; one that another node can't serve is probed,
// and told of once it answered.
func TestReachability(t *testing.T) {
	n := newTestNode("a", 2)
	now := int64(10_000_000)
	n.ConfirmListing(now)
	holdEngine(n, now, "e0", 1)
	if polls := n.Polls(now); len(polls) != 1 || polls[0].Engine != "e0" || polls[0].FencingToken != 1 {
		t.Fatalf("polls: %+v", polls)
	}
	n.ApplyReport(now, now, "e0", Report{Incarnation: 5})
	if now += silentAfter; len(n.Reachability(now).Silent) > 0 {
		t.Fatal("told too early")
	}
	now++
	if r := n.Reachability(now); !slices.Equal(r.Silent, []string{"e0"}) || !r.ListStale {
		t.Fatalf("%+v", r)
	}
	n.ConfirmListing(now)
	delete(n.leases, EngineRole("e0"))
	n.SetPeers([]Peer{{Name: "a"}, {Name: "b", Reachability: Reachability{Silent: []string{"e1"}}}})
	polls := n.Polls(now)
	if len(polls) != 2 {
		t.Fatalf("polls: %+v", polls)
	}
	for _, poll := range polls {
		if poll.FencingToken != 0 || poll.NeedsHoldings {
			t.Fatalf("an engine of another owner is polled as an own one: %+v", poll)
		}
	}
	n.ApplyReport(now, now, "e1", Report{Incarnation: 6})
	if r := n.Reachability(now); !slices.Equal(r.Reached, []string{"e1"}) || r.ListStale {
		t.Fatalf("%+v", r)
	}
	if n.Engines(now) != nil || n.engines["e1"] != nil {
		t.Fatal("an engine of another owner was taken in")
	}
	n.ApplyReport(now, now, "e0", Report{Incarnation: 5})
	n.SetPeers(nil)
	if polls := n.Polls(now); len(polls) > 0 {
		t.Fatalf("all answered and nobody misses them, and they are polled: %+v", polls)
	}
}
