package plancheck

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"violetthread/plan"
)

const testBackend = "127.0.0.1:1"

// testCase is a proposed plan and a fleet. A new one has no findings.
type testCase struct {
	plan  *plan.Plan
	fleet Fleet
}

func newTestCase() *testCase {
	c := &testCase{
		plan: &plan.Plan{
			Weights: "w1",
			Kinds:   map[string]plan.Kind{"k": {DueUS: 5_000_000, TypicalUS: 100_000, Once: true}},
			Groups: map[string]plan.Group{
				"a": {Share: 3, Keys: []string{"ka"}},
				"b": {Share: 1, Isolated: true, Keys: []string{"kb"}},
			},
			Routes: []plan.Route{{Path: "/app/", Backend: testBackend}},
		},
		fleet: Fleet{
			Proxies:         []string{"p0", "p1"},
			Voters:          []string{"r0", "r1", "r2", "r3"},
			VotersRecovered: true,
			Up:              map[string]bool{"r0": true, "r1": true, "r2": true, "r3": true},
			BackEnds:        map[string]bool{testBackend: true},
		},
	}
	for _, name := range []string{"e0", "e1"} {
		c.fleet.Engines = append(c.fleet.Engines, Engine{Name: name, Weights: "w1", Owned: true, Capacity: 16})
	}
	current := *c.plan
	c.fleet.Current = &current
	return c
}

// changeGroup changes a group of the proposed plan, but not of the plan in force.
func (c *testCase) changeGroup(name string, change func(*plan.Group)) {
	groups := map[string]plan.Group{}
	for other, group := range c.plan.Groups {
		if other == name {
			change(&group)
		}
		groups[other] = group
	}
	c.plan.Groups = groups
}

// changes are the changes to a test case, by the argument of the check command in
// testdata/check.
var changes = map[string]func(c *testCase, values []string){
	"leaving": func(c *testCase, values []string) {
		for i := range c.fleet.Engines {
			if c.fleet.Engines[i].Name == values[0] {
				c.fleet.Engines[i].Leaving = true
			}
		}
	},
	"unowned": func(c *testCase, _ []string) { c.fleet.Engines[0].Owned = false },
	"weights": func(c *testCase, values []string) { c.plan.Weights = values[0] },
	"tiny": func(c *testCase, _ []string) {
		c.changeGroup("b", func(group *plan.Group) { group.Share = 0.01 })
	},
	"ceiling": func(c *testCase, _ []string) {
		c.changeGroup("a", func(group *plan.Group) { group.CeilingPermille = 100 })
	},
	"no-keys": func(c *testCase, _ []string) {
		c.changeGroup("b", func(group *plan.Group) { group.Keys = nil })
	},
	"no-wall": func(c *testCase, _ []string) {
		c.changeGroup("b", func(group *plan.Group) { group.Isolated = false })
	},
	"group-goes": func(c *testCase, _ []string) {
		c.plan.Groups = map[string]plan.Group{"a": c.plan.Groups["a"]}
	},
	"slow-kind": func(c *testCase, _ []string) {
		c.plan.Kinds = map[string]plan.Kind{"k": {DueUS: 1000, TypicalUS: 2000, Once: true}}
	},
	"twice": func(c *testCase, _ []string) {
		c.plan.Kinds = map[string]plan.Kind{"k": {DueUS: 5_000_000}}
	},
	"unsent": func(c *testCase, _ []string) {
		for _, name := range []string{"a", "b"} {
			c.changeGroup(name, func(group *plan.Group) { group.Kinds = []string{"other"} })
		}
	},
	"back-end-down": func(c *testCase, _ []string) { c.fleet.BackEnds[testBackend] = false },
	"same-entry": func(c *testCase, _ []string) {
		c.plan.Routes = append(c.plan.Routes, plan.Route{Path: "/app", Backend: testBackend})
	},
	"down": func(c *testCase, values []string) {
		for _, voter := range values {
			c.fleet.Up[voter] = false
		}
	},
	"without": func(c *testCase, values []string) { c.fleet.WithoutVoter = values[0] },
	"unfirm":  func(c *testCase, _ []string) { c.fleet.VotersRecovered = false },
	"room":    func(c *testCase, _ []string) { c.plan.Limits.CapacityPerEngine = 1 },
}

// TestCheck runs testdata/check: changes to a test case without findings, and the resulting
// findings.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		c := newTestCase()
		for _, arg := range d.CmdArgs {
			change, known := changes[arg.Key]
			if !known {
				d.Fatalf(t, "unknown change %s", arg.Key)
			}
			change(c, arg.Vals)
		}
		var out []string
		for _, finding := range Check(c.plan, c.fleet) {
			if finding.Remedy == "" {
				t.Errorf("finding without a remedy: %v", finding)
			}
			out = append(out, finding.String())
		}
		if len(out) == 0 {
			return "no findings\n"
		}
		return strings.Join(out, "\n") + "\n"
	})
}
