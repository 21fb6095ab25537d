package index

import (
	"sort"

	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/fairqueue"
	"violetthread/plan"
)

// Import is an import that a proxy ordered.
type Transfer struct {
	AttemptID   string           `json:"Attempt"`
	Engine      string           `json:"Engine"`
	FromNode    uint64           `json:"Peer"`
	TotalBlocks int              `json:"Total"`
	Blocks      []cacheindex.Key `json:"Parts"`
}

// Seen is how a proxy's attempts at an engine went.
type Outcomes struct {
	Engine    string `json:"Engine"`
	Failures  int    `json:"Problems"`
	Successes int    `json:"Dones"`
}

// Order is what one proxy may send one engine.
type EngineGrant struct {
	ListedEngine
	NodeID         uint64         `json:"ID"`
	FencingToken   uint64         `json:"Epoch"`
	Capacity       int            `json:"Room"`
	Weights        string         `json:"Weights"`
	QueueLength    int            `json:"Queue"`
	SlowUS         int64          `json:"SlowUS"`
	Age            int64          `json:"Age"`
	TransferScores map[uint64]int `json:"Grades"`
}

type proxyDemand struct {
	zone       string
	byGroup    map[string]float64
	reportedAt int64
}

// lately is a proxy's demand without its flicker: it rises at once and falls by
// an eighth of the way with each report, since room that is taken away from one
// proxy and given to another is used twice until the former's runs have ended.
// More than the whole fleet could run counts for nothing: among proxies of a group
// with too much the longer line must not get more and more.
func (p *proxyDemand) smoothed(now map[string]int, most int) map[string]float64 {
	out := map[string]float64{}
	if p != nil {
		for g, x := range p.byGroup {
			if x *= 0.875; x > 0.05 {
				out[g] = x
			}
		}
	}
	for g, n := range now {
		x := float64(min(n, most))
		out[g] = max(x, out[g]+x/8)
	}
	return out
}

// Ask is what a proxy tells when it asks for its orders.
type GrantRequest struct {
	Proxy     string         `json:"Proxy"`
	Zone      string         `json:"Site"`
	Demand    map[string]int `json:"Want"` // waiting and running, by group
	Active    int            `json:"Active"`
	Transfers []Transfer     `json:"Imports"`
	Outcomes  []Outcomes     `json:"Seen"`
}

// Orders takes in a proxy's demand and answers with its standing orders.
func (k *Node) IssueGrants(now int64, a GrantRequest) []EngineGrant {
	serving, most := 0, plan.Limits{}.WithDefaults().CapacityPerEngine
	for _, l := range k.listed {
		if !l.Store && !l.Leaving {
			serving++
		}
	}
	share := map[string]float64{}
	if k.plan != nil {
		most = k.plan.Limits.CapacityPerEngine
		for g, x := range k.plan.Groups {
			share[g] = x.Share
		}
	}
	k.proxies[a.Proxy] = &proxyDemand{a.Zone, k.proxies[a.Proxy].smoothed(a.Demand, most*max(1, serving)), now}
	for n, p := range k.proxies {
		if now-p.reportedAt > proxyTimeout {
			delete(k.proxies, n) // a dead proxy's room goes back to the others
		}
	}
	for _, i := range a.Transfers {
		if e := k.engines[i.Engine]; e != nil && e.holdingsComplete {
			e.pending[i.AttemptID] = pendingTransfer{i, now}
			for _, p := range i.Blocks {
				k.addHolding(e, p)
			}
		}
	}
	for _, s := range a.Outcomes {
		if e := k.engines[s.Engine]; e != nil {
			k.decaySuspicion(now, e)
			e.suspicion += float64(s.Failures)
			if s.Successes > 0 {
				e.suspicion /= 2
			}
		}
	}
	ds := make([]fairqueue.Demand, 0, len(k.proxies))
	for n, p := range k.proxies {
		ds = append(ds, fairqueue.Demand{Proxy: n, ByGroup: p.byGroup})
	}
	var os []EngineGrant
	for n, e := range k.engines {
		ep, ok := k.HoldsLease(now, EngineRole(n))
		if !ok || e.reportedAt == 0 || now-e.reportedAt > maxReportAge && !e.Store {
			continue
		}
		for a, p := range e.pending {
			if now-p.orderedAt > transferTimeout {
				delete(e.pending, a)
			}
		}
		o := EngineGrant{ListedEngine: e.ListedEngine, NodeID: e.nodeID, FencingToken: ep, Weights: e.weights, QueueLength: e.queueLength, SlowUS: e.slowUS,
			Age: k.grantAge(now, n), TransferScores: map[uint64]int{}}
		for _, p := range e.transferScores.Peers() {
			o.TransferScores[p] = e.transferScores.Score(now, p)
		}
		if !e.Store && !e.Leaving && !k.weightUpdateOverdue(now, e) {
			room := e.capacity
			if k.plan != nil {
				room = min(room, k.plan.Limits.CapacityPerEngine)
			}
			k.decaySuspicion(now, e)
			if e.suspicion > 3 {
				room = max(1, room/4) // slow start for one that fails, never none
			}
			o.Capacity = fairqueue.Split(room, share, serving, ds, int(now/LeaseDuration)+int(rendezvousScore(n, "")%97))[a.Proxy]
		}
		os = append(os, o)
	}
	sort.Slice(os, func(i, j int) bool { return os[i].Name < os[j].Name })
	return os
}

// orderAge is how old an order is when it leaves here: as old as the platform's
// list, and old enough that no proxy still uses it once this owner's lease ends.
func (k *Node) grantAge(now int64, engine string) int64 {
	left := k.leases[EngineRole(engine)].expiresAt - now
	return max(0, now-k.listedAt, dispatch.MaxGrantAge-left)
}

// fade halves the suspicion of an engine every second, so that one bad report
// can't keep it out.
func (k *Node) decaySuspicion(now int64, e *engine) {
	for ; now-e.suspicionAt >= 1_000_000 && e.suspicion > 0.01; e.suspicionAt += 1_000_000 {
		e.suspicion /= 2
	}
	if e.suspicion <= 0.01 {
		e.suspicionAt = now
	}
}
