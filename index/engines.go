package index

import (
	"fmt"
	"slices"
	"strings"

	"violetthread/cacheindex"
)

// engine is an engine, or the store, that is owned here.
type engine struct {
	ListedEngine
	incarnation      uint64
	nodeID           uint64 // of the incarnation, 0 before the first report
	seq              uint64 // of the last event taken in
	holdingsComplete bool   // holdings are all that it has cached as of seq
	holdings         map[cacheindex.Key]bool
	weights          string
	capacity         int
	running          int
	queueLength      int
	slowUS           int64
	reportedAt       int64 // when the newest report was asked for
	updateSentAt     int64 // when it was last told to change weights
	transferScores   *cacheindex.TransferScores
	pending          map[string]pendingTransfer // by attempt
	suspicion        float64                    // failures seen by proxies, decaying
	suspicionAt      int64                      // as of then
}

// pendingTransfer is a transfer of which the engine has not reported what became.
type pendingTransfer struct {
	Transfer
	orderedAt int64
}

// Event is one thing that an engine reports. Recordings contain it under the names in the
// tags, as they do Report and Poll.
type Event struct {
	Seq              uint64         `json:"Seq"`
	Added            bool           `json:"Keep"` // Block is cached now
	Removed          bool           `json:"Drop"` // Block is cached no more
	FinishedAttempt  string         `json:"Ran"`
	RecomputedBlocks uint64         `json:"Filled"` // blocks recomputed by FinishedAttempt
	Block            cacheindex.Key `json:"Part"`
	HasBlock         bool           `json:"HasPart"`
}

// Report is what an engine reports of itself.
type Report struct {
	Incarnation uint64  `json:"Inc"`
	Weights     string  `json:"Weights"`
	Running     int     `json:"Running"`
	QueueLength int     `json:"Queue"`
	Capacity    int     `json:"Room"`
	SlowUS      int64   `json:"SlowUS"`
	LastSeq     uint64  `json:"Last"`   // of the newest event
	Events      []Event `json:"Events"` // those after the one that was asked for, or what is left of them
}

// Poll says where to ask an engine for its report, and after which event.
type Poll struct {
	Engine        string `json:"Engine"`
	Addr          string `json:"Addr"`
	FencingToken  uint64 `json:"Epoch"` // 0 for an engine of another owner, which is only probed
	Incarnation   uint64 `json:"Inc"`
	AfterSeq      uint64 `json:"After"`
	NeedsHoldings bool   `json:"Whole"` // all its holdings must be read first, for ResetHoldings
}

// Polls lists the engines to ask now, by name: those owned here, and those of others that
// are probed.
func (n *Node) Polls(now int64) []Poll {
	var polls []Poll
	probes := n.probeTargets(now)
	for name, listed := range n.listed {
		token, owned := n.HoldsLease(now, EngineRole(name))
		switch {
		case owned:
			engine := n.ownedEngine(listed)
			polls = append(polls, Poll{
				Engine:        name,
				Addr:          listed.Addr,
				FencingToken:  token,
				Incarnation:   engine.incarnation,
				AfterSeq:      engine.seq,
				NeedsHoldings: !engine.holdingsComplete,
			})
		case probes[name]:
			polls = append(polls, Poll{Engine: name, Addr: listed.Addr})
		}
	}
	slices.SortFunc(polls, func(a, b Poll) int { return strings.Compare(a.Engine, b.Engine) })
	n.trackContacts(now, polls)
	return polls
}

// ownedEngine returns the state of an engine owned here, new if it was not known.
func (n *Node) ownedEngine(listed ListedEngine) *engine {
	owned := n.engines[listed.Name]
	if owned == nil {
		owned = &engine{
			ListedEngine:   listed,
			holdings:       map[cacheindex.Key]bool{},
			transferScores: cacheindex.NewTransferScores(),
			pending:        map[string]pendingTransfer{},
		}
		n.engines[listed.Name] = owned
	}
	return owned
}

// ResetHoldings takes in all blocks that an engine has cached, as of its event seq.
func (n *Node) ResetHoldings(now int64, name string, incarnation, seq uint64, blocks []cacheindex.Key) {
	engine := n.engines[name]
	if _, owned := n.HoldsLease(now, EngineRole(name)); engine == nil || !owned {
		return
	}
	n.Counters.Resyncs++
	n.setIncarnation(engine, incarnation)
	cached := map[cacheindex.Key]bool{}
	for _, block := range blocks {
		cached[block] = true
		n.addHolding(engine, block)
	}
	for block := range engine.holdings {
		if !cached[block] {
			n.removeHolding(engine, block)
		}
	}
	engine.seq, engine.holdingsComplete = seq, true
}

