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
	maxReportAge    = 1_500_000 // of an engine's report: past this nothing is granted
	proxyTimeout    = 1_500_000 // after which a silent proxy's capacity goes to the others
	transferTimeout = 60_000_000
	suspicionHalf   = 1_000_000 // half-life of the suspicion of an engine
)

const (
	// A proxy's demand falls by an eighth with each report; less than minDemand is none.
	demandDecay = 0.875
	minDemand   = 0.05
	// An engine with more failures of late than suspicionLimit gets a quarter of its
	// capacity, and one with less than minSuspicion is trusted.
	suspicionLimit = 3
	minSuspicion   = 0.01
)

// Transfer is an order of a proxy to an engine to fetch blocks of a prompt from a node.
// Recordings contain it under the names in the tags, as they do the other types here.
type Transfer struct {
	AttemptID   string           `json:"Attempt"`
	Engine      string           `json:"Engine"`
	FromNode    uint64           `json:"Peer"`
	TotalBlocks int              `json:"Total"` // of the whole prompt
	Blocks      []cacheindex.Key `json:"Parts"`
}

// Outcomes is how a proxy's attempts at an engine went since its last request.
type Outcomes struct {
	Engine    string `json:"Engine"`
	Failures  int    `json:"Problems"`
	Successes int    `json:"Dones"`
}

// EngineGrant is what one proxy may send one engine.
type EngineGrant struct {
	ListedEngine
	NodeID         uint64         `json:"ID"`    // of the engine's incarnation
	FencingToken   uint64         `json:"Epoch"` // of the owner's lease
	Capacity       int            `json:"Room"`  // runs of the proxy at a time
	Weights        string         `json:"Weights"`
	QueueLength    int            `json:"Queue"`  // as the engine reported
	SlowUS         int64          `json:"SlowUS"` // as the engine reported
	Age            int64          `json:"Age"`    // microseconds since it was known to be good
	TransferScores map[uint64]int `json:"Grades"` // of transfers from other nodes, in thousandths
}

// GrantRequest is what a proxy tells when it asks for its grants.
type GrantRequest struct {
	Proxy     string         `json:"Proxy"`
	Zone      string         `json:"Site"`
	Demand    map[string]int `json:"Want"` // requests waiting and running, by group
	Active    int            `json:"Active"`
	Transfers []Transfer     `json:"Imports"`
	Outcomes  []Outcomes     `json:"Seen"`
}

// proxyDemand is a proxy's demand of late.
type proxyDemand struct {
	zone       string
	byGroup    map[string]float64
	reportedAt int64
}

// smoothed is a proxy's demand without its flicker: it rises at once and falls by an eighth
// with each report, since capacity that is taken away from one proxy and given to another
// is used twice until the former's runs have ended. More than maxDemand, which the whole
// fleet could run, counts for nothing: among proxies of a group with too much, the longer
// queue must not get more and more.
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

// division is what the capacity of every engine is divided by.
type division struct {
	capacityLimit int // of one engine
	serving       int // engines that get work
	shares        map[string]float64
	demands       []fairqueue.Demand
}

// IssueGrants takes in a proxy's demand and what it learnt, and answers with its grants of
// the engines owned here, by name.
func (n *Node) IssueGrants(now int64, request GrantRequest) []EngineGrant {
	div := n.divisionByPlan()
	n.updateDemand(now, request, div.capacityLimit*max(1, div.serving))
	n.applyTransfers(now, request.Transfers)
	n.applyOutcomes(now, request.Outcomes)
	div.demands = make([]fairqueue.Demand, 0, len(n.proxies))
	for name, proxy := range n.proxies {
		div.demands = append(div.demands, fairqueue.Demand{Proxy: name, ByGroup: proxy.byGroup})
	}
	var grants []EngineGrant
	for name, engine := range n.engines {
		token, owned := n.HoldsLease(now, EngineRole(name))
		if !owned || engine.reportedAt == 0 || now-engine.reportedAt > maxReportAge && !engine.Store {
			continue
		}
		engine.expireTransfers(now)
		grant := n.grant(now, engine, token)
		if !engine.Store && !engine.Leaving && !n.weightUpdateOverdue(now, engine) {
			grant.Capacity = n.divide(now, engine, div)[request.Proxy]
		}
		grants = append(grants, grant)
	}
	slices.SortFunc(grants, func(a, b EngineGrant) int { return strings.Compare(a.Name, b.Name) })
	return grants
}

