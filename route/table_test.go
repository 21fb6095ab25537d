package route

import (
	"fmt"
	"math/rand"
	"testing"
)

func TestMatch(t *testing.T) {
	c := Config{Routes: []Route{{Name: "all", Host: "a.example", Prefix: "/"}, {Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "A.example", Prefix: "/x/y/"}, {Name: "b", Host: "b.example", Prefix: "/b/"}}}
	table := Compile(c, 1)
	for _, x := range []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "xy"}, {"a.example", "/x/1", "x"}, {"a.example", "/x", "all"}, {"a.example", "/xx/", "all"},
		{"a.example", "/X/1", "all"}, {"A.EXAMPLE", "/x/", "x"}, {"a.example:8080", "/x/", "x"}, {"b.example", "/", ""},
		{"b.example", "/b", ""}, {"b.example", "/b/", "b"}, {"c.example", "/", ""}, {"", "/", ""}, {"a.example", "", ""},
	} {
		got := ""
		if r := table.Match(x.host, x.path); r != nil {
			got = r.Name
		}
		if got != x.want {
			t.Errorf("%s%s is routed to %q, want %q", x.host, x.path, got, x.want)
		}
	}
}

func TestTenantByKey(t *testing.T) {
	table := Compile(Config{Tenants: []Tenant{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"K1", ""}}}}, 1)
	for k, want := range map[string]string{"k1": "a", "k2": "a", "K1": "b", "": "", "k": "", "k1 ": "", "k1k2": ""} {
		got := ""
		if n := table.TenantByKey(k); n != nil {
			got = n.Name
		}
		if got != want {
			t.Errorf("%q is a key of %q, want %q", k, got, want)
		}
	}
	if !table.RequiresKeys() || Compile(Config{}, 1).RequiresKeys() {
		t.Fatal("RequiresKeys must be true only if there are tenants")
	}
}

// TestCacheScopes: through any sequence of configurations, no tenant finds a block that another
// tenant cached if either of them is isolated now or the other was when it cached the block.
func TestCacheScopes(t *testing.T) { checkScopes(t, "a", "b", "ab", "c", "A", "a.1") }

// TestCacheScopesOfOddNames: the same for names whose concatenations could be confused.
func TestCacheScopesOfOddNames(t *testing.T) {
	checkScopes(t, "a", "b", "c", "b\x00c", "a\x00b", "a\x00b\x00c", "\x00")
}

func checkScopes(t *testing.T, names ...string) {
	t.Helper()
	for seed := int64(1); seed <= 200; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		type block struct {
			tenant   string
			isolated bool // whether the tenant was isolated when it cached the block
		}
		cached := map[string][]block{} // by scope
		history := ""
		for revision := uint64(1); revision < 25; revision++ {
			var c Config
			isolated := map[string]bool{}
			for _, i := range rnd.Perm(len(names))[:1+rnd.Intn(len(names))] {
				n := Tenant{Name: names[i], Isolated: rnd.Intn(3) == 0}
				isolated[n.Name] = n.Isolated
				c.Tenants = append(c.Tenants, n)
			}
			history += fmt.Sprint(isolated, " ")
			table := Compile(c, revision)
			for _, n := range c.Tenants {
				scope := table.CacheScope(n.Name)
				for _, found := range cached[scope] {
					if found.tenant != n.Name && (found.isolated || isolated[found.tenant] || n.Isolated) {
						t.Fatalf("seed %d: %q finds a block of %q (isolated then: %v) in scope %s: %s", seed, n.Name, found.tenant, found.isolated, scope, history)
					}
				}
			}
			for _, n := range c.Tenants {
				cached[table.CacheScope(n.Name)] = append(cached[table.CacheScope(n.Name)], block{n.Name, n.Isolated})
			}
		}
	}
}

// TestCacheScopesKeep: the scope of an isolated tenant does not change when others become
// isolated, and every set of isolated tenants has a shared scope of its own.
func TestCacheScopesKeep(t *testing.T) {
	tenants := func(isolated ...string) *Table {
		c := Config{}
		for _, n := range []string{"a", "b", "c"} {
			x := Tenant{Name: n}
			for _, y := range isolated {
				x.Isolated = x.Isolated || y == n
			}
			c.Tenants = append(c.Tenants, x)
		}
		return Compile(c, 1)
	}
	open, a, ab, b := tenants(), tenants("a"), tenants("a", "b"), tenants("b")
	if open.CacheScope("b") != open.CacheScope("c") || open.CacheScope("b") != open.CacheScope("") || a.CacheScope("b") != a.CacheScope("c") {
		t.Fatal("tenants that are not isolated have different scopes")
	}
	if a.CacheScope("a") != ab.CacheScope("a") || ab.CacheScope("b") != b.CacheScope("b") {
		t.Fatal("the scope of an isolated tenant changed with the isolation of another")
	}
	seen := map[string]bool{}
	for _, scope := range []string{open.CacheScope("c"), a.CacheScope("c"), ab.CacheScope("c"), b.CacheScope("c"), a.CacheScope("a"), b.CacheScope("b")} {
		if seen[scope] {
			t.Fatalf("two scopes have the name %s", scope)
		}
		seen[scope] = true
	}
	if open.CacheScope("nobody") != open.CacheScope("") {
		t.Fatal("an unknown tenant does not have the shared scope")
	}
}
