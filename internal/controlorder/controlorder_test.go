package controlorder

import (
	"slices"
	"testing"
)

const second = 1_000_000

// TestSort: each case checks one rule, in the order of the package comment.
func TestSort(t *testing.T) {
	const now = 100 * second
	for _, c := range []struct {
		name    string
		current string
		nodes   map[string]*Node
		want    []string
	}{
		{"nobody", "", nil, nil},
		{"a node that failed recently comes last", "near", map[string]*Node{
			"near": {Zone: "north", FailedAt: now - second}, "far": {Zone: "south"}}, []string{"far", "near"}},
		{"a failure expires", "", map[string]*Node{
			"near": {Zone: "north", FailedAt: now - AvoidUS}, "far": {Zone: "south"}}, []string{"near", "far"}},
		{"of the failed nodes, the oldest failure first", "near", map[string]*Node{
			"near": {Zone: "north", FailedAt: now - 100}, "far": {Zone: "south", FailedAt: now - second}}, []string{"far", "near"}},
		{"a stale list ranks after a fresh one", "near", map[string]*Node{
			"near": {Zone: "north", StaleListAt: now - second}, "far": {Zone: "south"}}, []string{"far", "near"}},
		{"a stale list expires", "", map[string]*Node{
			"near": {Zone: "north", StaleListAt: now - AvoidStaleListUS}, "far": {Zone: "south"}}, []string{"near", "far"}},
		{"own zone, unknown, other zone", "", map[string]*Node{
			"near": {Zone: "north"}, "new": {}, "far": {Zone: "south"}}, []string{"near", "new", "far"}},
		{"the current node within a zone", "b", map[string]*Node{
			"a": {Zone: "north"}, "b": {Zone: "north"}, "c": {Zone: "north"}}, []string{"b", "a", "c"}},
		{"the current node in another zone ranks level with an unknown zone", "far", map[string]*Node{
			"near": {Zone: "north"}, "far": {Zone: "south"}}, []string{"near", "far"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Preference{Name: "proxy", Zone: "north", Current: c.current}.Sort(now, c.nodes)
			if !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestFollowersSpread: followers without a preference are spread over the nodes, so that not all
// of them poll the same node first.
func TestFollowersSpread(t *testing.T) {
	nodes := map[string]*Node{"a": {}, "b": {}, "c": {}}
	first := map[string]int{}
	for i := range 300 {
		p := Preference{Name: "proxy-" + string(rune('A'+i%26)) + string(rune('a'+i/26))}
		first[p.Sort(second, nodes)[0]]++
	}
	for addr := range nodes {
		if first[addr] < 50 {
			t.Errorf("%s is first for %d of 300 followers", addr, first[addr])
		}
	}
}
