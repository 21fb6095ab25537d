package plancheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"violetthread/plan"
)

// Severity says how much a finding matters. The values are part of the output in JSON.
type Severity string

// The severities.
const (
	SeverityError   Severity = "error"   // the plan will not do what it says
	SeverityWarning Severity = "warning" // look twice
)

// Finding is one thing that an operator should know before putting a plan in force.
type Finding struct {
	Severity Severity `json:"weight"`
	Path     string   `json:"path"` // of the plan's field
	Text     string   `json:"text"`
	Remedy   string   `json:"remedy"`
}

// String is the finding in one line, as the command line prints it.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s; %s", f.Severity, f.Path, f.Text, f.Remedy)
}

// Engine is an engine as its owner and the platform see it.
type Engine struct {
	Name, Zone, Weights string
	Leaving             bool
	Owned               bool // by an index node
	Capacity            int  // runs at a time
}

// Fleet is the fleet as it is.
type Fleet struct {
	Engines []Engine
	Proxies []string // live ones
	Voters  []string
	Up      map[string]bool // voters that answer
	// VotersRecovered: the last change of the voter set is finished.
	VotersRecovered bool
	// BackEnds says for each route's back end whether something listens there; those left
	// out were not asked.
	BackEnds map[string]bool
	// Current is the plan in force, nil for none.
	Current *plan.Plan
	// WithoutVoter names a voter that is about to be taken away, "" for none.
	WithoutVoter string
}

// Check lists findings, errors first, then by path.
func Check(p *plan.Plan, fleet Fleet) []Finding {
	c := &checker{plan: p, fleet: fleet, limits: p.Limits.WithDefaults()}
	c.checkEngines()
	c.checkCapacityPerEngine()
	c.checkGroups()
	c.checkRemovals()
	c.checkKinds()
	c.checkRoutes()
	c.checkVoters()
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Path, b.Path))
	})
	return c.findings
}

// checker gathers findings.
type checker struct {
	plan     *plan.Plan
	fleet    Fleet
	limits   plan.Limits // with defaults
	findings []Finding
}

func (c *checker) fail(path, remedy, text string, args ...any) {
	c.add(SeverityError, path, remedy, text, args)
}

func (c *checker) warn(path, remedy, text string, args ...any) {
	c.add(SeverityWarning, path, remedy, text, args)
}

func (c *checker) add(severity Severity, path, remedy, text string, args []any) {
	c.findings = append(c.findings, Finding{Severity: severity, Path: path, Text: fmt.Sprintf(text, args...), Remedy: remedy})
}

// usableEngines are the engines that may get new work.
func (c *checker) usableEngines() (usable []Engine) {
	for _, engine := range c.fleet.Engines {
		if !engine.Leaving && engine.Owned {
			usable = append(usable, engine)
		}
	}
	return usable
}

// capacity is that of all usable engines together under the plan.
func (c *checker) capacity() (capacity int) {
	for _, engine := range c.usableEngines() {
		capacity += min(engine.Capacity, c.limits.CapacityPerEngine)
	}
	return capacity
}

func (c *checker) checkEngines() {
	var unusable []string
	onWeights := 0
	for _, engine := range c.fleet.Engines {
		if engine.Leaving || !engine.Owned {
			unusable = append(unusable, engine.Name)
		}
		if engine.Weights == c.plan.Weights {
			onWeights++
		}
	}
	switch {
	case len(unusable) == len(c.fleet.Engines):
		c.fail("engines", "start engines, or look why no index node owns them",
			"no engine can take work: %d are listed, all leaving or without an owner", len(c.fleet.Engines))
	case len(unusable) > 0:
		c.warn("engines", "count on the others only", "%s are leaving or have no owner", strings.Join(unusable, ", "))
	}
	if onWeights == 0 && len(c.fleet.Engines) > 0 {
		c.warn("weights", "make sure that every engine can load them; putting the plan in force starts turning all of them",
			"no engine runs %s now", c.plan.Weights)
	}
}

// checkCapacityPerEngine compares the plan's limit with the engines and the proxies.
func (c *checker) checkCapacityPerEngine() {
	const path = "limits.room_per_engine"
	usable := c.usableEngines()
	if limit := c.plan.Limits.CapacityPerEngine; limit > 0 {
		below := func(engine Engine) bool { return engine.Capacity > 0 && engine.Capacity < limit }
		if at := slices.IndexFunc(usable, below); at >= 0 {
			c.warn(path, "lower it, or mind that the engine's own bound holds",
				"%s has room for %d, not %d", usable[at].Name, usable[at].Capacity, limit)
		}
	}
	proxies := len(c.fleet.Proxies)
	if proxies == 0 || len(usable) == 0 {
		return
	}
	if each := c.capacity() / len(usable); each < proxies {
		c.warn(path, "raise it to the number of proxies, or expect proxies to take turns at engines",
			"an engine's room of %d is shared by %d proxies", each, proxies)
	}
}

