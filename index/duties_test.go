package index

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// fleetOf makes a keeper that knows so many engines, named e0 and on.
func fleetOf(name string, engines int) *Node {
	k := New(name, "north", 1)
	var list []ListedEngine
	for i := range engines {
		list = append(list, ListedEngine{Name: fmt.Sprint("e", i), Addr: fmt.Sprint("e", i), Zone: "north"})
	}
	k.SetListing(1, list)
	return k
}

// TestPlacementMovesWhatItsOwnerCannotServe: an engine that is out of its owner's reach
// goes to a node that reaches it, and stays there, though that one has more than its part.
func TestPlacementMovesWhatItsOwnerCannotServe(t *testing.T) {
	k := fleetOf("a", 4)
	a := Peer{Name: "a", Roles: []string{EngineRole("e0"), EngineRole("e1")}, Reachability: Reachability{Silent: []string{"e0"}}}
	b := Peer{Name: "b", Roles: []string{EngineRole("e2"), EngineRole("e3")}}

	k.SetPeers([]Peer{a, b})
	if at := k.Placement()[EngineRole("e0")]; at != "a" {
		t.Fatalf("e0 went to %s, which never showed that it reaches it", at)
	}
	b.Reached = []string{"e0"}
	k.SetPeers([]Peer{a, b})
	if at := k.Placement()[EngineRole("e0")]; at != "b" {
		t.Fatalf("e0 stayed at %s, which can't serve it", at)
	}
	a.Roles = a.Roles[1:]
	k.SetPeers([]Peer{a, b})
	if at := k.Placement()[EngineRole("e0")]; at != "b" {
		t.Fatalf("e0 goes to %s between its owners", at)
	}
	b.Roles, b.Reached = append(b.Roles, EngineRole("e0")), nil
	k.SetPeers([]Peer{a, b})
	if at := k.Placement()[EngineRole("e0")]; at != "b" {
		t.Fatalf("e0 goes back to %s", at)
	}
	a.Roles, a.Silent = nil, []string{"e0", "e1", "e2", "e3"}
	b.Roles = []string{EngineRole("e0"), EngineRole("e1"), EngineRole("e2"), EngineRole("e3")}
	k.SetPeers([]Peer{a, b})
	for d, at := range k.Placement() {
		if strings.HasPrefix(d, engineRolePrefix) && at != "b" {
			t.Fatalf("%s goes to %s, which reaches none", d, at)
		}
	}
	a.Silent = nil
	k.SetPeers([]Peer{a, b})
	moved := 0
	for d, at := range k.Placement() {
		if strings.HasPrefix(d, engineRolePrefix) && at == "a" {
			moved++
		}
	}
	if moved != 2 {
		t.Fatalf("the way is mended and %d of 4 engines go over", moved)
	}
}

// TestPlacementLeavesTheStaleList: a node without the platform's list owns no engines
// while others can serve them; shards need no list.
func TestPlacementLeavesTheStaleList(t *testing.T) {
	k := fleetOf("a", 3)
	all := []string{"e0", "e1", "e2"}
	a := Peer{Name: "a", Roles: []string{EngineRole("e0"), EngineRole("e1"), ShardRole(0)}, Reachability: Reachability{ListStale: true}}
	b := Peer{Name: "b", Roles: []string{EngineRole("e2")}, Reachability: Reachability{Reached: all[:2]}}
	k.SetPeers([]Peer{a, b})
	place := k.Placement()
	for _, e := range all {
		if place[EngineRole(e)] != "b" {
			t.Fatalf("%s is placed at %s", e, place[EngineRole(e)])
		}
	}
	if place[ShardRole(0)] != "a" {
		t.Fatal("a shard moved, though it needs no list")
	}
	b.ListStale, b.Reached = true, nil
	k.SetPeers([]Peer{a, b})
	place = k.Placement()
	if place[EngineRole("e0")] != "a" || place[EngineRole("e2")] != "b" {
		t.Fatalf("nobody has a list, and engines move: %v", place)
	}
}

// TestPlacementAlike: all nodes place alike, whatever is out of reach, and every duty has
// a place.
func TestPlacementAlike(t *testing.T) {
	for silent := range 1 << 6 {
		var peers []Peer
		for i, name := range []string{"a", "b", "c"} {
			var out []string
			for e := range 2 {
				if silent&(1<<(2*i+e)) != 0 {
					out = append(out, fmt.Sprint("e", e))
				}
			}
			peers = append(peers, Peer{Name: name, Reachability: Reachability{Silent: out}})
		}
		a, b := fleetOf("a", 5), fleetOf("b", 5)
		a.SetPeers(peers)
		slices.Reverse(peers)
		b.SetPeers(peers)
		pa, pb := a.Placement(), b.Placement()
		for _, d := range a.allRoles() {
			if pa[d] == "" || pa[d] != pb[d] {
				t.Fatalf("silent %b: %s at %q and %q", silent, d, pa[d], pb[d])
			}
		}
	}
}

// own gives a keeper an engine's lease at time now.
func own(k *Node, now int64, engine string, epoch uint64) {
	d := EngineRole(engine)
	k.leases[d] = &roleLease{}
	k.LeaseAnswered(now, LeaseOp{Key: d}, now, true, epoch)
}

// TestReach: an owned engine that falls silent is told of, and asked on after its lease
// went to another node until it answers; one that another node can't serve is asked for
// a sign of life, and told of once it gave one.
func TestReach(t *testing.T) {
	k := fleetOf("a", 2)
	now := int64(10_000_000)
	listing := func() { k.ConfirmListing(now) }
	listing()
	own(k, now, "e0", 1)
	if ps := k.Polls(now); len(ps) != 1 || ps[0].Engine != "e0" || ps[0].FencingToken != 1 {
		t.Fatalf("polls: %+v", ps)
	}
	k.ApplyReport(now, now, "e0", Report{Incarnation: 5})
	if now += silentAfter; len(k.Reachability(now).Silent) > 0 {
		t.Fatal("told too early")
	}
	now++
	if r := k.Reachability(now); !slices.Equal(r.Silent, []string{"e0"}) || !r.ListStale {
		t.Fatalf("%+v", r)
	}
	listing()
	delete(k.leases, EngineRole("e0"))
	k.SetPeers([]Peer{{Name: "a"}, {Name: "b", Reachability: Reachability{Silent: []string{"e1"}}}})
	ps := k.Polls(now)
	if len(ps) != 2 || ps[0].FencingToken != 0 || ps[1].FencingToken != 0 || ps[0].NeedsHoldings || ps[1].NeedsHoldings {
		t.Fatalf("polls: %+v", ps)
	}
	k.ApplyReport(now, now, "e1", Report{Incarnation: 6})
	if r := k.Reachability(now); !slices.Equal(r.Reached, []string{"e1"}) || r.ListStale {
		t.Fatalf("%+v", r)
	}
	if k.Engines(now) != nil || k.engines["e1"] != nil {
		t.Fatal("an engine of another owner was taken in")
	}
	k.ApplyReport(now, now, "e0", Report{Incarnation: 5})
	k.SetPeers(nil)
	if ps := k.Polls(now); len(ps) > 0 {
		t.Fatalf("all answered and nobody misses them, and they are asked: %+v", ps)
	}
}
