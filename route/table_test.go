package route

import (
	"fmt"
	"math/rand"
	"testing"
)

func TestFind(t *testing.T) {
	c := Config{Routes: []Route{{Name: "all", Host: "a.example", Prefix: "/"}, {Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "xy", Host: "A.example", Prefix: "/x/y/"}, {Name: "b", Host: "b.example", Prefix: "/b/"}}}
	tab := Compile(c, 1)
	for _, x := range []struct{ host, path, want string }{
		{"a.example", "/x/y/1", "xy"}, {"a.example", "/x/1", "x"}, {"a.example", "/x", "all"}, {"a.example", "/xx/", "all"},
		{"a.example", "/X/1", "all"}, {"A.EXAMPLE", "/x/", "x"}, {"a.example:8080", "/x/", "x"}, {"b.example", "/", ""},
		{"b.example", "/b", ""}, {"b.example", "/b/", "b"}, {"c.example", "/", ""}, {"", "/", ""}, {"a.example", "", ""},
	} {
		got := ""
		if r := tab.Match(x.host, x.path); r != nil {
			got = r.Name
		}
		if got != x.want {
			t.Errorf("%s%s goes to %q, not %q", x.host, x.path, got, x.want)
		}
	}
}

func TestTenantOf(t *testing.T) {
	tab := Compile(Config{Tenants: []Tenant{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"K1", ""}}}}, 1)
	for k, want := range map[string]string{"k1": "a", "k2": "a", "K1": "b", "": "", "k": "", "k1 ": "", "k1k2": ""} {
		got := ""
		if n := tab.TenantByKey(k); n != nil {
			got = n.Name
		}
		if got != want {
			t.Errorf("%q is a key of %q, not %q", k, got, want)
		}
	}
	if !tab.RequiresKeys() || Compile(Config{}, 1).RequiresKeys() {
		t.Fatal("keys are asked for in the wrong place")
	}
}

// TestWalls: through any row of configurations nobody finds a part that another made,
// if one of the two is walled off now or was when it was made.
func TestWalls(t *testing.T) { walls(t, "a", "b", "ab", "c", "A", "a.1") }

// TestWallsOddNames: names that joined to others would look like those.
func TestWallsOddNames(t *testing.T) {
	walls(t, "a", "b", "c", "b\x00c", "a\x00b", "a\x00b\x00c", "\x00")
}

func walls(t *testing.T, names ...string) {
	t.Helper()
	for seed := int64(1); seed <= 200; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		type part struct {
			maker string
			apart bool
		}
		made := map[string][]part{}
		row := ""
		for rev := uint64(1); rev < 25; rev++ {
			var c Config
			apart := map[string]bool{}
			for _, i := range rnd.Perm(len(names))[:1+rnd.Intn(len(names))] {
				n := Tenant{Name: names[i], Isolated: rnd.Intn(3) == 0}
				apart[n.Name] = n.Isolated
				c.Tenants = append(c.Tenants, n)
			}
			row += fmt.Sprint(apart, " ")
			tab := Compile(c, rev)
			for _, n := range c.Tenants {
				w := tab.CacheScope(n.Name)
				for _, p := range made[w] {
					if p.maker != n.Name && (p.apart || apart[p.maker] || n.Isolated) {
						t.Fatalf("seed %d: %q finds what %q made (walled off then: %v) under %s: %s", seed, n.Name, p.maker, p.apart, w, row)
					}
				}
			}
			for _, n := range c.Tenants {
				made[tab.CacheScope(n.Name)] = append(made[tab.CacheScope(n.Name)], part{n.Name, n.Isolated})
			}
		}
	}
}

// TestWallsKeep: what does not concern a tenant leaves its wall where it is.
func TestWallsKeep(t *testing.T) {
	tenants := func(apart ...string) *Table {
		c := Config{}
		for _, n := range []string{"a", "b", "c"} {
			x := Tenant{Name: n}
			for _, y := range apart {
				x.Isolated = x.Isolated || y == n
			}
			c.Tenants = append(c.Tenants, x)
		}
		return Compile(c, 1)
	}
	open, a, ab, b := tenants(), tenants("a"), tenants("a", "b"), tenants("b")
	if open.CacheScope("b") != open.CacheScope("c") || open.CacheScope("b") != open.CacheScope("") || a.CacheScope("b") != a.CacheScope("c") {
		t.Fatal("the commons are no commons")
	}
	if a.CacheScope("a") != ab.CacheScope("a") || ab.CacheScope("b") != b.CacheScope("b") {
		t.Fatal("a walled tenant moved for another's sake")
	}
	seen := map[string]bool{}
	for _, w := range []string{open.CacheScope("c"), a.CacheScope("c"), ab.CacheScope("c"), b.CacheScope("c"), a.CacheScope("a"), b.CacheScope("b")} {
		if seen[w] {
			t.Fatalf("%s stands for two", w)
		}
		seen[w] = true
	}
	if open.CacheScope("nobody") != open.CacheScope("") {
		t.Fatal("whoever is no tenant is not in the commons")
	}
}
