// Package plancheck checks a plan against the fleet as it is. It is pure; the
// program of that name gathers what it needs.
package plancheck

import (
	"fmt"
	"sort"
	"strings"

	"violetthread/plan"
)

// Finding is one thing an operator should know before putting a plan in force.
type Finding struct {
	Severity string `json:"weight"` // error: it will not do what it says; warning: look twice
	Path     string `json:"path"`
	Text     string `json:"text"`
	Remedy   string `json:"remedy"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s; %s", f.Severity, f.Path, f.Text, f.Remedy)
}

// Engine is an engine as its owner and the platform see it.
type Engine struct {
	Name, Zone, Weights string
	Leaving, Owned      bool
	Capacity            int
}

// Fleet is the fleet as it is.
type Fleet struct {
	Engines         []Engine
	Proxies         []string // live ones
	Voters          []string
	Up              map[string]bool // voters that answer
	VotersRecovered bool
	// BackEnds tells for each entry's address whether something listens there.
	BackEnds map[string]bool
	// Now is the plan in force, if any.
	Current *plan.Plan
	// Without names a voter that is about to be taken away.
	WithoutVoter string
}

// Check lists findings, errors first.
func Check(p *plan.Plan, f Fleet) []Finding {
	c := &checker{plan: p, fleet: f, limits: p.Limits.WithDefaults()}
	c.checkEngines()
	c.checkGroups()
	c.checkKinds()
	c.checkRoutes()
	c.checkVoters()
	sort.SliceStable(c.findings, func(i, j int) bool {
		return c.findings[i].Severity < c.findings[j].Severity || c.findings[i].Severity == c.findings[j].Severity && c.findings[i].Path < c.findings[j].Path
	})
	return c.findings
}

type checker struct {
	plan     *plan.Plan
	fleet    Fleet
	limits   plan.Limits
	findings []Finding
}

func (c *checker) add(w, path, remedy, text string, a ...any) {
	c.findings = append(c.findings, Finding{w, path, fmt.Sprintf(text, a...), remedy})
}

// usable are the engines that may get new work.
func (c *checker) usableEngines() (es []Engine) {
	for _, e := range c.fleet.Engines {
		if !e.Leaving && e.Owned {
			es = append(es, e)
		}
	}
	return es
}

func (c *checker) capacity() (n int) {
	for _, e := range c.usableEngines() {
		n += min(e.Capacity, c.limits.CapacityPerEngine)
	}
	return n
}

func (c *checker) checkEngines() {
	var away []string
	runs := 0
	for _, e := range c.fleet.Engines {
		if e.Leaving || !e.Owned {
			away = append(away, e.Name)
		}
		if e.Weights == c.plan.Weights {
			runs++
		}
	}
	us := c.usableEngines()
	switch {
	case len(us) == 0:
		c.add("error", "engines", "start engines, or look why no custodian owns them", "no engine can take work: %d are listed, all leaving or without an owner", len(c.fleet.Engines))
	case len(away) > 0:
		c.add("warning", "engines", "count on the others only", "%s are leaving or have no owner", strings.Join(away, ", "))
	}
	if runs == 0 && len(c.fleet.Engines) > 0 {
		c.add("warning", "weights", "make sure that every engine can load them; putting the plan in force starts turning all of them", "no engine runs %s now", c.plan.Weights)
	}
	if n := c.plan.Limits.CapacityPerEngine; n > 0 {
		for _, e := range us {
			if e.Capacity > 0 && e.Capacity < n {
				c.add("warning", "limits.room_per_engine", "lower it, or mind that the engine's own bound holds", "%s has room for %d, not %d", e.Name, e.Capacity, n)
				break
			}
		}
	}
	if n := len(c.fleet.Proxies); n > 0 && len(us) > 0 {
		if each := c.capacity() / len(us); each < n {
			c.add("warning", "limits.room_per_engine", "raise it to the number of proxies, or expect proxies to take turns at engines", "an engine's room of %d is shared by %d proxies", each, n)
		}
	}
}

func (c *checker) checkGroups() {
	sum, room := 0.0, c.capacity()
	for _, g := range c.plan.Groups {
		sum += g.Share
	}
	for n, g := range c.plan.Groups {
		at := "groups[" + n + "]"
		if len(g.Keys) == 0 {
			c.add("warning", at+".keys", "give it a key, or drop the group", "nobody can call as this group")
		}
		if room == 0 {
			continue
		}
		if part := g.Share / sum * float64(room); part < 1 {
			c.add("error", at+".share", "raise its share, or add engines", "when all groups are busy its share is %.2f of one place", part)
		}
		if g.CeilingPermille > 0 {
			if most := float64(g.CeilingPermille) / 1000 * float64(room); most < g.Share/sum*float64(room) {
				c.add("error", at+".ceiling", "raise the ceiling or lower the share", "the ceiling allows %.1f places and the share promises %.1f", most, g.Share/sum*float64(room))
			}
		}
		if c.fleet.Current != nil {
			if o, ok := c.fleet.Current.Groups[n]; ok && o.Isolated && !g.Isolated {
				c.add("warning", at+".wall", "make sure that this is meant", "a wall that stands now would fall: its prompts would be kept together with others' from then on")
			}
		}
	}
	if c.fleet.Current == nil {
		return
	}
	for n, g := range c.fleet.Current.Groups {
		x, ok := c.plan.Groups[n]
		if !ok {
			c.add("warning", "groups["+n+"]", "make sure that its callers are gone", "the group is in force now and would go, with %d keys", len(g.Keys))
			continue
		}
		for _, k := range g.Keys {
			if !contains(x.Keys, k) {
				c.add("warning", "groups["+n+"].keys", "make sure that its callers have another", "a key that works now would be taken away: %.19s...", k)
			}
		}
	}
}

func contains(xs []string, x string) bool {
	for _, y := range xs {
		if strings.EqualFold(x, y) {
			return true
		}
	}
	return false
}

func (c *checker) checkKinds() {
	for n, k := range c.plan.Kinds {
		at := "kinds[" + n + "]"
		if k.TypicalUS > k.DueUS {
			c.add("error", at+".due_us", "give it a later due", "a run typically takes %d us and is due after %d", k.TypicalUS, k.DueUS)
		}
		sent := false
		for _, g := range c.plan.Groups {
			sent = sent || len(g.Kinds) == 0 || contains(g.Kinds, n)
		}
		if !sent {
			c.add("warning", at, "let a group send it, or drop it", "no group may send this kind")
		}
		if c.fleet.Current != nil {
			if o, ok := c.fleet.Current.Kinds[n]; ok && o.Once && !k.Once {
				c.add("warning", at+".once", "make sure that running twice does no harm", "tickets of this kind run at most once now and might run twice")
			}
		}
	}
}

func (c *checker) checkRoutes() {
	for i, e := range c.plan.Routes {
		at := fmt.Sprintf("entries[%d]", i)
		if up, asked := c.fleet.BackEnds[e.Backend]; asked && !up {
			c.add("error", at+".to", "start the back end, or mend the address", "nothing listens at %s", e.Backend)
		}
		for j, o := range c.plan.Routes {
			p, q := strings.TrimSuffix(o.Path, "/"), strings.TrimSuffix(e.Path, "/")
			if j < i && p == q {
				c.add("error", at+".path", "keep one of them", "matches nothing that entries[%d] does not match", j)
			}
		}
	}
}

func (c *checker) checkVoters() {
	up := 0
	var down []string
	for _, v := range c.fleet.Voters {
		if c.fleet.Up[v] && v != c.fleet.WithoutVoter {
			up++
		} else if v != c.fleet.WithoutVoter {
			down = append(down, v)
		}
	}
	need := len(c.fleet.Voters)/2 + 1
	switch {
	case len(c.fleet.Voters) == 0:
	case up < need && c.fleet.WithoutVoter != "":
		c.add("error", "roster", "bring "+strings.Join(down, ", ")+" back first", "without %s only %d of %d voters are up and %d are needed: nothing could be changed", c.fleet.WithoutVoter, up, len(c.fleet.Voters), need)
	case up < need:
		c.add("error", "roster", "bring "+strings.Join(down, ", ")+" back", "only %d of %d voters are up, %d are needed", up, len(c.fleet.Voters), need)
	case up == need:
		if c.fleet.WithoutVoter != "" {
			down = append(down, c.fleet.WithoutVoter)
		}
		c.add("warning", "roster", "bring back or replace "+strings.Join(down, ", ")+" soon", "one more voter down and nothing can be changed")
	}
	if c.fleet.WithoutVoter != "" && !contains(c.fleet.Voters, c.fleet.WithoutVoter) {
		c.add("error", "roster", "name one of "+strings.Join(c.fleet.Voters, ", "), "no voter is named %s", c.fleet.WithoutVoter)
	}
	if c.fleet.WithoutVoter != "" && !c.fleet.VotersRecovered {
		c.add("warning", "roster", "wait a second and check again", "the last change of the roster is not finished yet")
	}
}