// setIncarnation makes sure that what an engine's former incarnation had is forgotten.
func (n *Node) setIncarnation(engine *engine, incarnation uint64) {
	if engine.incarnation == incarnation {
		return
	}
	n.removeAllHoldings(engine)
	engine.incarnation, engine.nodeID = incarnation, cacheindex.NodeID(engine.Name, incarnation)
	engine.seq, engine.holdingsComplete = 0, false
	engine.pending = map[string]pendingTransfer{}
}

func (n *Node) removeAllHoldings(engine *engine) {
	for block := range engine.holdings {
		n.removeHolding(engine, block)
	}
}

// ApplyReport takes in an engine's report that was asked for at time asked. After a gap in
// its events all its holdings are read anew.
func (n *Node) ApplyReport(now, asked int64, name string, report Report) {
	n.recordAnswer(asked, name)
	engine := n.engines[name]
	if _, owned := n.HoldsLease(now, EngineRole(name)); engine == nil || !owned || asked < engine.reportedAt {
		return
	}
	n.setIncarnation(engine, report.Incarnation)
	engine.weights, engine.slowUS, engine.reportedAt = report.Weights, report.SlowUS, asked
	engine.running, engine.queueLength, engine.capacity = report.Running, report.QueueLength, report.Capacity
	for _, event := range report.Events {
		if event.Seq <= engine.seq {
			continue // repeated
		}
		if event.Seq != engine.seq+1 {
			engine.holdingsComplete = false
			break
		}
		engine.seq = event.Seq
		n.applyEvent(now, engine, event)
	}
	if report.LastSeq > engine.seq && len(report.Events) == 0 {
		engine.holdingsComplete = false
	}
}

func (n *Node) applyEvent(now int64, engine *engine, event Event) {
	switch {
	case event.Added && event.HasBlock:
		n.addHolding(engine, event.Block)
	case event.Removed && event.HasBlock:
		n.removeHolding(engine, event.Block)
	case event.FinishedAttempt != "":
		n.learnTransfer(now, engine, event)
	}
}

// learnTransfer learns from a finished attempt whether its transfer worked: then nothing
// was recomputed but the blocks that were not transferred.
func (n *Node) learnTransfer(now int64, engine *engine, event Event) {
	transfer, known := engine.pending[event.FinishedAttempt]
	if !known {
		return
	}
	delete(engine.pending, event.FinishedAttempt)
	succeeded := int(event.RecomputedBlocks) <= transfer.TotalBlocks-len(transfer.Blocks)
	engine.transferScores.Record(now, transfer.FromNode, succeeded)
	if succeeded {
		n.Counters.TransfersOK++
	} else {
		n.Counters.TransfersFailed++
	}
}

func (n *Node) addHolding(engine *engine, block cacheindex.Key) {
	if !engine.holdings[block] {
		engine.holdings[block] = true
		n.publish(cacheindex.Update{Key: block, Node: engine.nodeID, Op: cacheindex.OpAdd})
	}
}

func (n *Node) removeHolding(engine *engine, block cacheindex.Key) {
	if engine.holdings[block] {
		delete(engine.holdings, block)
		n.publish(cacheindex.Update{Key: block, Node: engine.nodeID, Op: cacheindex.OpRemove})
	}
}

// publish tells the followers of the shard that an update belongs to.
func (n *Node) publish(update cacheindex.Update) {
	n.Counters.HoldingChanges++
	shard := uint16(update.Key.Shard(Shards))
	for _, feed := range n.followers {
		if slices.Contains(feed.shards, shard) {
			feed.log.Append(update)
			n.Counters.UpdatesQueued++
		}
	}
}

// EngineStatus is an engine as its owner sees it, for operators. The names in the tags are
// those of the API.
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
	ReportAge        int64          `json:"ReportAge"` // microseconds
	TransferScores   map[string]int `json:"HandOver"`  // in thousandths, by peer in hexadecimal
}

// Engines lists the engines owned now, by name.
func (n *Node) Engines(now int64) []EngineStatus {
	var engines []EngineStatus
	for name, engine := range n.engines {
		if token, owned := n.HoldsLease(now, EngineRole(name)); owned {
			engines = append(engines, engine.status(now, token))
		}
	}
	slices.SortFunc(engines, func(a, b EngineStatus) int { return strings.Compare(a.Name, b.Name) })
	return engines
}

func (e *engine) status(now int64, token uint64) EngineStatus {
	scores := map[string]int{}
	for _, peer := range e.transferScores.Peers() {
		scores[fmt.Sprintf("%016x", peer)] = e.transferScores.Score(now, peer)
	}
	return EngineStatus{
		Name:             e.Name,
		Addr:             e.Addr,
		Zone:             e.Zone,
		Weights:          e.weights,
		FencingToken:     token,
		Leaving:          e.Leaving,
		Store:            e.Store,
		HoldingsComplete: e.holdingsComplete,
		Running:          e.running,
		QueueLength:      e.queueLength,
		Capacity:         e.capacity,
		Holdings:         len(e.holdings),
		ReportAge:        now - e.reportedAt,
		TransferScores:   scores,
	}
}
