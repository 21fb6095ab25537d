package fairqueue

import "testing"

// oneGroup is the demand of a proxy at which only group g has anything.
func oneGroup(n float64) map[string]float64 { return map[string]float64{"g": n} }

// TestSplit: places never sum up to more than the capacity, no proxy goes without one that
// can have it, more demand never means less, and what nobody demands goes to all alike.
func TestSplit(t *testing.T) {
	for capacity := range 40 {
		for round := range 5 {
			demands := []Demand{{"a", oneGroup(0)}, {"b", oneGroup(3)}, {"c", oneGroup(30)}, {"d", oneGroup(3)}, {"e", oneGroup(1)}}
			places := Split(capacity, nil, 1, demands, round)
			sum := 0
			for _, demand := range demands {
				sum += places[demand.Proxy]
				if capacity >= len(demands) && places[demand.Proxy] == 0 {
					t.Fatalf("capacity %d: %s has none: %v", capacity, demand.Proxy, places)
				}
			}
			if sum > capacity || capacity >= len(demands) && sum != capacity {
				t.Fatalf("capacity %d shared as %v", capacity, places)
			}
			if places["c"] < places["b"] || places["b"] < places["a"] && capacity >= len(demands) {
				t.Fatalf("capacity %d: more demand, fewer places: %v", capacity, places)
			}
		}
	}
}

// TestSplitGoesRound: a single place goes to three proxies with the same demand in turn.
func TestSplitGoesRound(t *testing.T) {
	got := map[string]int{}
	for round := range 300 {
		for proxy, n := range Split(1, nil, 1, []Demand{{"a", oneGroup(1)}, {"b", oneGroup(1)}, {"c", oneGroup(1)}}, round) {
			got[proxy] += n
		}
	}
	if got["a"] < 98 || got["b"] < 98 || got["c"] < 98 {
		t.Fatalf("a single place goes round as %v", got)
	}
}

// TestSplitByGroups: a group that floods one proxy takes no capacity from a group of
// another proxy that stays within its share, and gets all that is left.
func TestSplitByGroups(t *testing.T) {
	demands := []Demand{
		{"a", map[string]float64{"flood": 500}},
		{"b", map[string]float64{"orders": 12}},
		{"c", map[string]float64{"orders": 6}},
	}
	shares := map[string]float64{"flood": 1, "orders": 4}
	for round := range 4 {
		if places := Split(24, shares, 1, demands, round); places["a"] != 6 || places["b"] != 12 || places["c"] != 6 {
			t.Fatalf("one engine: %v", places)
		}
		// The same demand goes to two engines: half of it is this one's.
		if places := Split(24, shares, 2, demands, round); places["a"] != 15 || places["b"] != 6 || places["c"] != 3 {
			t.Fatalf("two engines: %v", places)
		}
	}
}
