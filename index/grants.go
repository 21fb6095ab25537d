package index

import (
	"slices"
	"strings"

	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/fairqueue"
	"violetthread/plan"
)

// Times of grants, in microseconds.
const (
	maxReportAge      = 1_500_000 // of an engine's report; no grants of an engine whose report is older
	proxyTimeout      = 1_500_000 // without a request for this long, a proxy's capacity goes to the others
	transferTimeout   = 60_000_000
	suspicionHalfLife = 1_000_000
)

const (
	// With each report, a proxy's smoothed demand decays to at least 7/8 of its last value;
	// below minDemand it counts as zero.
	demandDecay = 0.875
	minDemand   = 0.05
	// Only a quarter of an engine's capacity is granted while its suspicion is above
	// suspicionLimit. At minSuspicion or below, an engine counts as trusted.
	suspicionLimit = 3
	minSuspicion   = 0.01
)

// Transfer is a proxy's request to an engine to fetch blocks of a prompt from another node.
// Recordings store it and the other types of this file under the names in the tags.
type Transfer struct {
	AttemptID   string           `json:"Attempt"`
	Engine      string           `json:"Engine"`
	FromNode    uint64           `json:"Peer"`
	TotalBlocks int              `json:"Total"` // of the whole prompt
	Blocks      []cacheindex.Key `json:"Parts"`
}

// Outcomes counts the results of a proxy's attempts at an engine since the proxy's last
// request.
type Outcomes struct {
	Engine    string `json:"Engine"`
	Failures  int    `json:"Problems"`
	Successes int    `json:"Dones"`
}

// EngineGrant is the part of an engine's capacity that one proxy may use.
type EngineGrant struct {
	ListedEngine
	NodeID         uint64         `json:"ID"`    // of the engine's incarnation
	FencingToken   uint64         `json:"Epoch"` // of the owner's lease
	Capacity       int            `json:"Room"`  // concurrent runs of the proxy
	Weights        string         `json:"Weights"`
	QueueLength    int            `json:"Queue"`  // as the engine reported
	SlowUS         int64          `json:"SlowUS"` // as the engine reported
	Age            int64          `json:"Age"`    // microseconds since the grant was known to be valid
	TransferScores map[uint64]int `json:"Grades"` // of transfers from other nodes, in thousandths
}

// GrantRequest is a proxy's request for grants, with its demand and its reports on engines.
type GrantRequest struct {
	Proxy     string         `json:"Proxy"`
	Zone      string         `json:"Site"`
	Demand    map[string]int `json:"Want"` // requests waiting and running, by group
	Active    int            `json:"Active"`
	Transfers []Transfer     `json:"Imports"`
	Outcomes  []Outcomes     `json:"Seen"`
}

// proxyDemand is a proxy's smoothed demand.
type proxyDemand struct {
	zone       string
	byGroup    map[string]float64
	reportedAt int64
}

// smoothed returns a proxy's demand after smoothing: it rises at once and decays by up to an
// eighth with each report. Capacity that moves from one proxy to another is used twice until
// the former proxy's runs have ended, so short dips must not move it. Demand is capped at
// maxDemand, which is what the whole fleet can run: among proxies of an overloaded group, the
// longer queue must not get an ever larger share.
func (p *proxyDemand) smoothed(demand map[string]int, maxDemand int) map[string]float64 {
	byGroup := map[string]float64{}
	if p != nil {
		for group, earlier := range p.byGroup {
			if decayed := earlier * demandDecay; decayed > minDemand {
				byGroup[group] = decayed
			}
		}
	}
	for group, n := range demand {
		current := float64(min(n, maxDemand))
		byGroup[group] = max(current, byGroup[group]+current/8)
	}
	return byGroup
}

// capacitySplit has the parameters by which the capacity of every engine is split between
// proxies.
type capacitySplit struct {
	capacityLimit int // of one engine
	serving       int // number of engines that may get new work
	shares        map[string]float64
	demands       []fairqueue.Demand
}

// IssueGrants applies a proxy's demand and reports, and returns its grants of the engines
// that this node owns, sorted by name.
func (n *Node) IssueGrants(now int64, request GrantRequest) []EngineGrant {
	split := n.newCapacitySplit()
	n.updateDemand(now, request, split.capacityLimit*max(1, split.serving))
	n.applyTransfers(now, request.Transfers)
	n.applyOutcomes(now, request.Outcomes)
	split.demands = make([]fairqueue.Demand, 0, len(n.proxies))
	for name, proxy := range n.proxies {
		split.demands = append(split.demands, fairqueue.Demand{Proxy: name, ByGroup: proxy.byGroup})
	}
	var grants []EngineGrant
	for name, engine := range n.engines {
		token, owned := n.HoldsLease(now, EngineRole(name))
		if !owned || engine.reportedAt == 0 || now-engine.reportedAt > maxReportAge && !engine.Store {
			continue
		}
		engine.expireTransfers(now)
		grant := n.newGrant(now, engine, token)
		if !engine.Store && !engine.Leaving && !n.weightUpdateOverdue(now, engine) {
			grant.Capacity = n.splitCapacity(now, engine, split)[request.Proxy]
		}
		grants = append(grants, grant)
	}
	slices.SortFunc(grants, func(a, b EngineGrant) int { return strings.Compare(a.Name, b.Name) })
	return grants
}