// divisionByPlan is what the plan and the platform's list say of the division.
func (n *Node) divisionByPlan() division {
	div := division{capacityLimit: plan.Limits{}.WithDefaults().CapacityPerEngine, shares: map[string]float64{}}
	for _, listed := range n.listed {
		if listed.serves() {
			div.serving++
		}
	}
	if n.plan != nil {
		div.capacityLimit = n.plan.Limits.CapacityPerEngine
		for name, group := range n.plan.Groups {
			div.shares[name] = group.Share
		}
	}
	return div
}

// updateDemand takes in a proxy's demand, and forgets proxies that are silent.
func (n *Node) updateDemand(now int64, request GrantRequest, maxDemand int) {
	byGroup := n.proxies[request.Proxy].smoothed(request.Demand, maxDemand)
	n.proxies[request.Proxy] = &proxyDemand{zone: request.Zone, byGroup: byGroup, reportedAt: now}
	for name, proxy := range n.proxies {
		if now-proxy.reportedAt > proxyTimeout {
			delete(n.proxies, name)
		}
	}
}

// applyTransfers expects the ordered blocks at their engines, ahead of the engines' reports.
func (n *Node) applyTransfers(now int64, transfers []Transfer) {
	for _, transfer := range transfers {
		engine := n.engines[transfer.Engine]
		if engine == nil || !engine.holdingsComplete {
			continue
		}
		engine.pending[transfer.AttemptID] = pendingTransfer{Transfer: transfer, orderedAt: now}
		for _, block := range transfer.Blocks {
			n.addHolding(engine, block)
		}
	}
}

// applyOutcomes takes in how a proxy's attempts went.
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

// grant is a grant without any capacity.
func (n *Node) grant(now int64, engine *engine, token uint64) EngineGrant {
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

// divide splits an engine's capacity between the proxies. Where there are more proxies than
// capacity, they take turns with each LeaseDuration, at another offset for each engine.
func (n *Node) divide(now int64, engine *engine, div division) map[string]int {
	capacity := engine.capacity
	if n.plan != nil {
		capacity = min(capacity, div.capacityLimit)
	}
	engine.decaySuspicion(now)
	if engine.suspicion > suspicionLimit {
		capacity = max(1, capacity/4) // slow start for one that fails, never none
	}
	round := int(now/LeaseDuration) + int(rendezvousScore(engine.Name, "")%97)
	return fairqueue.Split(capacity, div.shares, div.serving, div.demands, round)
}

// grantAge is how old a grant is when it leaves here: as old as the platform's list, and
// old enough that no proxy still uses it once this owner's lease ends.
func (n *Node) grantAge(now int64, engine string) int64 {
	leaseLeft := n.leases[EngineRole(engine)].expiresAt - now
	return max(0, now-n.listedAt, dispatch.MaxGrantAge-leaseLeft)
}

// expireTransfers forgets the transfers whose run was never reported.
func (e *engine) expireTransfers(now int64) {
	for id, transfer := range e.pending {
		if now-transfer.orderedAt > transferTimeout {
			delete(e.pending, id)
		}
	}
}

// decaySuspicion halves the suspicion of an engine every second, so that one bad report
// can't keep it out.
func (e *engine) decaySuspicion(now int64) {
	for ; now-e.suspicionAt >= suspicionHalf && e.suspicion > minSuspicion; e.suspicionAt += suspicionHalf {
		e.suspicion /= 2
	}
	if e.suspicion <= minSuspicion {
		e.suspicionAt = now
	}
}
