package route

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net"
	"sort"
	"strings"
)

// Table is a configuration indexed for look-ups. It is immutable.
type Table struct {
	Config
	Revision    uint64              // of the register that it was read from
	hosts       map[string][]*Route // by host in lower case, longest prefix first
	keys        map[string]*Tenant
	pools       map[string]*Pool
	cacheScopes map[string]string // by tenant; "" is no tenant
	priorities  int               // number of priority levels of routes
}

// Compile makes a table of a configuration in which Validate found no problems.
func Compile(config Config, revision uint64) *Table {
	t := &Table{
		Config:   config,
		Revision: revision,
		hosts:    map[string][]*Route{},
		keys:     map[string]*Tenant{},
		pools:    map[string]*Pool{},
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.priorities = max(t.priorities, r.Priority+1)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range t.Pools {
		t.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	for i := range t.Tenants {
		for _, key := range t.Tenants[i].Keys {
			t.keys[key] = &t.Tenants[i]
		}
	}
	t.cacheScopes = cacheScopes(t.Tenants)
	return t
}

// cacheScopes returns the name of each tenant's scope of cached prompt blocks. Isolated tenants
// have one each; all others share one.
func cacheScopes(tenants []Tenant) map[string]string {
	var isolated []string
	for i := range tenants {
		if tenants[i].Isolated {
			isolated = append(isolated, tenants[i].Name)
		}
	}
	// The name of the shared scope depends on which tenants are isolated: when another tenant
	// becomes isolated, the name changes, so that the others no longer find blocks which that
	// tenant cached in the shared scope before.
	sort.Strings(isolated)
	var names []byte
	for _, name := range isolated {
		names = binary.AppendUvarint(names, uint64(len(name))) // keeps the concatenation unambiguous
		names = append(names, name...)
	}
	shared := scopeName("c", names)
	scopes := map[string]string{"": shared}
	for i := range tenants {
		if name := tenants[i].Name; tenants[i].Isolated {
			scopes[name] = scopeName("w", []byte(name))
		} else {
			scopes[name] = shared
		}
	}
	return scopes
}

// scopeName makes the name of a scope. It is part of the keys under which engines cache blocks,
// and must not change.
func scopeName(kind string, of []byte) string {
	sum := sha256.Sum256(of)
	return kind + hex.EncodeToString(sum[:6])
}

// Match returns the route with the longest prefix of the path, or nil. A port in the host is
// ignored unless a route's host includes it.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil && t.hosts[host] == nil {
		host = name
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// TenantByKey returns the tenant that owns an API key, or nil.
func (t *Table) TenantByKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// RequiresKeys reports whether requests need API keys, unless their route is public.
func (t *Table) RequiresKeys() bool { return t.KeysRequired || len(t.Tenants) > 0 }

// Pool returns the pool of that name, or nil.
func (t *Table) Pool(name string) *Pool { return t.pools[name] }

// Stores lists the stores of cached prompt blocks.
func (t *Table) Stores() (stores []*Pool) {
	for i := range t.Pools {
		if pool := &t.Pools[i]; pool.StoreAddr != "" {
			stores = append(stores, pool)
		}
	}
	return stores
}

// CacheScope returns the name of the scope whose cached prompt blocks a tenant's requests may
// share; "" is no tenant. An unknown tenant has the shared scope.
func (t *Table) CacheScope(tenant string) string {
	if scope, ok := t.cacheScopes[tenant]; ok {
		return scope
	}
	return t.cacheScopes[""]
}

// Priority combines the priorities of a tenant and a route, ordered by the tenant's first; 0 is
// the highest. tenant is nil for a request without an API key.
func (t *Table) Priority(tenant *Tenant, r *Route) int {
	if tenant == nil {
		return r.Priority
	}
	return tenant.Priority*t.priorities + r.Priority
}
