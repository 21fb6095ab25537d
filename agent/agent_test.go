package agent

import (
	"testing"

	"violetthread/membership"
	"violetthread/plan"
	"violetthread/schema/fb"
)

// indexNodes returns index nodes of the given names; the address of i1 is addr1.
func indexNodes(names ...string) (nodes []*fb.NodeT) {
	for _, name := range names {
		nodes = append(nodes, &fb.NodeT{Name: name, Role: membership.RoleIndexNode, Addr: addrOf(name)})
	}
	return nodes
}

func addrOf(indexNode string) string { return "addr" + indexNode[1:] }

// queriesByNode polls an agent and returns its queries, by destination index node.
func queriesByNode(t *testing.T, a *Agent, now int64, nodes []*fb.NodeT) map[string]Query {
	t.Helper()
	a.Poll(now, &plan.Cached{}, 0, &fb.FeedRequestT{})
	queries := map[string]Query{}
	for _, query := range a.Queries(now, nodes) {
		queries[query.IndexNode] = query
		if query.Addr != addrOf(query.Via) {
			t.Fatalf("%+v", query)
		}
	}
	return queries
}

// TestAsksGoRoundACutLink: an index node that does not respond is queried through one that
// does, and directly again after relayDuration. The grants in relayed responses keep their
// age.
func TestAsksGoRoundACutLink(t *testing.T) {
	a := New("proxy", "north")
	nodes := indexNodes("i1", "i2", "i3")
	now := int64(1_000_000)
	queries := queriesByNode(t, a, now, nodes)
	for _, name := range []string{"i1", "i2", "i3"} {
		if query := queries[name]; query.Via != name || query.Request.To != "" {
			t.Fatalf("%+v", query)
		}
	}
	a.HandleResponse(queries["i1"], now, nil)
	a.HandleResponse(queries["i2"], now, &fb.CapacityResponseT{})
	askedAt := now
	now += 100_000
	queries = queriesByNode(t, a, now, nodes)
	if query := queries["i1"]; query.Via != "i2" && query.Via != "i3" || query.Request.To != "i1" {
		t.Fatalf("%+v", query)
	}
	if query := queries["i2"]; query.Via != "i2" {
		t.Fatalf("%+v", query)
	}
	if _, busy := queries["i3"]; busy {
		t.Fatal("a second query to i3 while the first is in flight")
	}
	a.HandleResponse(queries["i1"], now, &fb.CapacityResponseT{Grants: []*fb.GrantT{{Engine: "e", Age: 7}}})
	if response := a.Poll(now+50, &plan.Cached{}, 0, &fb.FeedRequestT{}); len(response.Grants) != 1 || response.Grants[0].Age != 57 {
		t.Fatalf("%+v", response.Grants)
	}
	if query := queriesByNode(t, a, askedAt+relayDuration, nodes)["i1"]; query.Via != "i1" || query.Request.To != "" {
		t.Fatalf("%+v", query)
	}
}

// TestQueriedDirectlyWithoutRelay: if no other index node responds, an index node is queried
// directly.
func TestQueriedDirectlyWithoutRelay(t *testing.T) {
	a := New("proxy", "north")
	nodes := indexNodes("i1", "i2")
	a.Poll(0, &plan.Cached{}, 0, &fb.FeedRequestT{})
	for _, query := range a.Queries(0, nodes) {
		a.HandleResponse(query, 0, nil)
	}
	for _, query := range a.Queries(100, nodes) {
		if query.Via != query.IndexNode {
			t.Fatalf("%+v", query)
		}
	}
}
