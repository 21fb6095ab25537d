package index

import (
	"fmt"
	"slices"
	"sort"

	"violetthread/cacheindex"
)

// Event is one thing an engine told.
type Event struct {
	Seq             uint64         `json:"Seq"`
	Added           bool           `json:"Keep"`
	Removed         bool           `json:"Drop"`
	FinishedAttempt string         `json:"Ran"`
	RecomputedBytes uint64         `json:"Filled"`
	Block           cacheindex.Key `json:"Part"`
	HasBlock        bool           `json:"HasPart"`
}

// Report is what an engine told of itself.
type Report struct {
	Incarnation uint64  `json:"Inc"`
	Weights     string  `json:"Weights"`
	Running     int     `json:"Running"`
	QueueLength int     `json:"Queue"`
	Capacity    int     `json:"Room"`
	SlowUS      int64   `json:"SlowUS"`
	LastSeq     uint64  `json:"Last"`
	Events      []Event `json:"Events"`
}

type engine struct {
	ListedEngine
	incarnation, nodeID uint64
	seq                 uint64
	holdingsComplete    bool // keeps are complete up to seq
	holdings            map[cacheindex.Key]bool
	weights             string
	capacity            int
	running             int
	queueLength         int
	slowUS              int64
	reportedAt          int64 // of the newest report
	updateSentAt        int64 // when it was last told to change weights
	transferScores      *cacheindex.TransferScores
	pending             map[string]pendingTransfer
	suspicion           float64 // problems seen by proxies, fading
	suspicionAt         int64
}

type pendingTransfer struct {
	Transfer
	orderedAt int64
}

// Poll says where to ask an engine for its report, and from which event on.
type Poll struct {
	Engine        string `json:"Engine"`
	Addr          string `json:"Addr"`
	FencingToken  uint64 `json:"Epoch"`
	Incarnation   uint64 `json:"Inc"`
	AfterSeq      uint64 `json:"After"`
	NeedsHoldings bool   `json:"Whole"` // its keeps must be read whole first
}

// Polls lists the engines to ask now: those owned here, and those of others that are
// only asked for a sign of life (Epoch 0).
func (k *Node) Polls(now int64) []Poll {
	var ps []Poll
	probes := k.probeTargets(now)
	for n, l := range k.listed {
		ep, ok := k.HoldsLease(now, EngineRole(n))
		if !ok {
			if probes[n] {
				ps = append(ps, Poll{Engine: n, Addr: l.Addr})
			}
			continue
		}
		e := k.engines[n]
		if e == nil {
			e = &engine{ListedEngine: l, holdings: map[cacheindex.Key]bool{}, transferScores: cacheindex.NewTransferScores(), pending: map[string]pendingTransfer{}}
			k.engines[n] = e
		}
		ps = append(ps, Poll{n, l.Addr, ep, e.incarnation, e.seq, !e.holdingsComplete})
	}
	sort.Slice(ps, func(i, j int) bool { return ps[i].Engine < ps[j].Engine })
	k.trackContacts(now, ps)
	return ps
}

// Whole takes in all that an engine keeps, as of its event seq.
func (k *Node) ResetHoldings(now int64, name string, inc, seq uint64, parts []cacheindex.Key) {
	e := k.engines[name]
	if _, ok := k.HoldsLease(now, EngineRole(name)); e == nil || !ok {
		return
	}
	k.Counters.Resyncs++
	k.setIncarnation(e, inc)
	now2 := map[cacheindex.Key]bool{}
	for _, p := range parts {
		now2[p] = true
		k.addHolding(e, p)
	}
	for p := range e.holdings {
		if !now2[p] {
			k.removeHolding(e, p)
		}
	}
	e.seq, e.holdingsComplete = seq, true
}

// reborn makes sure that what an engine's former life kept is forgotten.
func (k *Node) setIncarnation(e *engine, inc uint64) {
	if e.incarnation == inc {
		return
	}
	k.removeAllHoldings(e)
	e.incarnation, e.nodeID, e.seq, e.holdingsComplete = inc, cacheindex.NodeID(e.Name, inc), 0, false
	e.pending = map[string]pendingTransfer{}
}

