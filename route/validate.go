package route

import (
	"fmt"
	"strings"
)

// Validate lists all problems of a configuration that would replace the one of currentVersion,
// 0 if there is none. A route must not send requests to a pool that is a store of cached blocks.
func Validate(config Config, currentVersion uint64) []Finding {
	v := validator{engines: map[string]bool{}, routesByMatch: map[matchKey]string{}}
	if config.Version <= currentVersion {
		v.add("version", "old-version", "give a version higher than %d", currentVersion)
	}
	v.pools(config.Pools)
	v.routes(config.Routes)
	v.tenants(config.Tenants)
	return v.findings
}

// validator collects findings, and the names that later sections are checked against.
type validator struct {
	findings      []Finding
	engines       map[string]bool     // by pool: whether it has engines
	routesByMatch map[matchKey]string // names of routes
}

// matchKey is the host and path prefix that a route matches.
type matchKey struct{ host, prefix string }

func (v *validator) add(path, reason, remedy string, args ...any) {
	v.findings = append(v.findings, Finding{path, reason, fmt.Sprintf(remedy, args...)})
}

// name checks that an item has a name and that no other item of its list has the same one.
func (v *validator) name(seen map[string]bool, path, name string) {
	switch {
	case name == "":
		v.add(path+".name", "no-name", "give it a name")
	case seen[name]:
		v.add(path+".name", "same-name", "use the name %q only once", name)
	}
	seen[name] = true
}

func (v *validator) pools(pools []Pool) {
	names := map[string]bool{}
	for i, pool := range pools {
		v.name(names, fmt.Sprintf("pools[%d]", i), pool.Name)
		v.engines[pool.Name] = pool.StoreAddr == ""
	}
}

func (v *validator) routes(routes []Route) {
	names := map[string]bool{}
	for i := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.name(names, path, routes[i].Name)
		v.route(path, &routes[i])
		v.split(path, &routes[i])
	}
}

func (v *validator) route(path string, r *Route) {
	if r.Host == "" {
		v.add(path+".host", "no-host", "give the host of route %q", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		v.add(path+".prefix", "bad-prefix", "make the prefix %q begin and end with a slash", r.Prefix)
	}
	at := matchKey{strings.ToLower(r.Host), r.Prefix}
	if other, taken := v.routesByMatch[at]; taken {
		v.add(path+".prefix", "same-place", "give routes %q and %q different hosts or prefixes", other, r.Name)
	} else {
		v.routesByMatch[at] = r.Name
	}
	if r.Semantics < AtMostOnce || r.Semantics > EventStream {
		v.add(path+".kind", "unknown-kind", "specify whether requests of route %q may be repeated", r.Name)
	}
	if r.TimeoutUS <= 0 {
		v.add(path+".timeout", "no-timeout", "give route %q a timeout above 0", r.Name)
	}
}

func (v *validator) split(path string, r *Route) {
	sum, negative := 0, false
	for i, share := range r.Split {
		if !v.engines[share.Pool] {
			v.add(fmt.Sprintf("%s.split[%d].pool", path, i), "unknown-pool", "define %q as a pool of engines, or send route %q to another pool", share.Pool, r.Name)
		}
		negative = negative || share.Weight < 0
		sum = min(sum+max(share.Weight, 0), 1<<40) // capped, so that the sum can't wrap around to 0
	}
	if negative || sum <= 0 {
		v.add(path+".split", "no-weight", "give route %q weights of 0 or more, at least one above 0", r.Name)
	}
}

func (v *validator) tenants(tenants []Tenant) {
	names := map[string]bool{}
	owners := map[string]int{} // tenant's index by key
	for i, tenant := range tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		v.name(names, path, tenant.Name)
		for j, key := range tenant.Keys {
			if owner, ok := owners[key]; ok && owner != i {
				// Keys are secrets: the finding names the tenants only.
				v.add(fmt.Sprintf("%s.keys[%d]", path, j), "shared-key", "remove the key from %q or from %q", tenants[owner].Name, tenant.Name)
			} else {
				owners[key] = i
			}
		}
	}
}
