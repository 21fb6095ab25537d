package route

import (
	"slices"
	"testing"

	"github.com/samber/lo"
)

// validConfig returns a configuration without problems, of version 7.
func validConfig() Config {
	return Config{
		Version: 7,
		Routes: []Route{
			{Name: "a", Host: "one.example", Prefix: "/a/", Semantics: AtMostOnce, TimeoutUS: 1, Split: []WeightedPool{{"p", 90}, {"p", 10}}},
			{Name: "b", Host: "one.example", Prefix: "/a/b/", Semantics: EventStream, TimeoutUS: 1, Split: []WeightedPool{{"p", 0}, {"q", 1}}},
			{Name: "c", Host: "two.example", Prefix: "/", Semantics: Idempotent, TimeoutUS: 1, Split: []WeightedPool{{"q", 1}}},
		},
		Pools:   []Pool{{Name: "p"}, {Name: "q"}, {Name: "s", StoreAddr: "10.0.0.1:80"}},
		Tenants: []Tenant{{Name: "t", Keys: []string{"k1", "k1"}}, {Name: "u", Keys: []string{"k2"}}},
	}
}

func TestValidate(t *testing.T) {
	for _, c := range []struct {
		name    string
		current uint64
		change  func(*Config)
		want    []string // path and reason
	}{
		{"sound", 6, func(*Config) {}, nil},
		{"first", 0, func(*Config) {}, nil},
		{"empty", 0, func(c *Config) { *c = Config{Version: 1} }, nil},
		{"same version", 7, func(*Config) {}, []string{"version old-version"}},
		{"older version", 8, func(*Config) {}, []string{"version old-version"}},
		{"no version", 0, func(c *Config) { c.Version = 0 }, []string{"version old-version"}},
		{"unknown pool", 6, func(c *Config) { c.Routes[0].Split[1].Pool = "x" }, []string{"routes[0].split[1].pool unknown-pool"}},
		{"unknown pool without weight", 6, func(c *Config) { c.Routes[1].Split[0].Pool = "x" }, []string{"routes[1].split[0].pool unknown-pool"}},
		{"route to a store", 6, func(c *Config) { c.Routes[2].Split[0].Pool = "s" }, []string{"routes[2].split[0].pool unknown-pool"}},
		{"same place", 6, func(c *Config) { c.Routes[1].Prefix = "/a/" }, []string{"routes[1].prefix same-place"}},
		{"same place, other case", 6, func(c *Config) { c.Routes[2].Host, c.Routes[2].Prefix = "ONE.example", "/a/" }, []string{"routes[2].prefix same-place"}},
		{"no weight", 6, func(c *Config) { c.Routes[1].Split[1].Weight = 0 }, []string{"routes[1].split no-weight"}},
		{"weights cancel out", 6, func(c *Config) { c.Routes[0].Split = []WeightedPool{{"p", 5}, {"q", -5}} }, []string{"routes[0].split no-weight"}},
		{"one weight negative", 6, func(c *Config) { c.Routes[0].Split = []WeightedPool{{"p", 5}, {"q", -1}} }, []string{"routes[0].split no-weight"}},
		{"huge weights", 6, func(c *Config) {
			c.Routes[0].Split = lo.Times(6, func(int) WeightedPool { return WeightedPool{"p", 1 << 62} })
		}, nil},
		{"no split", 6, func(c *Config) { c.Routes[2].Split = nil }, []string{"routes[2].split no-weight"}},
		{"no timeout", 6, func(c *Config) { c.Routes[0].TimeoutUS = 0 }, []string{"routes[0].timeout no-timeout"}},
		{"negative timeout", 6, func(c *Config) { c.Routes[0].TimeoutUS = -1 }, []string{"routes[0].timeout no-timeout"}},
		{"shared key", 6, func(c *Config) { c.Tenants[1].Keys = []string{"k3", "k1"} }, []string{"tenants[1].keys[1] shared-key"}},
		{"names", 6, func(c *Config) {
			c.Routes[0].Name, c.Routes[2].Name, c.Pools[1].Name, c.Tenants[1].Name = "", "b", "p", ""
		}, []string{
			"pools[1].name same-name", "routes[0].name no-name", "routes[1].split[1].pool unknown-pool",
			"routes[2].name same-name", "routes[2].split[0].pool unknown-pool", "tenants[1].name no-name",
		}},
		{"host and prefixes", 6, func(c *Config) {
			c.Routes[0].Host, c.Routes[1].Prefix, c.Routes[2].Prefix = "", "/x", ""
		}, []string{"routes[0].host no-host", "routes[1].prefix bad-prefix", "routes[2].prefix bad-prefix"}},
		{"kind", 6, func(c *Config) { c.Routes[0].Semantics = 0 }, []string{"routes[0].kind unknown-kind"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := validConfig()
			c.change(&config)
			findings := Validate(config, c.current)
			if got := lo.Map(findings, func(f Finding, _ int) string { return f.Path + " " + f.Reason }); !slices.Equal(got, c.want) {
				t.Fatalf("got %q, want %q", got, c.want)
			}
			for _, f := range findings {
				if f.Remedy == "" {
					t.Errorf("the finding for %s has no remedy", f.Path)
				}
			}
		})
	}
}
