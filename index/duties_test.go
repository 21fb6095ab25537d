package index

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// fleetOf makes a keeper that knows so many engines, named e0 and on.
func fleetOf(name string, engines int) *Keeper {
	k := New(name, "north", 1)
	var list []Listed
	for i := range engines {
		list = append(list, Listed{Name: fmt.Sprint("e", i), Addr: fmt.Sprint("e", i), Site: "north"})
	}
	k.Listing(1, list)
	return k
}

// TestPlacementMovesWhatItsOwnerCannotServe: an engine that is out of its owner's reach
// goes to a node that reaches it, and stays there, though that one has more than its part.
func TestPlacementMovesWhatItsOwnerCannotServe(t *testing.T) {
	k := fleetOf("a", 4)
	a := Custodian{Name: "a", Duties: []string{EngineDuty("e0"), EngineDuty("e1")}, Reach: Reach{Silent: []string{"e0"}}}
	b := Custodian{Name: "b", Duties: []string{EngineDuty("e2"), EngineDuty("e3")}}

	k.Peers([]Custodian{a, b})
	if at := k.Placement()[EngineDuty("e0")]; at != "a" {
		t.Fatalf("e0 went to %s, which never showed that it reaches it", at)
	}
	b.Reached = []string{"e0"}
	k.Peers([]Custodian{a, b})
	if at := k.Placement()[EngineDuty("e0")]; at != "b" {
		t.Fatalf("e0 stayed at %s, which can't serve it", at)
	}
	a.Duties = a.Duties[1:]
	k.Peers([]Custodian{a, b})
	if at := k.Placement()[EngineDuty("e0")]; at != "b" {
		t.Fatalf("e0 goes to %s between its owners", at)
	}
	b.Duties, b.Reached = append(b.Duties, EngineDuty("e0")), nil
	k.Peers([]Custodian{a, b})
	if at := k.Placement()[EngineDuty("e0")]; at != "b" {
		t.Fatalf("e0 goes back to %s", at)
	}
	a.Duties, a.Silent = nil, []string{"e0", "e1", "e2", "e3"}
	b.Duties = []string{EngineDuty("e0"), EngineDuty("e1"), EngineDuty("e2"), EngineDuty("e3")}
	k.Peers([]Custodian{a, b})
	for d, at := range k.Placement() {
		if strings.HasPrefix(d, engineDutyPrefix) && at != "b" {
			t.Fatalf("%s goes to %s, which reaches none", d, at)
		}
	}
	a.Silent = nil
	k.Peers([]Custodian{a, b})
	moved := 0
	for d, at := range k.Placement() {
		if strings.HasPrefix(d, engineDutyPrefix) && at == "a" {
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
	a := Custodian{Name: "a", Duties: []string{EngineDuty("e0"), EngineDuty("e1"), ShardDuty(0)}, Reach: Reach{ListStale: true}}
	b := Custodian{Name: "b", Duties: []string{EngineDuty("e2")}, Reach: Reach{Reached: all[:2]}}
	k.Peers([]Custodian{a, b})
	place := k.Placement()
	for _, e := range all {
		if place[EngineDuty(e)] != "b" {
			t.Fatalf("%s is placed at %s", e, place[EngineDuty(e)])
		}
	}
	if place[ShardDuty(0)] != "a" {
		t.Fatal("a shard moved, though it needs no list")
	}
	b.ListStale, b.Reached = true, nil
	k.Peers([]Custodian{a, b})
	place = k.Placement()
	if place[EngineDuty("e0")] != "a" || place[EngineDuty("e2")] != "b" {
		t.Fatalf("nobody has a list, and engines move: %v", place)
	}
}

// TestPlacementAlike: all nodes place alike, whatever is out of reach, and every duty has
// a place.
func TestPlacementAlike(t *testing.T) {
	for silent := range 1 << 6 {
		var peers []Custodian
		for i, name := range []string{"a", "b", "c"} {
			var out []string
			for e := range 2 {
				if silent&(1<<(2*i+e)) != 0 {
					out = append(out, fmt.Sprint("e", e))
				}
			}
			peers = append(peers, Custodian{Name: name, Reach: Reach{Silent: out}})
		}
		a, b := fleetOf("a", 5), fleetOf("b", 5)
		a.Peers(peers)
		slices.Reverse(peers)
		b.Peers(peers)
		pa, pb := a.Placement(), b.Placement()
		for _, d := range a.allDuties() {
			if pa[d] == "" || pa[d] != pb[d] {
				t.Fatalf("silent %b: %s at %q and %q", silent, d, pa[d], pb[d])
			}
		}
	}
}

// own gives a keeper an engine's lease at time now.
func own(k *Keeper, now int64, engine string, epoch uint64) {
	d := EngineDuty(engine)
	k.duties[d] = &duty{}
	k.Held(now, DutyAsk{Key: d}, now, true, epoch)
}

// TestReach: an owned engine that falls silent is told of, and asked on after its lease
// went to another node until it answers; one that another node can't serve is asked for
// a sign of life, and told of once it gave one.
func TestReach(t *testing.T) {
	k := fleetOf("a", 2)
	now := int64(10_000_000)
	listing := func() { k.ListingStands(now) }
	listing()
	own(k, now, "e0", 1)
	if ps := k.Polls(now); len(ps) != 1 || ps[0].Engine != "e0" || ps[0].Epoch != 1 {
		t.Fatalf("polls: %+v", ps)
	}
	k.Reported(now, now, "e0", Report{Inc: 5})
	if now += silentAfter; len(k.Reach(now).Silent) > 0 {
		t.Fatal("told too early")
	}
	now++
	if r := k.Reach(now); !slices.Equal(r.Silent, []string{"e0"}) || !r.ListStale {
		t.Fatalf("%+v", r)
	}
	listing()
	delete(k.duties, EngineDuty("e0"))
	k.Peers([]Custodian{{Name: "a"}, {Name: "b", Reach: Reach{Silent: []string{"e1"}}}})
	ps := k.Polls(now)
	if len(ps) != 2 || ps[0].Epoch != 0 || ps[1].Epoch != 0 || ps[0].Whole || ps[1].Whole {
		t.Fatalf("polls: %+v", ps)
	}
	k.Reported(now, now, "e1", Report{Inc: 6})
	if r := k.Reach(now); !slices.Equal(r.Reached, []string{"e1"}) || r.ListStale {
		t.Fatalf("%+v", r)
	}
	if k.Engines(now) != nil || k.engines["e1"] != nil {
		t.Fatal("an engine of another owner was taken in")
	}
	k.Reported(now, now, "e0", Report{Inc: 5})
	k.Peers(nil)
	if ps := k.Polls(now); len(ps) > 0 {
		t.Fatalf("all answered and nobody misses them, and they are asked: %+v", ps)
	}
}
