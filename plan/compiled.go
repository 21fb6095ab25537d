package plan

import (
	"encoding/json"
	"slices"
	"strings"
)

// Compiled is a plan prepared for use while requests are handled. It is immutable.
type Compiled struct {
	Plan
	Revision      uint64 // of the register that the plan was read from
	Limits        Limits // with defaults filled in
	groupByDigest map[string]string
	domainHistory DomainHistory
}

// Compile prepares a plan without a domain history, so that its cache domains are valid for
// this revision alone. Load takes the history from the register's value.
func Compile(p *Plan, revision uint64) *Compiled {
	c := &Compiled{Plan: *p, Revision: revision, Limits: p.Limits.WithDefaults(), groupByDigest: map[string]string{}}
	for name, group := range p.Groups {
		for _, digest := range group.Keys {
			c.groupByDigest[strings.ToLower(digest)] = name
		}
	}
	return c
}

// Load decodes the value of a register: a plan that was accepted earlier, with its domain
// history.
func Load(value []byte, revision uint64) (*Compiled, error) {
	history, raw, err := Decode(value)
	if err != nil {
		return nil, err
	}
	var p Plan
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	c := Compile(&p, revision)
	c.domainHistory = history
	return c, nil
}

// GroupOf returns the group of the key with the given digest, which must be in lower case.
func (c *Compiled) GroupOf(digest string) (group string, found bool) {
	group, found = c.groupByDigest[digest]
	return group, found
}

// MaySend reports whether a group may send requests of a kind.
func (c *Compiled) MaySend(group, kind string) bool {
	kinds := c.Groups[group].Kinds
	return len(kinds) == 0 || slices.Contains(kinds, kind)
}

// RouteFor returns the route with the longest path that equals the path of a call or is a
// parent of it.
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
