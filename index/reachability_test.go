package index

import (
	"slices"
	"testing"
)

// holdEngine grants a node the lease of an engine at time now.
func holdEngine(n *Node, now int64, engine string, token uint64) {
	role := EngineRole(engine)
	n.leases[role] = &roleLease{}
	n.LeaseAnswered(now, LeaseOp{Key: role}, now, true, token)
}

// TestReachability: a node reports an owned engine that stops answering, and goes on polling
// it after it has lost the lease, until the engine answers. An engine that another node can't
// serve is probed, and reported as reached once it answers.
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
		t.Fatal("reported as silent too early")
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
			t.Fatalf("an engine of another owner is polled like an owned one: %+v", poll)
		}
	}
	n.ApplyReport(now, now, "e1", Report{Incarnation: 6})
	if r := n.Reachability(now); !slices.Equal(r.Reached, []string{"e1"}) || r.ListStale {
		t.Fatalf("%+v", r)
	}
	if n.Engines(now) != nil || n.engines["e1"] != nil {
		t.Fatal("an engine of another owner is listed as owned")
	}
	n.ApplyReport(now, now, "e0", Report{Incarnation: 5})
	n.SetPeers(nil)
	if polls := n.Polls(now); len(polls) > 0 {
		t.Fatalf("engines that answered and that no peer reports as silent are still polled: %+v", polls)
	}
}
