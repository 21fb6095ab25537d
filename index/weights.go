package index

import (
	"cmp"
	"slices"
	"strings"
)

// Times of weight updates, in microseconds (docs/bounds.md).
const (
	maxRolloutPlanAge = 3_000_000  // with a plan older than this, no weight updates are sent
	weightUpdateLimit = 13_000_000 // an engine outdated for longer than this gets no work
	weightUpdateRetry = 1_000_000  // interval at which an update is repeated
	waveSpan          = 9_000_000  // from a change of weights until the last wave starts
	unknownAge        = 1 << 50    // assumed age of the weights in the first plan that this node gets
)

const (
	defaultWavePercent = 50
	maxWeightsHistory  = 16
)

// weightsChange is a change of the plan's weights: their new name, and since when they are
// known to be in force.
type weightsChange struct {
	weights string
	since   int64
}

// WeightUpdate is a request to an engine to load other weights. Recordings store it under the
// names in the tags.
type WeightUpdate struct {
	Engine       string `json:"Engine"`
	Addr         string `json:"Addr"`
	Weights      string `json:"Weights"`
	FencingToken uint64 `json:"Epoch"`
}

// recordWeights records the weights that the plan names, and since when. This node can't know
// since when the weights of its first plan have been in force, so engines with other weights
// count as overdue and get no work until they have changed.
func (n *Node) recordWeights(name string, since int64) {
	if n.plan == nil {
		n.weightsHistory = []weightsChange{{name, since - unknownAge}}
		return
	}
	if name == n.plan.Weights {
		return
	}
	n.weightsHistory = append(n.weightsHistory, weightsChange{name, since})
	if len(n.weightsHistory) > maxWeightsHistory {
		n.weightsHistory = n.weightsHistory[1:]
	}
}

// outdatedFor returns for how long an engine has run weights that are not the newest. The time
// counts from the first change after the last one to the engine's own weights, or from the
// oldest recorded change if none named them, so that frequent further changes don't extend
// the time limit (docs/design.md §10).
func (n *Node) outdatedFor(now int64, engine *engine) (us int64, outdated bool) {
	for _, change := range slices.Backward(n.weightsHistory) {
		if change.weights == engine.weights {
			break
		}
		us, outdated = now-change.since, true
	}
	return us, outdated
}

// waveRank is the position of an engine in the order of the waves.
type waveRank struct {
	rankInZone int
	score      uint64
	name       string
}

// waveDelay returns how long after a change of weights an engine is to be updated. Every index
// node computes the same from the platform's list. A wave takes the plan's percentage of the
// engines, from all zones in turn and regardless of their owners, and the last wave starts
// early enough to meet the limit.
func (n *Node) waveDelay(name string) int64 {
	percent := defaultWavePercent
	if n.plan != nil {
		percent = n.plan.Limits.WavePercent
	}
	waves := (100 + percent - 1) / percent
	if waves < 2 {
		return 0
	}
	order := n.waveOrder()
	at := slices.IndexFunc(order, func(rank waveRank) bool { return rank.name == name })
	if at < 0 {
		return 0 // draining or no longer listed: it gets no new work
	}
	return int64(at*waves/len(order)) * waveSpan / int64(waves-1)
}

// waveOrder ranks all engines that may get new work: the first of each zone, then the second
// of each, and so on.
func (n *Node) waveOrder() []waveRank {
	byZone := map[string][]waveRank{}
	for name, listed := range n.listed {
		if listed.serves() {
			byZone[listed.Zone] = append(byZone[listed.Zone], waveRank{score: rendezvousScore("wave", name), name: name})
		}
	}
	compare := func(a, b waveRank) int {
		return cmp.Or(cmp.Compare(a.rankInZone, b.rankInZone), cmp.Compare(a.score, b.score), strings.Compare(a.name, b.name))
	}
	var order []waveRank
	for _, ranks := range byZone {
		slices.SortFunc(ranks, compare)
		for i, rank := range ranks {
			rank.rankInZone = i
			order = append(order, rank)
		}
	}
	slices.SortFunc(order, compare)
	return order
}

// WeightUpdates lists the engines to update now, sorted by name. Updates go in waves over the
// whole fleet, so that the other engines keep serving (docs/design.md §10). They are repeated
// until the engine reports the new weights.
func (n *Node) WeightUpdates(now int64) []WeightUpdate {
	if n.plan == nil || now-n.planConfirmedAt > maxRolloutPlanAge {
		return nil
	}
	var updates []WeightUpdate
	for name, engine := range n.engines {
		token, owned := n.HoldsLease(now, EngineRole(name))
		updateSentLately := engine.updateSentAt > 0 && now-engine.updateSentAt < weightUpdateRetry
		if !owned || engine.Store || engine.reportedAt == 0 || updateSentLately {
			continue
		}
		if us, outdated := n.outdatedFor(now, engine); outdated && us >= n.waveDelay(name) {
			engine.updateSentAt = now
			updates = append(updates, WeightUpdate{Engine: name, Addr: engine.Addr, Weights: n.plan.Weights, FencingToken: token})
		}
	}
	slices.SortFunc(updates, func(a, b WeightUpdate) int { return strings.Compare(a.Engine, b.Engine) })
	return updates
}

// weightUpdateOverdue reports whether an engine has not changed weights within the limit. It
// gets no more work until it has.
func (n *Node) weightUpdateOverdue(now int64, engine *engine) bool {
	us, outdated := n.outdatedFor(now, engine)
	return outdated && us > weightUpdateLimit
}
