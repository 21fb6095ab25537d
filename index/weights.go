package index

import (
	"cmp"
	"slices"
	"strings"
)

// Times of weight updates, in microseconds (docs/bounds.md).
const (
	maxRolloutPlanAge = 3_000_000  // of the plan: past this no engine is told to change
	weightUpdateLimit = 13_000_000 // an engine that still runs other weights gets no work
	weightUpdateRetry = 1_000_000  // before an engine is told again
	waveSpan          = 9_000_000  // from a naming until the last wave is told
	unknownSince      = 1 << 50    // before this node knew the plan
)

const (
	defaultWavePercent = 50
	maxWeightsHistory  = 16
)

// weightsNaming is a name of weights, and since when it is known to be in force.
type weightsNaming struct {
	name  string
	since int64
}

// WeightUpdate tells an engine to change to other weights. Recordings contain it under the
// names in the tags.
type WeightUpdate struct {
	Engine       string `json:"Engine"`
	Addr         string `json:"Addr"`
	Weights      string `json:"Weights"`
	FencingToken uint64 `json:"Epoch"`
}

// recordWeights takes in the weights that the plan names, and since when. Nobody told this
// node since when its first plan was in force: engines with other weights are as late as
// can be, and get nothing until they have changed.
func (n *Node) recordWeights(name string, since int64) {
	if n.plan == nil {
		n.weightsHistory = []weightsNaming{{name, since - unknownSince}}
		return
	}
	if name == n.plan.Weights {
		return
	}
	n.weightsHistory = append(n.weightsHistory, weightsNaming{name, since})
	if len(n.weightsHistory) > maxWeightsHistory {
		n.weightsHistory = n.weightsHistory[1:]
	}
}

// outdatedFor is for how long an engine has run weights that are not the newest: since the
// first naming that neither it nor any later one matches. So a storm of namings excuses
// nobody (docs/design.md §10).
func (n *Node) outdatedFor(now int64, engine *engine) (us int64, outdated bool) {
	for _, naming := range slices.Backward(n.weightsHistory) {
		if naming.name == engine.weights {
			break
		}
		us, outdated = now-naming.since, true
	}
	return us, outdated
}

// waveRank is the place of an engine in the order of the waves.
type waveRank struct {
	turn  int // within its zone
	score uint64
	name  string
}

// waveDelay is how long after a naming an engine is to be told, as every index node works
// it out alike from the platform's list: so many in a wave, taken from all zones in turn,
// whoever owns them, and the last wave in time for the bound.
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
		return 0 // leaving: it serves nobody
	}
	return int64(at*waves/len(order)) * waveSpan / int64(waves-1)
}

// waveOrder ranks all engines that serve: the first of each zone, then the second of each,
// and so on.
func (n *Node) waveOrder() []waveRank {
	byZone := map[string][]waveRank{}
	for name, listed := range n.listed {
		if listed.serves() {
			byZone[listed.Zone] = append(byZone[listed.Zone], waveRank{score: rendezvousScore("wave", name), name: name})
		}
	}
	compare := func(a, b waveRank) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.score, b.score), strings.Compare(a.name, b.name))
	}
	var order []waveRank
	for _, ranks := range byZone {
		slices.SortFunc(ranks, compare)
		for turn, rank := range ranks {
			rank.turn = turn
			order = append(order, rank)
		}
	}
	slices.SortFunc(order, compare)
	return order
}

// WeightUpdates lists the engines to change now, by name, in waves over the whole fleet, so
// that the others keep serving (docs/design.md §10). An engine is told until it has changed.
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

// weightUpdateOverdue reports whether an engine was to change weights and did not within
// the bound: it gets nothing more until it has.
func (n *Node) weightUpdateOverdue(now int64, engine *engine) bool {
	us, outdated := n.outdatedFor(now, engine)
	return outdated && us > weightUpdateLimit
}
