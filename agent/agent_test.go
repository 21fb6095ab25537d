package agent

import (
	"testing"

	"violetthread/plan"
	"violetthread/schema/fb"
)

// TestAsksGoRoundACutLink: an index node that does not answer is asked through one that
// does, whose answers keep their age, and directly again after a while.
func TestAsksGoRoundACutLink(t *testing.T) {
	g := New("proxy", "north")
	nodes := []*fb.NodeT{
		{Name: "i1", Role: "custodian", Addr: "addr1"},
		{Name: "i2", Role: "custodian", Addr: "addr2"},
		{Name: "i3", Role: "custodian", Addr: "addr3"},
	}
	ask := func(now int64) map[string]Query {
		g.Poll(now, &plan.Cached{}, 0, &fb.FeedRequestT{})
		out := map[string]Query{}
		for _, a := range g.Queries(now, nodes) {
			out[a.IndexNode] = a
			if a.Addr != "addr"+a.Via[1:] {
				t.Fatalf("%+v", a)
			}
		}
		return out
	}
	now := int64(1_000_000)
	as := ask(now)
	for _, n := range []string{"i1", "i2", "i3"} {
		if a := as[n]; a.Via != n || a.Request.To != "" {
			t.Fatalf("%+v", a)
		}
	}
	g.HandleResponse(as["i1"], now, nil)
	g.HandleResponse(as["i2"], now, &fb.CapacityResponseT{})
	asked := now
	now += 100_000
	as = ask(now)
	if a := as["i1"]; a.Via != "i2" && a.Via != "i3" || a.Request.To != "i1" {
		t.Fatalf("%+v", a)
	}
	if a := as["i2"]; a.Via != "i2" {
		t.Fatalf("%+v", a)
	}
	if _, busy := as["i3"]; busy {
		t.Fatal("i3 was asked twice at a time")
	}
	g.HandleResponse(as["i1"], now, &fb.CapacityResponseT{Grants: []*fb.GrantT{{Engine: "e", Age: 7}}})
	if f := g.Poll(now+50, &plan.Cached{}, 0, &fb.FeedRequestT{}); len(f.Grants) != 1 || f.Grants[0].Age != 57 {
		t.Fatalf("%+v", f.Grants)
	}
	if a := ask(asked + relayDuration)["i1"]; a.Via != "i1" || a.Request.To != "" {
		t.Fatalf("%+v", a)
	}
}

// TestNobodyPassesOn: with no other index node that answers, the one is asked directly.
func TestNobodyPassesOn(t *testing.T) {
	g := New("proxy", "north")
	nodes := []*fb.NodeT{{Name: "i1", Role: "custodian", Addr: "addr1"}, {Name: "i2", Role: "custodian", Addr: "addr2"}}
	g.Poll(0, &plan.Cached{}, 0, &fb.FeedRequestT{})
	for _, a := range g.Queries(0, nodes) {
		g.HandleResponse(a, 0, nil)
	}
	for _, a := range g.Queries(100, nodes) {
		if a.Via != a.IndexNode {
			t.Fatalf("%+v", a)
		}
	}
}
