package fairqueue

import (
	"math"
	"sort"
)

// Demand is what one proxy reports to an engine's owner: for each group, what
// waits and runs there, of late.
type Demand struct {
	Proxy   string
	ByGroup map[string]float64
}

// Split shares an engine's room between proxies. First the groups of all proxies
// together get it by their shares, none more than its demand (which goes to so
// many engines); each group's part then lies where its demand does. So a group
// that floods one proxy takes nothing from another group's proxies. Every proxy
// gets one while it lasts, and what is over goes to all alike, turn by turn.
func Split(room int, share map[string]float64, engines int, ds []Demand, turn int) map[string]int {
	out := map[string]int{}
	if len(ds) == 0 || room <= 0 {
		return out
	}
	l := append([]Demand(nil), ds...)
	sort.Slice(l, func(i, j int) bool { return l[i].Proxy < l[j].Proxy })
	part := fairShares(float64(room), share, float64(max(1, engines)), l)
	left, sum := room, 0.0
	if room >= len(l) {
		left -= len(l)
	}
	for i, d := range l {
		if room >= len(l) {
			out[d.Proxy] = 1
			part[i] = max(0, part[i]-1)
		}
		sum += part[i]
	}
	if over := float64(left) - sum; over > 0 {
		for i := range part {
			part[i] += over / float64(len(l))
		}
		sum = float64(left)
	}
	// What is less than one goes round: over the turns each gets its part of it.
	_, at := math.Modf(float64(turn) * math.Phi)
	at = 1 - at
	given := 0
	for i, d := range l {
		if sum > 0 {
			part[i] *= float64(left) / sum
		}
		n := int(part[i] + 1e-9)
		if at -= part[i] - float64(n); at <= 1e-9 {
			at++
			n++
		}
		n = min(n, left-given)
		out[d.Proxy] += n
		given += n
	}
	if given < left { // by rounding
		out[l[0].Proxy] += left - given
	}
	return out
}

// parts fills the groups up by share, none above its demand, and gives each
// proxy what falls to its part of every group's demand.
func fairShares(room float64, share map[string]float64, engines float64, l []Demand) []float64 {
	want := map[string]float64{}
	for _, d := range l {
		for g, n := range d.ByGroup {
			want[g] += n
		}
	}
	var gs []string
	for g := range want {
		gs = append(gs, g)
	}
	sort.Strings(gs)
	weight := func(g string) float64 {
		if s := share[g]; s > 0 {
			return s
		}
		return 1
	}
	got := map[string]float64{}
	for open := gs; room > 1e-9 && len(open) > 0; {
		sum := 0.0
		for _, g := range open {
			sum += weight(g)
		}
		// Those that want less than their part are done; the rest share anew.
		var more []string
		left := room
		for _, g := range open {
			if need := want[g]/engines - got[g]; need <= room*weight(g)/sum {
				got[g] += need
				left -= need
			} else {
				more = append(more, g)
			}
		}
		if len(more) == len(open) {
			for _, g := range open {
				got[g] += room * weight(g) / sum
			}
			break
		}
		open, room = more, left
	}
	part := make([]float64, len(l))
	for i, d := range l {
		for _, g := range gs {
			if n := d.ByGroup[g]; n > 0 {
				part[i] += got[g] * n / want[g]
			}
		}
	}
	return part
}
