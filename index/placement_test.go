package index

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// newTestNode returns a node that knows the given number of engines, named e0, e1 and so on.
func newTestNode(name string, engines int) *Node {
	n := New(name, "north", 1)
	var listing []ListedEngine
	for i := range engines {
		engine := fmt.Sprint("e", i)
		listing = append(listing, ListedEngine{Name: engine, Addr: engine, Zone: "north"})
	}
	n.SetListing(1, listing)
	return n
}

// engineRoles returns the lease keys of engines.
func engineRoles(engines ...string) []string {
	var roles []string
	for _, engine := range engines {
		roles = append(roles, EngineRole(engine))
	}
	return roles
}

// enginesAt lists the engines that are placed on a node.
func enginesAt(n *Node, peer string) (engines []string) {
	for role, at := range n.Placement() {
		if engine, ok := strings.CutPrefix(role, engineRolePrefix); ok && at == peer {
			engines = append(engines, engine)
		}
	}
	return engines
}

// TestPlacementMovesWhatItsOwnerCannotServe: an engine that its owner can't reach moves to a
// node that reaches it, and stays there even though that node's load exceeds the bound.
func TestPlacementMovesWhatItsOwnerCannotServe(t *testing.T) {
	n := newTestNode("a", 4)
	silent := Reachability{Silent: []string{"e0"}}
	for _, step := range []struct {
		what   string
		a, b   Peer
		wantE0 string
	}{
		{"b has not proved that it reaches e0",
			Peer{Name: "a", Roles: engineRoles("e0", "e1"), Reachability: silent},
			Peer{Name: "b", Roles: engineRoles("e2", "e3")}, "a"},
		{"a can't serve e0",
			Peer{Name: "a", Roles: engineRoles("e0", "e1"), Reachability: silent},
			Peer{Name: "b", Roles: engineRoles("e2", "e3"), Reachability: Reachability{Reached: []string{"e0"}}}, "b"},
		{"a has released e0 and b does not hold it yet",
			Peer{Name: "a", Roles: engineRoles("e1"), Reachability: silent},
			Peer{Name: "b", Roles: engineRoles("e2", "e3"), Reachability: Reachability{Reached: []string{"e0"}}}, "b"},
		{"b owns e0",
			Peer{Name: "a", Roles: engineRoles("e1"), Reachability: silent},
			Peer{Name: "b", Roles: engineRoles("e2", "e3", "e0")}, "b"},
	} {
		n.SetPeers([]Peer{step.a, step.b})
		if at := n.Placement()[EngineRole("e0")]; at != step.wantE0 {
			t.Fatalf("%s: e0 is placed on %s", step.what, at)
		}
	}
}

// TestPlacementSpreadsAgainOnceReached: a node that reaches no engine gets none, and gets its
// share once it reaches them.
func TestPlacementSpreadsAgainOnceReached(t *testing.T) {
	n := newTestNode("a", 4)
	a := Peer{Name: "a", Reachability: Reachability{Silent: []string{"e0", "e1", "e2", "e3"}}}
	b := Peer{Name: "b", Roles: engineRoles("e0", "e1", "e2", "e3")}
	n.SetPeers([]Peer{a, b})
	if engines := enginesAt(n, "b"); len(engines) != 4 {
		t.Fatalf("a reaches no engine, and only %v of 4 are placed on b", engines)
	}
	a.Silent = nil
	n.SetPeers([]Peer{a, b})
	if engines := enginesAt(n, "a"); len(engines) != 2 {
		t.Fatalf("a reaches all engines again, and %v of 4 move to it", engines)
	}
}

// TestPlacementLeavesTheStaleList: a node whose copy of the platform's list is stale owns no
// engines while others can serve them. It keeps its shards, which don't depend on the list.
func TestPlacementLeavesTheStaleList(t *testing.T) {
	n := newTestNode("a", 3)
	engines := []string{"e0", "e1", "e2"}
	a := Peer{Name: "a", Roles: append(engineRoles("e0", "e1"), ShardRole(0)), Reachability: Reachability{ListStale: true}}
	b := Peer{Name: "b", Roles: engineRoles("e2"), Reachability: Reachability{Reached: engines[:2]}}
	n.SetPeers([]Peer{a, b})
	placement := n.Placement()
	for _, engine := range engines {
		if placement[EngineRole(engine)] != "b" {
			t.Fatalf("%s is placed on %s", engine, placement[EngineRole(engine)])
		}
	}
	if placement[ShardRole(0)] != "a" {
		t.Fatal("a shard moved because of a stale list")
	}
	b.ListStale, b.Reached = true, nil
	n.SetPeers([]Peer{a, b})
	placement = n.Placement()
	if placement[EngineRole("e0")] != "a" || placement[EngineRole("e2")] != "b" {
		t.Fatalf("the lists of all nodes are stale, and engines move: %v", placement)
	}
}

// TestPlacementAlike: whichever engines are silent, all nodes compute the same placement, and
// every role is placed.
func TestPlacementAlike(t *testing.T) {
	for silent := range 1 << 6 {
		var peers []Peer
		for i, name := range []string{"a", "b", "c"} {
			var unreached []string
			for e := range 2 {
				if silent&(1<<(2*i+e)) != 0 {
					unreached = append(unreached, fmt.Sprint("e", e))
				}
			}
			peers = append(peers, Peer{Name: name, Reachability: Reachability{Silent: unreached}})
		}
		a, b := newTestNode("a", 5), newTestNode("b", 5)
		a.SetPeers(peers)
		slices.Reverse(peers)
		b.SetPeers(peers)
		atA, atB := a.Placement(), b.Placement()
		for _, role := range a.allRoles() {
			if atA[role] == "" || atA[role] != atB[role] {
				t.Fatalf("silent %b: %s is placed on %q and %q", silent, role, atA[role], atB[role])
			}
		}
	}
}
