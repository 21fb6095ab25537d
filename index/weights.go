package index

import (
	"cmp"
	"slices"
	"sort"
	"strings"
)

// naming is a name of weights, and since when it is known to be in force.
type weightsNaming struct {
	name  string
	since int64
}

// Turn tells an engine to change to other weights.
type WeightUpdate struct {
	Engine       string `json:"Engine"`
	Addr         string `json:"Addr"`
	Weights      string `json:"Weights"`
	FencingToken uint64 `json:"Epoch"`
}

// late is for how long an engine has run weights that are not the newest: since the
// first naming that neither it nor any later one matches. So a storm of namings
// excuses nobody (design §10).
func (k *Node) outdatedFor(now int64, e *engine) (us int64, is bool) {
	for i := len(k.weightsHistory) - 1; i >= 0; i-- {
		if k.weightsHistory[i].name != e.weights {
			us, is = now-k.weightsHistory[i].since, true
			continue
		}
		break
	}
	return us, is
}

// wave is when after a naming an engine is to be told, as every index node works
// it out alike from the platform's list: so many in a wave, taken from all sites by
// turns, whoever owns them, and the last wave in time for the bound.
func (k *Node) waveDelay(name string) int64 {
	per := 50
	if k.plan != nil {
		per = k.plan.Limits.WavePercent
	}
	waves := (100 + per - 1) / per
	if waves < 2 {
		return 0
	}
	type at struct {
		turn int
		rank uint64
		name string
	}
	sites := map[string][]at{}
	for n, l := range k.listed {
		if !l.Store && !l.Leaving {
			sites[l.Zone] = append(sites[l.Zone], at{0, rendezvousScore("wave", n), n})
		}
	}
	var all []at
	for _, l := range sites {
		slices.SortFunc(l, func(a, b at) int { return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.name, b.name)) })
		for i, x := range l {
			all = append(all, at{i, x.rank, x.name})
		}
	}
	slices.SortFunc(all, func(a, b at) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.rank, b.rank), strings.Compare(a.name, b.name))
	})
	for i, x := range all {
		if x.name == name {
			return int64(i*waves/len(all)) * waveSpan / int64(waves-1)
		}
	}
	return 0 // leaving: it serves nobody
}

// Turns lists the engines to change now, in waves over the whole fleet, so that
// the others keep serving (design §10). An engine is told until it has turned.
func (k *Node) WeightUpdates(now int64) []WeightUpdate {
	if k.plan == nil || now-k.planConfirmedAt > maxRolloutPlanAge {
		return nil
	}
	var ts []WeightUpdate
	for n, e := range k.engines {
		ep, ok := k.HoldsLease(now, EngineRole(n))
		if !ok || e.Store || e.reportedAt == 0 || e.updateSentAt > 0 && now-e.updateSentAt < weightUpdateRetry {
			continue
		}
		if us, late := k.outdatedFor(now, e); late && us >= k.waveDelay(n) {
			e.updateSentAt = now
			ts = append(ts, WeightUpdate{n, e.Addr, k.plan.Weights, ep})
		}
	}
	sort.Slice(ts, func(i, j int) bool { return ts[i].Engine < ts[j].Engine })
	return ts
}

// stuck reports whether an engine was to change weights and did not within the
// bound: it gets nothing more until it has.
func (k *Node) weightUpdateOverdue(now int64, e *engine) bool {
	us, late := k.outdatedFor(now, e)
	return late && us > weightUpdateLimit
}
