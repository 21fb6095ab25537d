// Package index is an index node's deciding part: which duties to hold, what
// each proxy may send each engine it owns, which engines must change weights,
// and what the fleet learns of kept parts. It is pure (design §7, §8, §10).
package index

import (
	"slices"
	"strings"

	"violetthread/cacheindex"
	"violetthread/plan"
)

// Times in microseconds.
const (
	LeaseDuration      = 2_000_000
	LeaseRenewInterval = 500_000
	LeaseSafetyMargin  = 250_000 // a holder stops this much before its lease ends
	maxReportAge       = 1_500_000
	proxyTimeout       = 1_500_000
	transferTimeout    = 60_000_000
	maxRolloutPlanAge  = 3_000_000
	weightUpdateLimit  = 13_000_000 // an engine that runs other weights still is taken out
	weightUpdateRetry  = 1_000_000  // before an engine is told again
	waveSpan           = 9_000_000  // then the last wave is told (docs/bounds.md)
	maxWeightsHistory  = 16
	longAgo            = 1 << 50
)

// Shards is how many shards the index has.
const Shards = 16

// Custodian is a live index node, with the duties it said it holds and how it reaches
// engines.
type Peer struct {
	Name  string   `json:"Name"`
	Zone  string   `json:"Site"`
	Addr  string   `json:"Addr"`
	Roles []string `json:"Duties"`
	Reachability
}

// Listed is an engine or the store as the platform lists it.
type ListedEngine struct {
	Name    string `json:"Name"`
	Addr    string `json:"Addr"`
	Zone    string `json:"Site"`
	Store   bool   `json:"Store"`
	Leaving bool   `json:"Leaving"`
}

// Keeper is not safe for concurrent use.
type Node struct {
	name, zone        string
	incarnation       uint64
	plan              *plan.Compiled
	planConfirmedAt   int64
	weightsHistory    []weightsNaming // weights, newest last
	peers             []Peer
	listed            map[string]ListedEngine
	listedAt          int64
	leases            map[string]*roleLease
	engines           map[string]*engine
	contacts          map[string]*contact // engines that are asked, owned or not
	proxies           map[string]*proxyDemand
	directory         *cacheindex.Directory
	holdingsFollowers map[string]*holdingsFollower // feeds of what my engines hold, by asker
	locationSource    map[uint64]string            // holder -> custodian that told of it
	locations         map[uint64]HolderLocation    // every holder that was told of
	holdingsCursors   map[string]Cursor            // how far others' holds feeds were read
	zones             map[string]*zoneIndex
	feedSeq           int
	Counters          Counters
}

// Counts are for vitals.
type Counters struct {
	Takeovers, Released, Resyncs, TransfersOK, TransfersFailed, UpdatesQueued, HoldingChanges, Prefetches uint64
}

// New makes a keeper.
func New(name, site string, inc uint64) *Node {
	return &Node{name: name, zone: site, incarnation: inc, listed: map[string]ListedEngine{}, leases: map[string]*roleLease{},
		engines: map[string]*engine{}, contacts: map[string]*contact{}, proxies: map[string]*proxyDemand{}, directory: cacheindex.NewDirectory(inc, 1<<20),
		holdingsFollowers: map[string]*holdingsFollower{}, locationSource: map[uint64]string{}, holdingsCursors: map[string]Cursor{}, locations: map[uint64]HolderLocation{}}
}

// Plan takes in a plan known to be in force at time at.
func (k *Node) ApplyPlan(p *plan.Compiled, at int64) {
	if p != nil && (k.plan == nil || p.Revision >= k.plan.Revision) {
		if k.plan == nil {
			// Nobody told this node since when: engines with others are as late as
			// can be, and get nothing until they have turned.
			k.weightsHistory = []weightsNaming{{p.Weights, at - longAgo}}
		} else if p.Weights != k.plan.Weights {
			k.weightsHistory = append(k.weightsHistory, weightsNaming{p.Weights, at})
			if len(k.weightsHistory) > maxWeightsHistory {
				k.weightsHistory = k.weightsHistory[1:]
			}
		}
		k.plan, k.planConfirmedAt = p, max(k.planConfirmedAt, at)
	}
}

// PlanHeld and PlanRev are the plan in force here.
func (k *Node) CurrentPlan() *plan.Compiled { return k.plan }

// PlanRev is its revision, 0 for none.
func (k *Node) PlanRevision() uint64 {
	if k.plan == nil {
		return 0
	}
	return k.plan.Revision
}

// Peers takes in the live custodians, this one among them.
func (k *Node) SetPeers(cs []Peer) {
	k.peers = slices.Clone(cs)
	slices.SortFunc(k.peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
}

// Listing takes in the platform's list as of time at.
func (k *Node) SetListing(at int64, ls []ListedEngine) {
	if at < k.listedAt {
		return
	}
	k.listedAt = at
	k.listed = map[string]ListedEngine{}
	for _, l := range ls {
		k.listed[l.Name] = l
	}
	for n, e := range k.engines {
		l, ok := k.listed[n]
		if !ok {
			k.removeAllHoldings(e)
			delete(k.engines, n)
			continue
		}
		e.ListedEngine = l
	}
}

// ListingStands confirms the last list as of time at.
func (k *Node) ConfirmListing(at int64) {
	if k.listedAt > 0 {
		k.listedAt = max(k.listedAt, at)
	}
}

// Directory is the index of the shards held here, for vitals.
func (k *Node) Directory() *cacheindex.Directory { return k.directory }
