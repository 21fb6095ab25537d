package index

import (
	"slices"
	"strings"

	"violetthread/cacheindex"
	"violetthread/plan"
)

// Shards is how many shards the prefix-cache index has.
const Shards = 16

// maxDirectoryBlocks bounds the blocks of the shards that one node holds.
const maxDirectoryBlocks = 1 << 20

// Peer is a live index node, with the roles that it says it holds and the engines that it
// reaches. Recordings contain it under the names in the tags.
type Peer struct {
	Name  string   `json:"Name"`
	Zone  string   `json:"Site"`
	Addr  string   `json:"Addr"`
	Roles []string `json:"Duties"` // keys of leases
	Reachability
}

// ListedEngine is an engine or the store as the platform lists it. Recordings contain it
// under the names in the tags.
type ListedEngine struct {
	Name    string `json:"Name"`
	Addr    string `json:"Addr"`
	Zone    string `json:"Site"`
	Store   bool   `json:"Store"`   // it keeps blocks and runs nothing
	Leaving bool   `json:"Leaving"` // it gets no new work
}

// serves reports whether the engine may get new work.
func (l *ListedEngine) serves() bool { return !l.Store && !l.Leaving }

// Node decides for one index node. It is not safe for concurrent use.
type Node struct {
	name, zone      string
	incarnation     uint64
	plan            *plan.Compiled
	planConfirmedAt int64
	weightsHistory  []weightsNaming // newest last
	peers           []Peer          // by name, this node among them
	listed          map[string]ListedEngine
	listedAt        int64                    // when the platform's list was known to be good
	leases          map[string]*roleLease    // by key
	engines         map[string]*engine       // owned here
	contacts        map[string]*contact      // engines that are polled, owned or not
	proxies         map[string]*proxyDemand  // that asked for grants of late
	directory       *cacheindex.Directory    // of the shards held here
	followers       map[string]*holdingsFeed // of what the engines owned here have cached, by follower
	locationSource  map[uint64]string        // index node that told of a holder
	locations       map[uint64]HolderLocation
	holdingsCursors map[string]Cursor    // how far the other nodes' feeds were read
	zones           map[string]*zoneFeed // for whose proxies this node follows the shards
	feedSeq         int                  // tells the feeds of this incarnation apart
	Counters        Counters
}

// Counters count since the start, for metrics.
type Counters struct {
	Takeovers       uint64 // leases newly won
	Released        uint64 // leases given back
	Resyncs         uint64 // times that all holdings of an engine were read
	TransfersOK     uint64
	TransfersFailed uint64 // learnt to have been recomputed
	UpdatesQueued   uint64 // for followers of holdings and of zones
	HoldingChanges  uint64 // of engines owned here
	Prefetches      uint64
}

// New makes the node of that name, in a zone, with an incarnation that no other process of
// that name has.
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

// ApplyPlan takes in a plan that was known to be in force at time confirmedAt. It never
// goes back to an older one.
func (n *Node) ApplyPlan(p *plan.Compiled, confirmedAt int64) {
	if p == nil || n.plan != nil && p.Revision < n.plan.Revision {
		return
	}
	n.recordWeights(p.Weights, confirmedAt)
	n.plan, n.planConfirmedAt = p, max(n.planConfirmedAt, confirmedAt)
}

// CurrentPlan is the newest plan known here, nil for none.
func (n *Node) CurrentPlan() *plan.Compiled { return n.plan }

// PlanRevision is the revision of the newest plan known here, 0 for none.
func (n *Node) PlanRevision() uint64 {
	if n.plan == nil {
		return 0
	}
	return n.plan.Revision
}

// SetPeers takes in the live index nodes, this one among them.
func (n *Node) SetPeers(peers []Peer) {
	n.peers = slices.Clone(peers)
	slices.SortFunc(n.peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
}

// SetListing takes in the platform's list of engines as of time at. Engines that are not on
// it any more are forgotten.
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
		listed, there := n.listed[name]
		if !there {
			n.removeAllHoldings(engine)
			delete(n.engines, name)
			continue
		}
		engine.ListedEngine = listed
	}
}

// ConfirmListing says that the last list stood as of time at.
func (n *Node) ConfirmListing(at int64) {
	if n.listedAt > 0 {
		n.listedAt = max(n.listedAt, at)
	}
}

// Directory is the index of the shards held here, for metrics.
func (n *Node) Directory() *cacheindex.Directory { return n.directory }
