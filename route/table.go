package route

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net"
	"sort"
	"strings"
)

// Table is a configuration made ready for look-ups. It never changes.
type Table struct {
	Config
	Revision    uint64 // of the register that held it
	hosts       map[string][]*Route
	keys        map[string]*Tenant
	pools       map[string]*Pool
	cacheScopes map[string]string
	priorities  int // of routes
}

// Compile makes a table of a configuration that Check found in order.
func Compile(config Config, revision uint64) *Table {
	t := &Table{Config: config, Revision: revision, hosts: map[string][]*Route{}, keys: map[string]*Tenant{}, pools: map[string]*Pool{}, cacheScopes: map[string]string{}}
	for i := range config.Routes {
		r := &t.Config.Routes[i]
		t.priorities = max(t.priorities, r.Priority+1)
		t.hosts[strings.ToLower(r.Host)] = append(t.hosts[strings.ToLower(r.Host)], r)
	}
	for _, rs := range t.hosts {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for i := range config.Pools {
		t.pools[config.Pools[i].Name] = &t.Config.Pools[i]
	}
	var isolated []string
	for i := range config.Tenants {
		n := &t.Config.Tenants[i]
		for _, k := range n.Keys {
			t.keys[k] = n
		}
		if n.Isolated {
			isolated = append(isolated, n.Name)
		}
	}
	// The commons are named by who is walled off from them: whoever comes to be
	// isolated later left parts there that the others must not find any more.
	sort.Strings(isolated)
	var b []byte
	for _, n := range isolated {
		b = binary.AppendUvarint(b, uint64(len(n))) // no name can pass for two
		b = append(b, n...)
	}
	h := sha256.Sum256(b)
	shared := "c" + hex.EncodeToString(h[:6])
	t.cacheScopes[""] = shared
	for i := range config.Tenants {
		if n := &config.Tenants[i]; n.Isolated {
			w := sha256.Sum256([]byte(n.Name))
			t.cacheScopes[n.Name] = "w" + hex.EncodeToString(w[:6])
		} else {
			t.cacheScopes[n.Name] = shared
		}
	}
	return t
}

// Find is the route with the longest prefix that begins the path, or nil.
func (t *Table) Match(host, path string) *Route {
	h := strings.ToLower(host)
	if x, _, err := net.SplitHostPort(h); err == nil && t.hosts[h] == nil {
		h = x
	}
	for _, r := range t.hosts[h] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// TenantOf is the tenant that holds a key, or nil.
func (t *Table) TenantByKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// Keyed reports whether requests carry keys at all.
func (t *Table) RequiresKeys() bool { return len(t.Tenants) > 0 }

// Pool is the pool of that name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// Stores lists the stores of kept parts.
func (t *Table) Stores() (out []*Pool) {
	for i := range t.Config.Pools {
		if p := &t.Config.Pools[i]; p.StoreAddr != "" {
			out = append(out, p)
		}
	}
	return out
}

// Wall names the parts that a tenant's requests may share; "" is no tenant.
func (t *Table) CacheScope(tenant string) string {
	if w, ok := t.cacheScopes[tenant]; ok {
		return w
	}
	return t.cacheScopes[""]
}

// Rank joins a tenant's rank and a route's, the tenant's first; 0 is the highest.
func (t *Table) Priority(n *Tenant, r *Route) int {
	if n == nil {
		return r.Priority
	}
	return n.Priority*t.priorities + r.Priority
}