func (k *Node) removeAllHoldings(e *engine) {
	for p := range e.holdings {
		k.removeHolding(e, p)
	}
}

// Reported takes in an engine's report. A gap makes its keeps be read anew.
func (k *Node) ApplyReport(now, asked int64, name string, r Report) {
	k.recordAnswer(asked, name)
	e := k.engines[name]
	if _, ok := k.HoldsLease(now, EngineRole(name)); e == nil || !ok || asked < e.reportedAt {
		return
	}
	k.setIncarnation(e, r.Incarnation)
	e.weights, e.running, e.queueLength, e.capacity, e.slowUS, e.reportedAt = r.Weights, r.Running, r.QueueLength, r.Capacity, r.SlowUS, asked
	for _, v := range r.Events {
		if v.Seq <= e.seq {
			continue // repeated
		}
		if v.Seq != e.seq+1 {
			e.holdingsComplete = false
			break
		}
		e.seq = v.Seq
		k.applyEvent(now, e, v)
	}
	if r.LastSeq > e.seq && len(r.Events) == 0 {
		e.holdingsComplete = false
	}
}

func (k *Node) applyEvent(now int64, e *engine, v Event) {
	switch {
	case v.Added && v.HasBlock:
		k.addHolding(e, v.Block)
	case v.Removed && v.HasBlock:
		k.removeHolding(e, v.Block)
	case v.FinishedAttempt != "":
		i, ok := e.pending[v.FinishedAttempt]
		if !ok {
			return
		}
		delete(e.pending, v.FinishedAttempt)
		good := int(v.RecomputedBytes) <= i.TotalBlocks-len(i.Blocks)
		e.transferScores.Record(now, i.FromNode, good)
		if good {
			k.Counters.TransfersOK++
		} else {
			k.Counters.TransfersFailed++
		}
	}
}

func (k *Node) addHolding(e *engine, p cacheindex.Key) {
	if !e.holdings[p] {
		e.holdings[p] = true
		k.publish(cacheindex.Update{Key: p, Node: e.nodeID, Op: cacheindex.OpAdd})
	}
}

func (k *Node) removeHolding(e *engine, p cacheindex.Key) {
	if e.holdings[p] {
		delete(e.holdings, p)
		k.publish(cacheindex.Update{Key: p, Node: e.nodeID, Op: cacheindex.OpRemove})
	}
}

func (k *Node) publish(n cacheindex.Update) {
	k.Counters.HoldingChanges++
	s := uint16(n.Key.Shard(Shards))
	for _, f := range k.holdingsFollowers {
		if slices.Contains(f.shards, s) {
			f.log.Append(n)
			k.Counters.UpdatesQueued++
		}
	}
}

// Engine is an engine as this custodian sees it, for operators.
type EngineStatus struct {
	Name             string         `json:"Name"`
	Addr             string         `json:"Addr"`
	Zone             string         `json:"Site"`
	Weights          string         `json:"Weights"`
	FencingToken     uint64         `json:"Epoch"`
	Leaving          bool           `json:"Leaving"`
	Store            bool           `json:"Store"`
	HoldingsComplete bool           `json:"Known"`
	Running          int            `json:"Running"`
	QueueLength      int            `json:"Queue"`
	Capacity         int            `json:"Room"`
	Holdings         int            `json:"Kept"`
	ReportAge        int64          `json:"ReportAge"`
	TransferScores   map[string]int `json:"HandOver"`
}

// Engines lists the engines owned now.
func (k *Node) Engines(now int64) []EngineStatus {
	var out []EngineStatus
	for n, e := range k.engines {
		if ep, ok := k.HoldsLease(now, EngineRole(n)); ok {
			g := map[string]int{}
			for _, p := range e.transferScores.Peers() {
				g[fmt.Sprintf("%016x", p)] = e.transferScores.Score(now, p)
			}
			out = append(out, EngineStatus{n, e.Addr, e.Zone, e.weights, ep, e.Leaving, e.Store, e.holdingsComplete, e.running, e.queueLength, e.capacity, len(e.holdings), now - e.reportedAt, g})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