func (c *checker) checkGroups() {
	shares, capacity := 0.0, c.capacity()
	for _, group := range c.plan.Groups {
		shares += group.Share
	}
	for name, group := range c.plan.Groups {
		path := "groups[" + name + "]"
		if len(group.Keys) == 0 {
			c.warn(path+".keys", "give it a key, or drop the group", "nobody can call as this group")
		}
		if capacity == 0 {
			continue
		}
		promised := group.Share / shares * float64(capacity)
		if promised < 1 {
			c.fail(path+".share", "raise its share, or add engines", "when all groups are busy its share is %.2f of one place", promised)
		}
		allowed := float64(group.CeilingPermille) / 1000 * float64(capacity)
		if group.CeilingPermille > 0 && allowed < promised {
			c.fail(path+".ceiling", "raise the ceiling or lower the share",
				"the ceiling allows %.1f places and the share promises %.1f", allowed, promised)
		}
		if current, there := c.currentGroup(name); there && current.Isolated && !group.Isolated {
			c.warn(path+".wall", "make sure that this is meant",
				"a wall that stands now would fall: its prompts would be kept together with others' from then on")
		}
	}
}

// currentGroup is a group of the plan in force.
func (c *checker) currentGroup(name string) (group plan.Group, there bool) {
	if c.fleet.Current == nil {
		return plan.Group{}, false
	}
	group, there = c.fleet.Current.Groups[name]
	return group, there
}

// checkRemovals compares the groups and keys with those in force.
func (c *checker) checkRemovals() {
	if c.fleet.Current == nil {
		return
	}
	for name, current := range c.fleet.Current.Groups {
		group, there := c.plan.Groups[name]
		if !there {
			c.warn("groups["+name+"]", "make sure that its callers are gone",
				"the group is in force now and would go, with %d keys", len(current.Keys))
			continue
		}
		for _, digest := range current.Keys {
			if !containsFold(group.Keys, digest) {
				c.warn("groups["+name+"].keys", "make sure that its callers have another",
					"a key that works now would be taken away: %.19s...", digest)
			}
		}
	}
}

func containsFold(texts []string, text string) bool {
	return slices.ContainsFunc(texts, func(other string) bool { return strings.EqualFold(text, other) })
}

func (c *checker) checkKinds() {
	for name, kind := range c.plan.Kinds {
		path := "kinds[" + name + "]"
		if kind.TypicalUS > kind.DueUS {
			c.fail(path+".due_us", "give it a later due", "a run typically takes %d us and is due after %d", kind.TypicalUS, kind.DueUS)
		}
		if !c.sendable(name) {
			c.warn(path, "let a group send it, or drop it", "no group may send this kind")
		}
		if c.fleet.Current == nil {
			continue
		}
		if current, there := c.fleet.Current.Kinds[name]; there && current.Once && !kind.Once {
			c.warn(path+".once", "make sure that running twice does no harm",
				"tickets of this kind run at most once now and might run twice")
		}
	}
}

// sendable reports whether a group may send a kind.
func (c *checker) sendable(kind string) bool {
	for _, group := range c.plan.Groups {
		if len(group.Kinds) == 0 || containsFold(group.Kinds, kind) {
			return true
		}
	}
	return false
}

func (c *checker) checkRoutes() {
	for i, route := range c.plan.Routes {
		path := fmt.Sprintf("entries[%d]", i)
		if up, asked := c.fleet.BackEnds[route.Backend]; asked && !up {
			c.fail(path+".to", "start the back end, or mend the address", "nothing listens at %s", route.Backend)
		}
		for j, earlier := range c.plan.Routes[:i] {
			if strings.TrimSuffix(earlier.Path, "/") == strings.TrimSuffix(route.Path, "/") {
				c.fail(path+".path", "keep one of them", "matches nothing that entries[%d] does not match", j)
			}
		}
	}
}

// checkVoters checks whether a majority of the voters is up, also without WithoutVoter.
func (c *checker) checkVoters() {
	const path = "roster"
	leaving := c.fleet.WithoutVoter
	up := 0
	var down []string
	for _, voter := range c.fleet.Voters {
		switch {
		case voter == leaving:
		case c.fleet.Up[voter]:
			up++
		default:
			down = append(down, voter)
		}
	}
	voters, majority := len(c.fleet.Voters), len(c.fleet.Voters)/2+1
	switch {
	case voters == 0:
	case up < majority && leaving != "":
		c.fail(path, "bring "+strings.Join(down, ", ")+" back first",
			"without %s only %d of %d voters are up and %d are needed: nothing could be changed", leaving, up, voters, majority)
	case up < majority:
		c.fail(path, "bring "+strings.Join(down, ", ")+" back", "only %d of %d voters are up, %d are needed", up, voters, majority)
	case up == majority:
		if leaving != "" {
			down = append(down, leaving)
		}
		c.warn(path, "bring back or replace "+strings.Join(down, ", ")+" soon", "one more voter down and nothing can be changed")
	}
	if leaving == "" {
		return
	}
	if !containsFold(c.fleet.Voters, leaving) {
		c.fail(path, "name one of "+strings.Join(c.fleet.Voters, ", "), "no voter is named %s", leaving)
	}
	if !c.fleet.VotersRecovered {
		c.warn(path, "wait a second and check again", "the last change of the roster is not finished yet")
	}
}
