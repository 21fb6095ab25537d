package fairqueue

import "testing"

// oneGroup returns the demand of a proxy with requests of group g only.
func oneGroup(n float64) map[string]float64 { return map[string]float64{"g": n} }

// TestSplit checks that the slots of all proxies do not exceed the capacity, and use all of it if
// there are enough for all proxies; that each proxy then has at least one; and that a proxy with
// more demand never gets fewer slots.
func TestSplit(t *testing.T) {
	for capacity := range 40 {
		for round := range 5 {
			demands := []Demand{{"a", oneGroup(0)}, {"b", oneGroup(3)}, {"c", oneGroup(30)}, {"d", oneGroup(3)}, {"e", oneGroup(1)}}
			slots := Split(capacity, nil, 1, demands, round)
			sum := 0
			for _, demand := range demands {
				sum += slots[demand.Proxy]
				if capacity >= len(demands) && slots[demand.Proxy] == 0 {
					t.Fatalf("capacity %d: no slot for proxy %s: %v", capacity, demand.Proxy, slots)
				}
			}
			if sum > capacity || capacity >= len(demands) && sum != capacity {
				t.Fatalf("capacity %d: wrong total of slots: %v", capacity, slots)
			}
			if slots["c"] < slots["b"] || slots["b"] < slots["a"] && capacity >= len(demands) {
				t.Fatalf("capacity %d: fewer slots for a proxy with more demand: %v", capacity, slots)
			}
		}
	}
}

// TestSplitGoesRound checks that a single slot rotates evenly between three proxies with the same
// demand.
func TestSplitGoesRound(t *testing.T) {
	got := map[string]int{}
	for round := range 300 {
		for proxy, n := range Split(1, nil, 1, []Demand{{"a", oneGroup(1)}, {"b", oneGroup(1)}, {"c", oneGroup(1)}}, round) {
			got[proxy] += n
		}
	}
	if got["a"] < 98 || got["b"] < 98 || got["c"] < 98 {
		t.Fatalf("uneven rotation of a single slot: %v", got)
	}
}

// TestSplitByGroups checks that a group that floods one proxy takes no capacity from a group of
// other proxies that stays within its share, and that it gets all remaining capacity.
func TestSplitByGroups(t *testing.T) {
	demands := []Demand{
		{"a", map[string]float64{"flood": 500}},
		{"b", map[string]float64{"orders": 12}},
		{"c", map[string]float64{"orders": 6}},
	}
	shares := map[string]float64{"flood": 1, "orders": 4}
	for round := range 4 {
		if slots := Split(24, shares, 1, demands, round); slots["a"] != 6 || slots["b"] != 12 || slots["c"] != 6 {
			t.Fatalf("one engine: %v", slots)
		}
		// With two engines, half of the demand applies to each.
		if slots := Split(24, shares, 2, demands, round); slots["a"] != 15 || slots["b"] != 6 || slots["c"] != 3 {
			t.Fatalf("two engines: %v", slots)
		}
	}
}
