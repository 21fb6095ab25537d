package sim

import (
	"fmt"
	"sort"
	"testing"

	"violetthread/attempt"
)

// load is a group that sends a request every gap microseconds at some gateways, between two
// true times.
type load struct {
	group    string
	at       []int
	gap      int64
	from, to int64
}

const (
	measureFromUS = 6_000_000
	loadEndUS     = 26_000_000
)

// The shares of desk, east, west and walled are 4, 3, 2 and 1.
var scenarios = map[string]struct {
	loads []load
	fault func(f *Fleet) // at 14 s
}{
	"one group floods one gateway": {loads: []load{{"walled", []int{0}, 4_000, 0, loadEndUS},
		{"desk", []int{0, 1, 2}, 150_000, 0, loadEndUS}, {"east", []int{0, 1, 2}, 200_000, 0, loadEndUS}}},
	"each group at a gateway of its own": {loads: []load{{"walled", []int{0}, 20_000, 0, loadEndUS},
		{"west", []int{1}, 20_000, 0, loadEndUS}, {"desk", []int{2}, 20_000, 0, loadEndUS}}},
	"a group is back from idle": {loads: []load{{"walled", []int{0, 1, 2}, 40_000, 0, loadEndUS},
		{"east", []int{0, 1, 2}, 40_000, 0, loadEndUS}, {"desk", []int{0, 1}, 100_000, 16_000_000, loadEndUS}}},
	"an engine is lost in a flood": {loads: []load{{"walled", []int{0}, 4_000, 0, loadEndUS},
		{"desk", []int{0, 1, 2}, 200_000, 0, loadEndUS}}, fault: func(f *Fleet) { f.Engines[0].Kill() }},
	"a gateway is lost in a flood": {loads: []load{{"walled", []int{0, 1}, 8_000, 0, loadEndUS},
		{"desk", []int{0, 2}, 150_000, 0, loadEndUS}}, fault: func(f *Fleet) { f.Gateways[1].Kill() }},
}

type groupResult struct{ sent, done, refused, late, unknown int }

// TestShares checks that each group gets its fair share of the served requests under any
// distribution of load, and that requests that cannot be served are rejected early. VT_SEEDS
// runs more seeds; -v prints the table of docs/measurements.md.
func TestShares(t *testing.T) {
	n := seeds()
	var names []string
	for c := range scenarios {
		names = append(names, c)
	}
	sort.Strings(names)
	for _, c := range names {
		t.Run(c, func(t *testing.T) {
			t.Parallel()
			sum, due := map[string]groupResult{}, map[string]float64{}
			late, refused, worst := 0, 0, 0
			for seed := int64(9); seed < 9+max(n, 2); seed++ {
				got := runScenario(t, seed, c)
				for group, e := range fairShares(got) {
					x, s := got[group], sum[group]
					if float64(x.done) < 0.8*e-3 {
						t.Errorf("seed %d: %s got %d of its fair share of %.0f: %+v", seed, group, x.done, e, x)
					}
					sum[group] = groupResult{s.sent + x.sent, s.done + x.done, s.refused + x.refused, s.late + x.late, s.unknown + x.unknown}
					due[group] += e
					late, refused = late+x.late, refused+x.refused
					if x.refused > 50 {
						worst = max(worst, x.late*1000/x.refused)
					}
				}
			}
			if late*1000 > refused*25 || worst > 60 {
				t.Errorf("%d of %d rejections came late, %d‰ at worst", late, refused, worst)
			}
			for _, group := range simGroups {
				if s := sum[group]; s.sent > 0 {
					t.Logf("| %s | %s | %d | %.0f | %d | %d | %d | %d |", c, group, s.sent, due[group], s.done, s.refused, s.late, s.unknown)
				}
			}
		})
	}
}

// fairShares distributes all served requests among the groups in proportion to their shares,
// but to none more than it sent.
func fairShares(got map[string]groupResult) map[string]float64 {
	shares := map[string]float64{"desk": 4, "east": 3, "west": 2, "walled": 1}
	left := 0.0
	for _, x := range got {
		left += float64(x.done)
	}
	out, open := map[string]float64{}, map[string]bool{}
	for group := range got {
		open[group] = true
	}
	for len(open) > 0 {
		sum := 0.0
		for group := range open {
			sum += shares[group]
		}
		full := ""
		for _, group := range simGroups {
			if open[group] && float64(got[group].sent) <= left*shares[group]/sum {
				full = group
			}
		}
		if full == "" {
			for group := range open {
				out[group] = left * shares[group] / sum
			}
			return out
		}
		out[full] = float64(got[full].sent)
		left -= out[full]
		delete(open, full)
	}
	return out
}

func runScenario(t *testing.T, seed int64, name string) map[string]groupResult {
	c := scenarios[name]
	fleet := NewFleet(seed, FleetSize{Gateways: 3, Engines: 3})
	for _, engine := range fleet.Engines {
		engine.capacity = 8
	}
	operator := NewFleetOperator(fleet)
	world := fleet.World
	got := map[string]groupResult{}
	fleet.checker.onRequestEnded = func(x *callerRequest, outcome attempt.Outcome) {
		if x.sentAt < measureFromUS {
			return
		}
		g := got[x.group]
		switch outcome {
		case attempt.Done:
			g.done++
		case attempt.Rejected:
			g.refused++
			if world.now-x.sentAt > (x.deadline-x.sentAt)/2 {
				g.late++
			}
		default:
			g.unknown++
		}
		got[x.group] = g
	}
	n := 0
	var send func(c load, p *Gateway)
	send = func(c load, p *Gateway) {
		if world.now > c.to {
			return
		}
		n++
		x := &callerRequest{group: c.group, kind: "check", id: fmt.Sprint("f", n), keyDigest: simKey(c.group, 0), gateway: p, sentAt: world.now, deadline: world.now + 8_000_000}
		if p.up {
			if world.now >= measureFromUS {
				g := got[c.group]
				g.sent++
				got[c.group] = g
			}
			p.After(300, func() { p.admit(x, "flood", 8_000_000) })
		}
		world.At(world.now+c.gap, func() { send(c, p) })
	}
	world.At(1_300_000, func() { operator.PutPlan(nil) })
	for _, x := range c.loads {
		for _, p := range x.at {
			world.At(max(4_000_000, x.from), func() { send(x, fleet.Gateways[p]) })
		}
	}
	if c.fault != nil {
		world.At(14_000_000, func() { c.fault(fleet) })
	}
	world.Run(36_000_000)
	if len(world.violations) > 0 {
		t.Fatalf("seed %d: %v", seed, world.violations)
	}
	return got
}
