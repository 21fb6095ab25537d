// Package plan is what operators order of the fleet: groups with their shares
// and walls, kinds of ticket, entries, weights and limits (design §2).
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
)

// Plan is one whole plan. Times are whole microseconds.
type Plan struct {
	Weights string           `json:"weights" validate:"required,max=64,name"`
	Kinds   map[string]Kind  `json:"kinds" validate:"required,min=1,max=64,dive,keys,name,endkeys"`
	Groups  map[string]Group `json:"groups" validate:"required,min=1,max=256,dive,keys,name,endkeys"`
	Routes  []Route          `json:"entries,omitempty" validate:"max=1024,dive"`
	Limits  Limits           `json:"limits,omitempty"`
	Notes   map[string]any   `json:"notes,omitempty"`
}

// Kind is a kind of ticket.
type Kind struct {
	// Once: a ticket of this kind runs at most once, whoever sends it again.
	Once bool `json:"once,omitempty"`
	// DueUS is given to tickets that name no due; a ticket's own may not exceed MaxDueUS.
	DueUS    int64 `json:"due_us" validate:"min=100000,max=600000000"`
	MaxDueUS int64 `json:"max_due_us,omitempty" validate:"omitempty,min=100000,max=600000000,gtefield=DueUS"`
	// TypicalUS is what a run is expected to take before any has been seen.
	TypicalUS int64 `json:"typical_us,omitempty" validate:"omitempty,min=1000,max=600000000"`
}

// Group is a group of callers.
type Group struct {
	Share float64 `json:"share" validate:"gt=0,lte=10000"`
	// Wall: the group's kept prompts serve nobody else, and none serve it.
	Isolated bool `json:"wall,omitempty"`
	// Ceiling bounds the group to this many thousandths of a proxy's room.
	CeilingPermille int `json:"ceiling,omitempty" validate:"omitempty,min=1,max=1000"`
	// Keys are digests, "sha256:" and 64 hex digits; keys themselves are never kept.
	Keys  []string `json:"keys" validate:"max=64,dive,digest"`
	Kinds []string `json:"kinds,omitempty" validate:"max=64"`
}

// Entry sends plain calls below a path to an app back end.
type Route struct {
	Path    string `json:"path" validate:"required,startswith=/,max=256"`
	Backend string `json:"to" validate:"required,hostport"`
	// DueUS bounds one call.
	TimeoutUS int64 `json:"due_us" validate:"min=10000,max=600000000"`
}

// Limits are the fleet's own bounds; zero means the default.
type Limits struct {
	RetryPermille     int    `json:"retry_permille,omitempty" validate:"omitempty,min=1,max=500"`
	CapacityPerEngine int    `json:"room_per_engine,omitempty" validate:"omitempty,min=1,max=4096"`
	QueuePerGroup     int    `json:"queue_per_group,omitempty" validate:"omitempty,min=1,max=100000"`
	TransferWaitUS    int64  `json:"take_wait_us,omitempty" validate:"omitempty,min=1000,max=10000000"`
	Prefetch          string `json:"push,omitempty" validate:"omitempty,oneof=none one half all"`
	WavePercent       int    `json:"wave_percent,omitempty" validate:"omitempty,min=1,max=100"`
}

// Defaults fills in the limits that the plan leaves open.
func (l Limits) WithDefaults() Limits {
	def := func(p *int, v int) {
		if *p == 0 {
			*p = v
		}
	}
	def(&l.RetryPermille, 100)
	def(&l.CapacityPerEngine, 16)
	def(&l.QueuePerGroup, 512)
	def(&l.WavePercent, 50)
	if l.TransferWaitUS == 0 {
		l.TransferWaitUS = 150_000
	}
	if l.Prefetch == "" {
		l.Prefetch = "none"
	}
	return l
}

// Digest is how a key is named in a plan.
func KeyDigest(key string) string {
	s := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(s[:])
}

// Compiled is a plan made ready for the path of a ticket. It never changes.
type Compiled struct {
	Plan
	Revision      uint64
	Limits        Limits
	groupByDigest map[string]string
	seal          Seal
}

// Compile makes a plan ready.
func Compile(p *Plan, rev uint64) *Compiled {
	c := &Compiled{Plan: *p, Revision: rev, Limits: p.Limits.WithDefaults(), groupByDigest: map[string]string{}}
	for g, x := range p.Groups {
		for _, k := range x.Keys {
			c.groupByDigest[strings.ToLower(k)] = g
		}
	}
	return c
}

// Load reads a register's value: a plan that was already accepted, with its seal.
func Load(val []byte, rev uint64) (*Compiled, error) {
	s, raw, err := Decode(val)
	if err != nil {
		return nil, err
	}
	var p Plan
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, err
	}
	c := Compile(&p, rev)
	c.seal = s
	return c, nil
}

// GroupOf finds the group whose key has that digest.
func (c *Compiled) GroupOf(digest string) (string, bool) {
	g, ok := c.groupByDigest[digest]
	return g, ok
}

// Allowed reports whether a group may send a kind.
func (c *Compiled) MaySend(group, kind string) bool {
	ks := c.Groups[group].Kinds
	if len(ks) == 0 {
		return true
	}
	for _, k := range ks {
		if k == kind {
			return true
		}
	}
	return false
}

// EntryFor finds the entry with the longest path that p lies below.
func (c *Compiled) RouteFor(p string) (Route, bool) {
	var best Route
	for _, e := range c.Routes {
		q := strings.TrimSuffix(e.Path, "/")
		if (p == q || strings.HasPrefix(p, q+"/")) && len(e.Path) > len(best.Path) {
			best = e
		}
	}
	return best, best.Path != ""
}
