package fairqueue

import (
	"math"
	"slices"
	"strings"
)

// epsilon is the tolerance for rounding errors in floating-point sums of slots.
const epsilon = 1e-9

// Demand is what one proxy reports to the owner of an engine.
type Demand struct {
	Proxy   string
	ByGroup map[string]float64 // recent number of waiting and running requests at the proxy, by group
}

// Split divides the capacity of one engine between proxies, and returns the number of slots of
// each proxy. First it divides the capacity between the groups of all proxies by their shares (1
// for a group without one); no group gets more than its demand, which is assumed to be spread
// evenly over the given number of engines. It then divides each group's allocation between the
// proxies in proportion to the group's demand there, so that a group that floods one proxy takes
// nothing from the groups of other proxies. Every proxy gets at least one slot if there are
// enough, and capacity without demand is divided equally.
//
// Fractions of a slot rotate: over successive rounds each proxy gets an extra slot in proportion
// to its fraction. The result is a deterministic function of the arguments, so that all owners
// compute the same.
func Split(capacity int, shares map[string]float64, engines int, demands []Demand, round int) map[string]int {
	slots := map[string]int{}
	if len(demands) == 0 || capacity <= 0 {
		return slots
	}
	demands = slices.Clone(demands)
	slices.SortFunc(demands, func(a, b Demand) int { return strings.Compare(a.Proxy, b.Proxy) })
	allocations := fairAllocations(float64(capacity), shares, float64(max(1, engines)), demands)
	remaining := capacity
	if capacity >= len(demands) {
		remaining -= len(demands)
		for i, demand := range demands {
			slots[demand.Proxy] = 1
			allocations[i] = max(0, allocations[i]-1)
		}
	}
	scaleToSum(allocations, remaining)
	roundToSlots(slots, allocations, remaining, demands, round)
	return slots
}

// scaleToSum adjusts allocations so that their sum is total: a shortfall is added to all equally,
// and an excess is removed by scaling all in proportion.
func scaleToSum(allocations []float64, total int) {
	sum := 0.0
	for _, allocation := range allocations {
		sum += allocation
	}
	if missing := float64(total) - sum; missing > 0 {
		for i := range allocations {
			allocations[i] += missing / float64(len(allocations))
		}
		sum = float64(total)
	}
	if sum <= 0 {
		return
	}
	for i := range allocations {
		allocations[i] *= float64(total) / sum
	}
}

// roundToSlots rounds allocations to whole slots, remaining in total, and adds them to slots. It
// uses systematic sampling: the fractional parts are placed end to end on the number line, and a
// proxy gets an extra slot if a whole number, shifted by an offset for the round, falls into its
// fractional part. The offset is the fractional part of a multiple of the golden ratio; such
// fractions are evenly distributed for any number of rounds.
func roundToSlots(slots map[string]int, allocations []float64, remaining int, demands []Demand, round int) {
	_, shift := math.Modf(float64(round) * math.Phi)
	untilNextSlot := 1 - shift
	assigned := 0
	for i, demand := range demands {
		whole := int(allocations[i] + epsilon)
		if untilNextSlot -= allocations[i] - float64(whole); untilNextSlot <= epsilon {
			untilNextSlot++
			whole++
		}
		whole = min(whole, remaining-assigned)
		slots[demand.Proxy] += whole
		assigned += whole
	}
	if assigned < remaining { // lost to rounding errors
		slots[demands[0].Proxy] += remaining - assigned
	}
}

// fairAllocations divides the capacity between groups, divides each group's allocation between
// the proxies by their demand, and returns for each proxy the sum over all groups.
func fairAllocations(capacity float64, shares map[string]float64, engines float64, demands []Demand) []float64 {
	wanted := map[string]float64{}
	for _, demand := range demands {
		for group, n := range demand.ByGroup {
			wanted[group] += n
		}
	}
	groups := make([]string, 0, len(wanted))
	for group := range wanted {
		groups = append(groups, group)
	}
	slices.Sort(groups)
	granted := progressiveFill(capacity, shares, engines, groups, wanted)
	allocations := make([]float64, len(demands))
	for i, demand := range demands {
		for _, group := range groups {
			if n := demand.ByGroup[group]; n > 0 {
				allocations[i] += granted[group] * n / wanted[group]
			}
		}
	}
	return allocations
}

// progressiveFill divides the capacity of one engine between groups by their shares, and limits
// each group to its demand per engine. It divides the capacity left over by satisfied groups
// between the others until no further group reaches its demand.
func progressiveFill(capacity float64, shares map[string]float64, engines float64, groups []string, wanted map[string]float64) map[string]float64 {
	granted := map[string]float64{}
	for open := groups; capacity > epsilon && len(open) > 0; {
		sum := 0.0
		for _, group := range open {
			sum += shareOf(shares, group)
		}
		var unsatisfied []string
		remaining := capacity
		for _, group := range open {
			need := wanted[group]/engines - granted[group]
			if need > capacity*shareOf(shares, group)/sum {
				unsatisfied = append(unsatisfied, group)
				continue
			}
			granted[group] += need
			remaining -= need
		}
		if len(unsatisfied) == len(open) {
			for _, group := range open {
				granted[group] += capacity * shareOf(shares, group) / sum
			}
			break
		}
		open, capacity = unsatisfied, remaining
	}
	return granted
}

// shareOf returns the share of a group, 1 by default.
func shareOf(shares map[string]float64, group string) float64 {
	if share := shares[group]; share > 0 {
		return share
	}
	return 1
}
