package fairqueue

import (
	"math"
	"slices"
	"strings"
)

// epsilon is what a floating-point sum of places may be off by.
const epsilon = 1e-9

// Demand is what one proxy reports to the owner of an engine.
type Demand struct {
	Proxy   string
	ByGroup map[string]float64 // requests waiting and running there of late, by group
}

// Split shares the capacity of one engine between proxies, and returns the places of each.
// First the groups of all proxies together get it by their shares (1 for a group without
// one), none more than its demand, which is spread over so many engines. Each group's part
// then goes where its demand is, so that a group that floods one proxy takes nothing from
// the groups of other proxies. Every proxy gets one place while there are enough, and
// places that nobody demands go to all alike.
//
// Parts of a place go round: over successive rounds each proxy gets a place as often as
// its part says. All owners that pass the same arguments get the same result.
func Split(capacity int, shares map[string]float64, engines int, demands []Demand, round int) map[string]int {
	places := map[string]int{}
	if len(demands) == 0 || capacity <= 0 {
		return places
	}
	demands = slices.Clone(demands)
	slices.SortFunc(demands, func(a, b Demand) int { return strings.Compare(a.Proxy, b.Proxy) })
	parts := fairParts(float64(capacity), shares, float64(max(1, engines)), demands)
	left := capacity
	if capacity >= len(demands) {
		left -= len(demands)
		for i, demand := range demands {
			places[demand.Proxy] = 1
			parts[i] = max(0, parts[i]-1)
		}
	}
	scaleTo(parts, left)
	roundParts(places, parts, left, demands, round)
	return places
}

// scaleTo makes parts sum up to total: what is missing is added to all alike, what is too
// much is taken from each by its size.
func scaleTo(parts []float64, total int) {
	sum := 0.0
	for _, part := range parts {
		sum += part
	}
	if missing := float64(total) - sum; missing > 0 {
		for i := range parts {
			parts[i] += missing / float64(len(parts))
		}
		sum = float64(total)
	}
	if sum <= 0 {
		return
	}
	for i := range parts {
		parts[i] *= float64(total) / sum
	}
}

// roundParts adds whole places, left in all, that follow from parts. The remainders are
// laid end to end, and a proxy gets one place more where the next whole number, shifted by
// the round, falls into its own. The shift is a multiple of the golden ratio, whose
// fractions are spread evenly whatever the number of rounds.
func roundParts(places map[string]int, parts []float64, left int, demands []Demand, round int) {
	_, shift := math.Modf(float64(round) * math.Phi)
	toNext := 1 - shift
	given := 0
	for i, demand := range demands {
		whole := int(parts[i] + epsilon)
		if toNext -= parts[i] - float64(whole); toNext <= epsilon {
			toNext++
			whole++
		}
		whole = min(whole, left-given)
		places[demand.Proxy] += whole
		given += whole
	}
	if given < left { // lost by rounding
		places[demands[0].Proxy] += left - given
	}
}

// fairParts divides the capacity between groups, and returns for each demand the sum of
// its parts of the groups that it names.
func fairParts(capacity float64, shares map[string]float64, engines float64, demands []Demand) []float64 {
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
	granted := fillByShare(capacity, shares, engines, groups, wanted)
	parts := make([]float64, len(demands))
	for i, demand := range demands {
		for _, group := range groups {
			if n := demand.ByGroup[group]; n > 0 {
				parts[i] += granted[group] * n / wanted[group]
			}
		}
	}
	return parts
}

// fillByShare gives each group capacity by its share until what it wants of one engine is
// met. What the satisfied groups leave is shared anew between the others.
func fillByShare(capacity float64, shares map[string]float64, engines float64, groups []string, wanted map[string]float64) map[string]float64 {
	granted := map[string]float64{}
	for open := groups; capacity > epsilon && len(open) > 0; {
		sum := 0.0
		for _, group := range open {
			sum += shareOf(shares, group)
		}
		var unsatisfied []string
		left := capacity
		for _, group := range open {
			need := wanted[group]/engines - granted[group]
			if need > capacity*shareOf(shares, group)/sum {
				unsatisfied = append(unsatisfied, group)
				continue
			}
			granted[group] += need
			left -= need
		}
		if len(unsatisfied) == len(open) {
			for _, group := range open {
				granted[group] += capacity * shareOf(shares, group) / sum
			}
			break
		}
		open, capacity = unsatisfied, left
	}
	return granted
}

func shareOf(shares map[string]float64, group string) float64 {
	if share := shares[group]; share > 0 {
		return share
	}
	return 1
}
