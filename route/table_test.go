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
			t.Errorf("%s%s goes to %q, not %q", x.host, x.path, got, x.want)
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
			t.Errorf("%q is a key of %q, not %q", k, got, want)
		}
	}
	if !table.RequiresKeys() || Compile(Config{}, 1).RequiresKeys() {
		t.Fatal("keys are asked for in the wrong place")
	}
}

// TestCacheScopes: through any row of configurations nobody finds a block that another made,
// if one of the two is isolated now or was when it was made.
func TestCacheScopes(t *testing.T) { checkScopes(t, "a", "b", "ab", "c", "A", "a.1") }

// TestCacheScopesOfOddNames: names that joined to others would look like those.
func TestCacheScopesOfOddNames(t *testing.T) {
	checkScopes(t, "a", "b", "c", "b\x00c", "a\x00b", "a\x00b\x00c", "\x00")
}

func checkScopes(t *testing.T, names ...string) {
	t.Helper()
	for seed := int64(1); seed <= 200; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		type block struct {
			maker    string
			isolated bool
		}
		made := map[string][]block{}
		row := ""
		for revision := uint64(1); revision < 25; revision++ {
			var c Config
			isolated := map[string]bool{}
			for _, i := range rnd.Perm(len(names))[:1+rnd.Intn(len(names))] {
				n := Tenant{Name: names[i], Isolated: rnd.Intn(3) == 0}
				isolated[n.Name] = n.Isolated
				c.Tenants = append(c.Tenants, n)
			}
			row += fmt.Sprint(isolated, " ")
			table := Compile(c, revision)
			for _, n := range c.Tenants {
				w := table.CacheScope(n.Name)
				for _, p := range made[w] {
					if p.maker != n.Name && (p.isolated || isolated[p.maker] || n.Isolated) {
						t.Fatalf("seed %d: %q finds what %q made (isolated then: %v) under %s: %s", seed, n.Name, p.maker, p.isolated, w, row)
					}
				}
			}
			for _, n := range c.Tenants {
				made[table.CacheScope(n.Name)] = append(made[table.CacheScope(n.Name)], block{n.Name, n.Isolated})
			}
		}
	}
}

// TestCacheScopesKeep: what does not concern a tenant leaves its scope as it is.
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
		t.Fatal("the shared scope is not shared")
	}
	if a.CacheScope("a") != ab.CacheScope("a") || ab.CacheScope("b") != b.CacheScope("b") {
		t.Fatal("an isolated tenant moved for another's sake")
	}
	seen := map[string]bool{}
	for _, w := range []string{open.CacheScope("c"), a.CacheScope("c"), ab.CacheScope("c"), b.CacheScope("c"), a.CacheScope("a"), b.CacheScope("b")} {
		if seen[w] {
			t.Fatalf("%s stands for two", w)
		}
		seen[w] = true
	}
	if open.CacheScope("nobody") != open.CacheScope("") {
		t.Fatal("whoever is no tenant is not in the shared scope")
	}
}
