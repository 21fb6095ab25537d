package plancheck

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"violetthread/plan"
)

// TestCheck runs testdata/check: changes to a sound plan and fleet, and what is
// found then.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		p := &plan.Plan{Weights: "w1", Kinds: map[string]plan.Kind{"k": {DueUS: 5_000_000, TypicalUS: 100_000, Once: true}},
			Groups: map[string]plan.Group{"a": {Share: 3, Keys: []string{"ka"}}, "b": {Share: 1, Isolated: true, Keys: []string{"kb"}}},
			Routes: []plan.Route{{Path: "/app/", Backend: "127.0.0.1:1"}}}
		f := Fleet{Proxies: []string{"p0", "p1"}, Voters: []string{"r0", "r1", "r2", "r3"}, VotersRecovered: true, Up: map[string]bool{"r0": true, "r1": true, "r2": true, "r3": true},
			BackEnds: map[string]bool{"127.0.0.1:1": true}}
		for _, n := range []string{"e0", "e1"} {
			f.Engines = append(f.Engines, Engine{Name: n, Weights: "w1", Owned: true, Capacity: 16})
		}
		now := *p
		f.Current = &now
		g := func(n string, change func(*plan.Group)) {
			gs := map[string]plan.Group{}
			for k, v := range p.Groups {
				if k == n {
					change(&v)
				}
				gs[k] = v
			}
			p.Groups = gs
		}
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "leaving":
				for i := range f.Engines {
					if f.Engines[i].Name == a.Vals[0] {
						f.Engines[i].Leaving = true
					}
				}
			case "unowned":
				f.Engines[0].Owned = false
			case "weights":
				p.Weights = a.Vals[0]
			case "tiny":
				g("b", func(x *plan.Group) { x.Share = 0.01 })
			case "ceiling":
				g("a", func(x *plan.Group) { x.CeilingPermille = 100 })
			case "no-keys":
				g("b", func(x *plan.Group) { x.Keys = nil })
			case "no-wall":
				g("b", func(x *plan.Group) { x.Isolated = false })
			case "group-goes":
				p.Groups = map[string]plan.Group{"a": p.Groups["a"]}
			case "slow-kind":
				p.Kinds = map[string]plan.Kind{"k": {DueUS: 1000, TypicalUS: 2000, Once: true}}
			case "twice":
				p.Kinds = map[string]plan.Kind{"k": {DueUS: 5_000_000}}
			case "unsent":
				g("a", func(x *plan.Group) { x.Kinds = []string{"other"} })
				g("b", func(x *plan.Group) { x.Kinds = []string{"other"} })
			case "back-end-down":
				f.BackEnds["127.0.0.1:1"] = false
			case "same-entry":
				p.Routes = append(p.Routes, plan.Route{Path: "/app", Backend: "127.0.0.1:1"})
			case "down":
				for _, v := range a.Vals {
					f.Up[v] = false
				}
			case "without":
				f.WithoutVoter = a.Vals[0]
			case "unfirm":
				f.VotersRecovered = false
			case "room":
				p.Limits.CapacityPerEngine = 1
			default:
				d.Fatalf(t, "no change %s", a.Key)
			}
		}
		var out []string
		for _, x := range Check(p, f) {
			if x.Remedy == "" {
				t.Errorf("no remedy: %v", x)
			}
			out = append(out, x.String())
		}
		if len(out) == 0 {
			return "no findings\n"
		}
		return strings.Join(out, "\n") + "\n"
	})
}
