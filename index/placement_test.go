package index

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// newTestNode makes a node that knows so many engines, named e0 and on.
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

// engineRoles are the keys of the leases of engines.
func engineRoles(engines ...string) []string {
	var roles []string
	for _, engine := range engines {
		roles = append(roles, EngineRole(engine))
	}
	return roles
}

// enginesAt lists the engines that are placed at a node.
func enginesAt(n *Node, peer string) (engines []string) {
	for role, at := range n.Placement() {
		if engine, is := strings.CutPrefix(role, engineRolePrefix); is && at == peer {
			engines = append(engines, engine)
		}
	}
	return engines
}

// TestPlacementMovesWhatItsOwnerCannotServe: an engine that is out of its owner's reach
// goes to a node that reaches it, and stays there, though that one has more than its part.
func TestPlacementMovesWhatItsOwnerCannotServe(t *testing.T) {
	n := newTestNode("a", 4)
	silent := Reachability{Silent: []string{"e0"}}
	for _, step := range []struct {
		what   string
		a, b   Peer
		wantE0 string
	}{
		{"b never showed that it reaches e0",
			Peer{Name: "a", Roles: engineRoles("e0", "e1"), Reachability: silent},
			Peer{Name: "b", Roles: engineRoles("e2", "e3")}, "a"},
		{"a can't serve e0",
			Peer{Name: "a", Roles: engineRoles("e0", "e1"), Reachability: silent},
			Peer{Name: "b", Roles: engineRoles("e2", "e3"), Reachability: Reachability{Reached: []string{"e0"}}}, "b"},
		{"e0 is between its owners",
			Peer{Name: "a", Roles: engineRoles("e1"), Reachability: silent},
			Peer{Name: "b", Roles: engineRoles("e2", "e3"), Reachability: Reachability{Reached: []string{"e0"}}}, "b"},
		{"b owns e0",
			Peer{Name: "a", Roles: engineRoles("e1"), Reachability: silent},
			Peer{Name: "b", Roles: engineRoles("e2", "e3", "e0")}, "b"},
	} {
		n.SetPeers([]Peer{step.a, step.b})
		if at := n.Placement()[EngineRole("e0")]; at != step.wantE0 {
			t.Fatalf("%s: it is placed at %s", step.what, at)
		}
	}
}

// TestPlacementSpreadsAgainOnceReached: a node that reaches no engine gets none, and its
// part of them once it does.
func TestPlacementSpreadsAgainOnceReached(t *testing.T) {
	n := newTestNode("a", 4)
	a := Peer{Name: "a", Reachability: Reachability{Silent: []string{"e0", "e1", "e2", "e3"}}}
	b := Peer{Name: "b", Roles: engineRoles("e0", "e1", "e2", "e3")}
	n.SetPeers([]Peer{a, b})
	if engines := enginesAt(n, "b"); len(engines) != 4 {
		t.Fatalf("of four engines %v are placed at b, and a reaches none", engines)
	}
	a.Silent = nil
	n.SetPeers([]Peer{a, b})
	if engines := enginesAt(n, "a"); len(engines) != 2 {
		t.Fatalf("the way is mended and of 4 engines %v go over", engines)
	}
}

// TestPlacementLeavesTheStaleList: a node without the platform's list owns no engines
// while others can serve them; shards need no list.
func TestPlacementLeavesTheStaleList(t *testing.T) {
	n := newTestNode("a", 3)
	engines := []string{"e0", "e1", "e2"}
	a := Peer{Name: "a", Roles: append(engineRoles("e0", "e1"), ShardRole(0)), Reachability: Reachability{ListStale: true}}
	b := Peer{Name: "b", Roles: engineRoles("e2"), Reachability: Reachability{Reached: engines[:2]}}
	n.SetPeers([]Peer{a, b})
	placement := n.Placement()
	for _, engine := range engines {
		if placement[EngineRole(engine)] != "b" {
			t.Fatalf("%s is placed at %s", engine, placement[EngineRole(engine)])
		}
	}
	if placement[ShardRole(0)] != "a" {
		t.Fatal("a shard moved, though it needs no list")
	}
	b.ListStale, b.Reached = true, nil
	n.SetPeers([]Peer{a, b})
	placement = n.Placement()
	if placement[EngineRole("e0")] != "a" || placement[EngineRole("e2")] != "b" {
		t.Fatalf("nobody has a list, and engines move: %v", placement)
	}
}

// TestPlacementAlike: all nodes place alike, whatever is out of reach, and every role has a
// place.
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
				t.Fatalf("silent %b: %s at %q and %q", silent, role, atA[role], atB[role])
			}
		}
	}
}
