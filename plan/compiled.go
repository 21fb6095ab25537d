package plan

import (
	"encoding/json"
	"slices"
	"strings"
)

// Compiled is a plan made ready for the path of a request. It never changes.
type Compiled struct {
	Plan
	Revision      uint64 // of the register that the plan was read from
	Limits        Limits // with defaults
	groupByDigest map[string]string
	seal          Seal
}

// Compile makes a plan ready. Its cache domains begin with this very revision; Load has
// those that its register names.
func Compile(p *Plan, revision uint64) *Compiled {
	c := &Compiled{Plan: *p, Revision: revision, Limits: p.Limits.WithDefaults(), groupByDigest: map[string]string{}}
	for name, group := range p.Groups {
		for _, digest := range group.Keys {
			c.groupByDigest[strings.ToLower(digest)] = name
		}
	}
	return c
}

// Load reads the value of a register: a plan that was accepted before, with its seal.
func Load(value []byte, revision uint64) (*Compiled, error) {
	seal, raw, err := Decode(value)
	if err != nil {
		return nil, err
	}
	var p Plan
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	c := Compile(&p, revision)
	c.seal = seal
	return c, nil
}

// GroupOf finds the group of the key with that digest, in lower case.
func (c *Compiled) GroupOf(digest string) (group string, found bool) {
	group, found = c.groupByDigest[digest]
	return group, found
}

// MaySend reports whether a group may send requests of a kind.
func (c *Compiled) MaySend(group, kind string) bool {
	kinds := c.Groups[group].Kinds
	return len(kinds) == 0 || slices.Contains(kinds, kind)
}

// RouteFor finds the route with the longest path that the path of a call is or lies below.
func (c *Compiled) RouteFor(path string) (route Route, found bool) {
	for _, candidate := range c.Routes {
		prefix := strings.TrimSuffix(candidate.Path, "/")
		below := path == prefix || strings.HasPrefix(path, prefix+"/")
		if below && len(candidate.Path) > len(route.Path) {
			route = candidate
		}
	}
	return route, route.Path != ""
}
