package route

import (
	"fmt"
	"strings"
)

// Validate lists all that is wrong with a configuration that would follow currentVersion, 0
// being none. A store of cached blocks is a pool that no route may name.
func Validate(config Config, currentVersion uint64) []Finding {
	v := validator{engines: map[string]bool{}, places: map[place]string{}}
	if config.Version <= currentVersion {
		v.add("version", "old-version", "give a version higher than %d", currentVersion)
	}
	v.pools(config.Pools)
	v.routes(config.Routes)
	v.tenants(config.Tenants)
	return v.findings
}

// validator collects findings, and what later parts are checked against.
type validator struct {
	findings []Finding
	engines  map[string]bool  // by pool: whether it takes requests
	places   map[place]string // the route that has it
}

// place is what a route answers for.
type place struct{ host, prefix string }

func (v *validator) add(path, reason, remedy string, args ...any) {
	v.findings = append(v.findings, Finding{path, reason, fmt.Sprintf(remedy, args...)})
}

// name checks that an item has a name that no other item of its list has.
func (v *validator) name(seen map[string]bool, path, name string) {
	switch {
	case name == "":
		v.add(path+".name", "no-name", "name it")
	case seen[name]:
		v.add(path+".name", "same-name", "use the name %q once", name)
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
		v.add(path+".host", "no-host", "name the host of route %q", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		v.add(path+".prefix", "bad-prefix", "let the prefix %q begin and end with a slash", r.Prefix)
	}
	at := place{strings.ToLower(r.Host), r.Prefix}
	if other, taken := v.places[at]; taken {
		v.add(path+".prefix", "same-place", "give routes %q and %q different hosts or prefixes", other, r.Name)
	} else {
		v.places[at] = r.Name
	}
	if r.Semantics < AtMostOnce || r.Semantics > EventStream {
		v.add(path+".kind", "unknown-kind", "say what may be repeated of route %q", r.Name)
	}
	if r.TimeoutUS <= 0 {
		v.add(path+".timeout", "no-timeout", "give route %q a timeout above 0", r.Name)
	}
}

func (v *validator) split(path string, r *Route) {
	sum, negative := 0, false
	for i, share := range r.Split {
		if !v.engines[share.Pool] {
			v.add(fmt.Sprintf("%s.split[%d].pool", path, i), "unknown-pool", "define the pool %q of engines, or send route %q elsewhere", share.Pool, r.Name)
		}
		negative = negative || share.Weight < 0
		sum = min(sum+max(share.Weight, 0), 1<<40) // no way round to 0 by overflow
	}
	if negative || sum <= 0 {
		v.add(path+".split", "no-weight", "give route %q weights of 0 or more, at least one above 0", r.Name)
	}
}

func (v *validator) tenants(tenants []Tenant) {
	names := map[string]bool{}
	holders := map[string]int{} // by key
	for i, tenant := range tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		v.name(names, path, tenant.Name)
		for j, key := range tenant.Keys {
			if holder, ok := holders[key]; ok && holder != i {
				// Keys are secrets: the finding names the tenants only.
				v.add(fmt.Sprintf("%s.keys[%d]", path, j), "shared-key", "take the key away from %q or from %q", tenants[holder].Name, tenant.Name)
			} else {
				holders[key] = i
			}
		}
	}
}
