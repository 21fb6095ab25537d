package route

import (
	"fmt"
	"strings"
)

// Check lists all that is wrong with a configuration that would follow version
// have, 0 being none. A store of parts is a pool that no route may name.
func Validate(config Config, currentVersion uint64) (fs []Finding) {
	bad := func(path, reason, remedy string, a ...any) {
		fs = append(fs, Finding{path, reason, fmt.Sprintf(remedy, a...)})
	}
	if config.Version <= currentVersion {
		bad("version", "old-version", "give a version higher than %d", currentVersion)
	}
	pools := map[string]bool{} // whether it takes requests
	names := map[string]bool{}
	for i, p := range config.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		checkName(&fs, names, at, p.Name)
		pools[p.Name] = p.StoreAddr == ""
	}
	names = map[string]bool{}
	type place struct{ host, prefix string }
	places := map[place]string{}
	for i, r := range config.Routes {
		at := fmt.Sprintf("routes[%d]", i)
		checkName(&fs, names, at, r.Name)
		if r.Host == "" {
			bad(at+".host", "no-host", "name the host of route %q", r.Name)
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			bad(at+".prefix", "bad-prefix", "let the prefix %q begin and end with a slash", r.Prefix)
		}
		k := place{strings.ToLower(r.Host), r.Prefix}
		if o, ok := places[k]; ok {
			bad(at+".prefix", "same-place", "give routes %q and %q different hosts or prefixes", o, r.Name)
		} else {
			places[k] = r.Name
		}
		if r.Semantics < AtMostOnce || r.Semantics > EventStream {
			bad(at+".kind", "unknown-kind", "say what may be repeated of route %q", r.Name)
		}
		if r.TimeoutUS <= 0 {
			bad(at+".timeout", "no-timeout", "give route %q a timeout above 0", r.Name)
		}
		sum, neg := 0, false
		for j, s := range r.Split {
			if !pools[s.Pool] {
				bad(fmt.Sprintf("%s.split[%d].pool", at, j), "unknown-pool", "define the pool %q of engines, or send route %q elsewhere", s.Pool, r.Name)
			}
			neg = neg || s.Weight < 0
			sum = min(sum+max(s.Weight, 0), 1<<40) // no way round to 0 by overflow
		}
		if neg || sum <= 0 {
			bad(at+".split", "no-weight", "give route %q weights of 0 or more, at least one above 0", r.Name)
		}
	}
	names = map[string]bool{}
	keys := map[string]int{}
	for i, t := range config.Tenants {
		at := fmt.Sprintf("tenants[%d]", i)
		checkName(&fs, names, at, t.Name)
		for j, k := range t.Keys {
			if o, ok := keys[k]; ok && o != i {
				// Keys are secrets: the finding names the tenants only.
				bad(fmt.Sprintf("%s.keys[%d]", at, j), "shared-key", "take the key away from %q or from %q", config.Tenants[o].Name, t.Name)
			} else {
				keys[k] = i
			}
		}
	}
	return fs
}

func checkName(fs *[]Finding, seen map[string]bool, at, name string) {
	switch {
	case name == "":
		*fs = append(*fs, Finding{at + ".name", "no-name", "name it"})
	case seen[name]:
		*fs = append(*fs, Finding{at + ".name", "same-name", fmt.Sprintf("use the name %q once", name)})
	}
	seen[name] = true
}
