// Package index is an index node's deciding part: which duties to hold, what
// each proxy may send each engine it owns, which engines must change weights,
// and what the fleet learns of kept parts. It is pure (design §7, §8, §10).
package index

import (
	"slices"
	"strings"

	"violetthread/hint"
	"violetthread/plan"
)

// Times in microseconds.
const (
	DutyTerm  = 2_000_000
	DutyRenew = 500_000
	DutySlack = 250_000 // a holder stops this much before its lease ends
	reportOld = 1_500_000
	proxyOld  = 1_500_000
	importOld = 60_000_000
	planOld   = 3_000_000
	turnBound = 13_000_000 // an engine that runs other weights still is taken out
	turnWait  = 1_000_000  // before an engine is told again
	waveFor   = 9_000_000  // then the last wave is told (docs/bounds.md)
	namedMost = 16
	longAgo   = 1 << 50
)

// Shards is how many shards the index has.
const Shards = 16

// Custodian is a live index node, with the duties it said it holds and how it reaches
// engines.
type Custodian struct {
	Name   string   `json:"Name"`
	Site   string   `json:"Site"`
	Addr   string   `json:"Addr"`
	Duties []string `json:"Duties"`
	Reach
}

// Listed is an engine or the store as the platform lists it.
type Listed struct {
	Name    string `json:"Name"`
	Addr    string `json:"Addr"`
	Site    string `json:"Site"`
	Store   bool   `json:"Store"`
	Leaving bool   `json:"Leaving"`
}

// Keeper is not safe for concurrent use.
type Keeper struct {
	name, site string
	inc        uint64
	plan       *plan.Compiled
	planAt     int64
	named      []naming // weights, newest last
	peers      []Custodian
	listing    map[string]Listed
	listAt     int64
	duties     map[string]*duty
	engines    map[string]*engine
	contacts   map[string]*contact // engines that are asked, owned or not
	proxies    map[string]*proxy
	dir        *hint.Directory
	holds      map[string]*follower // feeds of what my engines hold, by asker
	source     map[uint64]string    // holder -> custodian that told of it
	placed     map[uint64]Place     // every holder that was told of
	cursors    map[string]Cursor    // how far others' holds feeds were read
	near       map[string]*site
	turn       int
	Counts     Counts
}

// Counts are for vitals.
type Counts struct {
	Takeovers, Freed, Resyncs, HandOK, HandBad, NewsOut, Told, Pushes uint64
}

// New makes a keeper.
func New(name, site string, inc uint64) *Keeper {
	return &Keeper{name: name, site: site, inc: inc, listing: map[string]Listed{}, duties: map[string]*duty{},
		engines: map[string]*engine{}, contacts: map[string]*contact{}, proxies: map[string]*proxy{}, dir: hint.NewDirectory(inc, 1<<20),
		holds: map[string]*follower{}, source: map[uint64]string{}, cursors: map[string]Cursor{}, placed: map[uint64]Place{}}
}

// Plan takes in a plan known to be in force at time at.
func (k *Keeper) Plan(p *plan.Compiled, at int64) {
	if p != nil && (k.plan == nil || p.Rev >= k.plan.Rev) {
		if k.plan == nil {
			// Nobody told this node since when: engines with others are as late as
			// can be, and get nothing until they have turned.
			k.named = []naming{{p.Weights, at - longAgo}}
		} else if p.Weights != k.plan.Weights {
			k.named = append(k.named, naming{p.Weights, at})
			if len(k.named) > namedMost {
				k.named = k.named[1:]
			}
		}
		k.plan, k.planAt = p, max(k.planAt, at)
	}
}

// PlanHeld and PlanRev are the plan in force here.
func (k *Keeper) PlanHeld() *plan.Compiled { return k.plan }

// PlanRev is its revision, 0 for none.
func (k *Keeper) PlanRev() uint64 {
	if k.plan == nil {
		return 0
	}
	return k.plan.Rev
}

// Peers takes in the live custodians, this one among them.
func (k *Keeper) Peers(cs []Custodian) {
	k.peers = slices.Clone(cs)
	slices.SortFunc(k.peers, func(a, b Custodian) int { return strings.Compare(a.Name, b.Name) })
}

// Listing takes in the platform's list as of time at.
func (k *Keeper) Listing(at int64, ls []Listed) {
	if at < k.listAt {
		return
	}
	k.listAt = at
	k.listing = map[string]Listed{}
	for _, l := range ls {
		k.listing[l.Name] = l
	}
	for n, e := range k.engines {
		l, ok := k.listing[n]
		if !ok {
			k.forget(e)
			delete(k.engines, n)
			continue
		}
		e.Listed = l
	}
}

// ListingStands confirms the last list as of time at.
func (k *Keeper) ListingStands(at int64) {
	if k.listAt > 0 {
		k.listAt = max(k.listAt, at)
	}
}

// Directory is the index of the shards held here, for vitals.
func (k *Keeper) Directory() *hint.Directory { return k.dir }
