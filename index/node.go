package index

import (
	"slices"
	"strings"

	"violetthread/cacheindex"
	"violetthread/plan"
)

// Shards is the number of shards of the prefix-cache index.
const Shards = 16

// maxDirectoryBlocks limits the blocks in the shards that one node holds.
const maxDirectoryBlocks = 1 << 20

// Peer is a live index node, with the roles that it reports as held and the reachability of
// engines from it. Recordings store it under the names in the tags.
type Peer struct {
	Name  string   `json:"Name"`
	Zone  string   `json:"Site"`
	Addr  string   `json:"Addr"`
	Roles []string `json:"Duties"` // keys of leases
	Reachability
}

// ListedEngine is an engine or the cache store as the platform lists it. Recordings store it
// under the names in the tags.
type ListedEngine struct {
	Name    string `json:"Name"`
	Addr    string `json:"Addr"`
	Zone    string `json:"Site"`
	Store   bool   `json:"Store"`   // the cache store: it stores blocks and runs no requests
	Leaving bool   `json:"Leaving"` // draining: it gets no new work
}

// serves reports whether the engine may get new work.
func (l *ListedEngine) serves() bool { return !l.Store && !l.Leaving }

// Node is the decision state of one index node. It is not safe for concurrent use.
type Node struct {
	name, zone      string
	incarnation     uint64
	plan            *plan.Compiled
	planConfirmedAt int64
	weightsHistory  []weightsChange // newest last
	peers           []Peer          // sorted by name, including this node
	listed          map[string]ListedEngine
	listedAt        int64                    // when the platform's list was last known to be current
	leases          map[string]*roleLease    // by key
	engines         map[string]*engine       // owned by this node
	contacts        map[string]*contact      // of engines that are polled, owned or not
	proxies         map[string]*proxyDemand  // that requested grants recently
	directory       *cacheindex.Directory    // of the shards that this node holds
	followers       map[string]*holdingsFeed // by follower: holdings of the engines that this node owns
	locationSource  map[uint64]string        // index node that announced a holder
	locations       map[uint64]HolderLocation
	holdingsCursors map[string]Cursor    // by peer: position in its holdings feed
	zones           map[string]*zoneFeed // gathered for the proxies of the zones that this node serves
	feedSeq         int                  // distinguishes the feeds of this incarnation
	Counters        Counters
}

// Counters count events since the process started, for metrics.
type Counters struct {
	Takeovers       uint64 // leases newly acquired
	Released        uint64 // leases released
	Resyncs         uint64 // full reads of an engine's holdings
	TransfersOK     uint64
	TransfersFailed uint64 // the engine recomputed transferred blocks
	UpdatesQueued   uint64 // for followers of holdings and of zones
	HoldingChanges  uint64 // of the engines that this node owns
	Prefetches      uint64
}

// New returns a node of the given name and zone. The incarnation must differ from that of any
// other process of this name.
func New(name, zone string, incarnation uint64) *Node {
	return &Node{
		name:            name,
		zone:            zone,
		incarnation:     incarnation,
		listed:          map[string]ListedEngine{},
		leases:          map[string]*roleLease{},
		engines:         map[string]*engine{},
		contacts:        map[string]*contact{},
		proxies:         map[string]*proxyDemand{},
		directory:       cacheindex.NewDirectory(incarnation, maxDirectoryBlocks),
		followers:       map[string]*holdingsFeed{},
		locationSource:  map[uint64]string{},
		locations:       map[uint64]HolderLocation{},
		holdingsCursors: map[string]Cursor{},
		zones:           map[string]*zoneFeed{},
	}
}

// ApplyPlan sets the plan, which was known to be in force at time confirmedAt. A plan older
// than the current one is ignored.
func (n *Node) ApplyPlan(p *plan.Compiled, confirmedAt int64) {
	if p == nil || n.plan != nil && p.Revision < n.plan.Revision {
		return
	}
	n.recordWeights(p.Weights, confirmedAt)
	n.plan, n.planConfirmedAt = p, max(n.planConfirmedAt, confirmedAt)
}

// CurrentPlan returns the newest plan known to this node, nil if there is none.
func (n *Node) CurrentPlan() *plan.Compiled { return n.plan }

// PlanRevision returns the revision of the newest plan known to this node, 0 if there is none.
func (n *Node) PlanRevision() uint64 {
	if n.plan == nil {
		return 0
	}
	return n.plan.Revision
}

// SetPeers sets the live index nodes, including this one.
func (n *Node) SetPeers(peers []Peer) {
	n.peers = slices.Clone(peers)
	slices.SortFunc(n.peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
}

// SetListing sets the platform's list of engines as of time at. The state of engines that are
// no longer listed is removed.
func (n *Node) SetListing(at int64, listing []ListedEngine) {
	if at < n.listedAt {
		return
	}
	n.listedAt = at
	n.listed = map[string]ListedEngine{}
	for _, listed := range listing {
		n.listed[listed.Name] = listed
	}
	for name, engine := range n.engines {
		listed, found := n.listed[name]
		if !found {
			n.removeAllHoldings(engine)
			delete(n.engines, name)
			continue
		}
		engine.ListedEngine = listed
	}
}

// ConfirmListing records that the last list was still current at time at.
func (n *Node) ConfirmListing(at int64) {
	if n.listedAt > 0 {
		n.listedAt = max(n.listedAt, at)
	}
}

// Directory returns the index of the shards that this node holds, for metrics.
func (n *Node) Directory() *cacheindex.Directory { return n.directory }