// newCapacitySplit returns the parameters that the plan and the platform's list determine;
// demands are left empty.
func (n *Node) newCapacitySplit() capacitySplit {
	split := capacitySplit{capacityLimit: plan.Limits{}.WithDefaults().CapacityPerEngine, shares: map[string]float64{}}
	for _, listed := range n.listed {
		if listed.serves() {
			split.serving++
		}
	}
	if n.plan != nil {
		split.capacityLimit = n.plan.Limits.CapacityPerEngine
		for name, group := range n.plan.Groups {
			split.shares[name] = group.Share
		}
	}
	return split
}

// updateDemand updates a proxy's demand, and removes proxies whose last request is older
// than proxyTimeout.
func (n *Node) updateDemand(now int64, request GrantRequest, maxDemand int) {
	byGroup := n.proxies[request.Proxy].smoothed(request.Demand, maxDemand)
	n.proxies[request.Proxy] = &proxyDemand{zone: request.Zone, byGroup: byGroup, reportedAt: now}
	for name, proxy := range n.proxies {
		if now-proxy.reportedAt > proxyTimeout {
			delete(n.proxies, name)
		}
	}
}

// applyTransfers adds the blocks that proxies told engines to fetch to the engines' holdings,
// before the engines report them.
func (n *Node) applyTransfers(now int64, transfers []Transfer) {
	for _, transfer := range transfers {
		engine := n.engines[transfer.Engine]
		if engine == nil || !engine.holdingsComplete {
			continue
		}
		engine.pending[transfer.AttemptID] = pendingTransfer{Transfer: transfer, requestedAt: now}
		for _, block := range transfer.Blocks {
			n.addHolding(engine, block)
		}
	}
}

// applyOutcomes updates the engines' suspicion from the results of a proxy's attempts.
func (n *Node) applyOutcomes(now int64, outcomes []Outcomes) {
	for _, outcome := range outcomes {
		engine := n.engines[outcome.Engine]
		if engine == nil {
			continue
		}
		engine.decaySuspicion(now)
		engine.suspicion += float64(outcome.Failures)
		if outcome.Successes > 0 {
			engine.suspicion /= 2
		}
	}
}

// newGrant returns a grant of an engine with no capacity.
func (n *Node) newGrant(now int64, engine *engine, token uint64) EngineGrant {
	grant := EngineGrant{
		ListedEngine:   engine.ListedEngine,
		NodeID:         engine.nodeID,
		FencingToken:   token,
		Weights:        engine.weights,
		QueueLength:    engine.queueLength,
		SlowUS:         engine.slowUS,
		Age:            n.grantAge(now, engine.Name),
		TransferScores: map[uint64]int{},
	}
	for _, peer := range engine.transferScores.Peers() {
		grant.TransferScores[peer] = engine.transferScores.Score(now, peer)
	}
	return grant
}

// splitCapacity splits an engine's capacity between the proxies. If there are more proxies
// than capacity, the proxies that get any rotate every LeaseDuration, with an offset that
// differs between engines.
func (n *Node) splitCapacity(now int64, engine *engine, split capacitySplit) map[string]int {
	capacity := engine.capacity
	if n.plan != nil {
		capacity = min(capacity, split.capacityLimit)
	}
	engine.decaySuspicion(now)
	if engine.suspicion > suspicionLimit {
		capacity = max(1, capacity/4) // slow start for a failing engine; never zero, so that it can show that it has recovered
	}
	round := int(now/LeaseDuration) + int(rendezvousScore(engine.Name, "")%97)
	return fairqueue.Split(capacity, split.shares, split.serving, split.demands, round)
}

// grantAge returns the age that a grant has when it is issued: at least the age of the
// platform's list, and enough for the grant to expire at every proxy by the end of this
// owner's lease.
func (n *Node) grantAge(now int64, engine string) int64 {
	leaseLeft := n.leases[EngineRole(engine)].expiresAt - now
	return max(0, now-n.listedAt, dispatch.MaxGrantAge-leaseLeft)
}

// expireTransfers drops the pending transfers whose run was not reported within
// transferTimeout.
func (e *engine) expireTransfers(now int64) {
	for id, transfer := range e.pending {
		if now-transfer.requestedAt > transferTimeout {
			delete(e.pending, id)
		}
	}
}

// decaySuspicion halves the suspicion of an engine every suspicionHalfLife, so that a single
// bad report does not reduce its grants for long.
func (e *engine) decaySuspicion(now int64) {
	for ; now-e.suspicionAt >= suspicionHalfLife && e.suspicion > minSuspicion; e.suspicionAt += suspicionHalfLife {
		e.suspicion /= 2
	}
	if e.suspicion <= minSuspicion {
		e.suspicionAt = now
	}
}
