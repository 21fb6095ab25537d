package plancheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"violetthread/plan"
)

// Severity is the severity of a finding. The values are part of the JSON output.
type Severity string

// The severities.
const (
	SeverityError   Severity = "error"   // the plan can't have its intended effect
	SeverityWarning Severity = "warning" // the plan may have an unintended effect
)

// Finding is one problem that an operator should consider before putting a plan in force.
type Finding struct {
	Severity Severity `json:"weight"`
	Path     string   `json:"path"` // of the plan's field
	Text     string   `json:"text"`
	Remedy   string   `json:"remedy"`
}

// String formats the finding as one line, as violetthread-validate prints it.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s; %s", f.Severity, f.Path, f.Text, f.Remedy)
}

// Engine is the state of an engine, as reported by its owner and the platform.
type Engine struct {
	Name, Zone, Weights string
	Leaving             bool
	Owned               bool // an index node owns the engine
	Capacity            int  // maximum number of concurrent runs
}

// Fleet is the current state of the fleet.
type Fleet struct {
	Engines []Engine
	Proxies []string // live ones
	Voters  []string
	Up      map[string]bool // by voter: whether it accepts connections
	// VotersRecovered means that the last change of the voter set is complete.
	VotersRecovered bool
	// BackEnds tells by address whether a route's back end accepts connections; back ends
	// that are not in the map were not checked.
	BackEnds map[string]bool
	// Current is the plan in force, nil for none.
	Current *plan.Plan
	// WithoutVoter is the name of a voter that is about to be removed, "" for none.
	WithoutVoter string
}

// Check returns the findings, errors first, then sorted by path.
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

// checker collects the findings on one plan.
type checker struct {
	plan     *plan.Plan
	fleet    Fleet
	limits   plan.Limits // with defaults filled in
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

// usableEngines returns the engines that may be assigned new work.
func (c *checker) usableEngines() (usable []Engine) {
	for _, engine := range c.fleet.Engines {
		if !engine.Leaving && engine.Owned {
			usable = append(usable, engine)
		}
	}
	return usable
}

// capacity is the total capacity of the usable engines under the plan's limit.
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

// checkCapacityPerEngine compares the plan's limit with the engines' capacities and the number
// of proxies.
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
		guaranteed := group.Share / shares * float64(capacity)
		if guaranteed < 1 {
			c.fail(path+".share", "raise its share, or add engines", "when all groups are busy its share is %.2f of one place", guaranteed)
		}
		allowed := float64(group.CeilingPermille) / 1000 * float64(capacity)
		if group.CeilingPermille > 0 && allowed < guaranteed {
			c.fail(path+".ceiling", "raise the ceiling or lower the share",
				"the ceiling allows %.1f places and the share promises %.1f", allowed, guaranteed)
		}
		if current, exists := c.currentGroup(name); exists && current.Isolated && !group.Isolated {
			c.warn(path+".wall", "make sure that this is meant",
				"a wall that stands now would fall: its prompts would be kept together with others' from then on")
		}
	}
}

// currentGroup returns a group of the plan in force.
func (c *checker) currentGroup(name string) (group plan.Group, exists bool) {
	if c.fleet.Current == nil {
		return plan.Group{}, false
	}
	group, exists = c.fleet.Current.Groups[name]
	return group, exists
}

// checkRemovals finds groups and keys in force that the plan would remove.
func (c *checker) checkRemovals() {
	if c.fleet.Current == nil {
		return
	}
	for name, current := range c.fleet.Current.Groups {
		group, exists := c.plan.Groups[name]
		if !exists {
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
		if current, exists := c.fleet.Current.Kinds[name]; exists && current.Once && !kind.Once {
			c.warn(path+".once", "make sure that running twice does no harm",
				"tickets of this kind run at most once now and might run twice")
		}
	}
}

// sendable reports whether any group may send a kind.
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
		if up, checked := c.fleet.BackEnds[route.Backend]; checked && !up {
			c.fail(path+".to", "start the back end, or mend the address", "nothing listens at %s", route.Backend)
		}
		for j, earlier := range c.plan.Routes[:i] {
			if strings.TrimSuffix(earlier.Path, "/") == strings.TrimSuffix(route.Path, "/") {
				c.fail(path+".path", "keep one of them", "matches nothing that entries[%d] does not match", j)
			}
		}
	}
}

// checkVoters checks that a majority of the voters is up, not counting WithoutVoter.
func (c *checker) checkVoters() {
	const path = "roster"
	removed := c.fleet.WithoutVoter
	up := 0
	var down []string
	for _, voter := range c.fleet.Voters {
		switch {
		case voter == removed:
		case c.fleet.Up[voter]:
			up++
		default:
			down = append(down, voter)
		}
	}
	voters, majority := len(c.fleet.Voters), len(c.fleet.Voters)/2+1
	switch {
	case voters == 0:
	case up < majority && removed != "":
		c.fail(path, "bring "+strings.Join(down, ", ")+" back first",
			"without %s only %d of %d voters are up and %d are needed: nothing could be changed", removed, up, voters, majority)
	case up < majority:
		c.fail(path, "bring "+strings.Join(down, ", ")+" back", "only %d of %d voters are up, %d are needed", up, voters, majority)
	case up == majority:
		if removed != "" {
			down = append(down, removed)
		}
		c.warn(path, "bring back or replace "+strings.Join(down, ", ")+" soon", "one more voter down and nothing can be changed")
	}
	if removed == "" {
		return
	}
	if !containsFold(c.fleet.Voters, removed) {
		c.fail(path, "name one of "+strings.Join(c.fleet.Voters, ", "), "no voter is named %s", removed)
	}
	if !c.fleet.VotersRecovered {
		c.warn(path, "wait a second and check again", "the last change of the roster is not finished yet")
	}
}
