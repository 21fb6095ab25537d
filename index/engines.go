package index

import (
	"fmt"
	"slices"
	"strings"

	"violetthread/cacheindex"
)

// engine is the state of an engine, or of the cache store, that this node owns.
type engine struct {
	ListedEngine
	incarnation      uint64
	nodeID           uint64 // of the incarnation, 0 before the first report
	seq              uint64 // of the last event applied
	holdingsComplete bool   // whether holdings has all blocks cached as of seq
	holdings         map[cacheindex.Key]bool
	weights          string
	capacity         int
	running          int
	queueLength      int
	slowUS           int64
	reportedAt       int64 // when the newest report was requested
	updateSentAt     int64 // when the last weight update was sent
	transferScores   *cacheindex.TransferScores
	pending          map[string]pendingTransfer // by attempt
	suspicion        float64                    // decaying count of failures that proxies reported
	suspicionAt      int64                      // up to when suspicion has been decayed
}

// pendingTransfer is a transfer whose result the engine has not reported yet.
type pendingTransfer struct {
	Transfer
	requestedAt int64
}

// Event is an event in an engine's report. Recordings store Event, Report and Poll under the
// names in the tags.
type Event struct {
	Seq              uint64         `json:"Seq"`
	Added            bool           `json:"Keep"` // Block is now cached
	Removed          bool           `json:"Drop"` // Block is no longer cached
	FinishedAttempt  string         `json:"Ran"`
	RecomputedBlocks uint64         `json:"Filled"` // blocks recomputed by FinishedAttempt
	Block            cacheindex.Key `json:"Part"`
	HasBlock         bool           `json:"HasPart"`
}

// Report is an engine's report on its own state.
type Report struct {
	Incarnation uint64  `json:"Inc"`
	Weights     string  `json:"Weights"`
	Running     int     `json:"Running"`
	QueueLength int     `json:"Queue"`
	Capacity    int     `json:"Room"`
	SlowUS      int64   `json:"SlowUS"`
	LastSeq     uint64  `json:"Last"`   // of the newest event
	Events      []Event `json:"Events"` // the events after Poll.AfterSeq that the engine still has
}

// Poll is a request to an engine for its report, with the events after AfterSeq.
type Poll struct {
	Engine        string `json:"Engine"`
	Addr          string `json:"Addr"`
	FencingToken  uint64 `json:"Epoch"` // 0 for an engine that another node owns and this one only probes
	Incarnation   uint64 `json:"Inc"`
	AfterSeq      uint64 `json:"After"`
	NeedsHoldings bool   `json:"Whole"` // read all of the engine's holdings first and pass them to ResetHoldings
}

// Polls lists the engines to poll now, sorted by name: those that this node owns, and the
// probe targets among those that other nodes own.
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

// ownedEngine returns the state of an engine that this node owns, and creates it if needed.
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

// ResetHoldings sets the blocks that an engine has cached as of its event seq.
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

// setIncarnation sets the engine's incarnation. If it is a new one, the holdings and pending
// transfers of the previous incarnation are dropped.
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

// ApplyReport applies an engine's report that was requested at time askedAt. If events are
// missing, the next poll reads all holdings again.
func (n *Node) ApplyReport(now, askedAt int64, name string, report Report) {
	n.recordAnswer(askedAt, name)
	engine := n.engines[name]
	if _, owned := n.HoldsLease(now, EngineRole(name)); engine == nil || !owned || askedAt < engine.reportedAt {
		return
	}
	n.setIncarnation(engine, report.Incarnation)
	engine.weights, engine.slowUS, engine.reportedAt = report.Weights, report.SlowUS, askedAt
	engine.running, engine.queueLength, engine.capacity = report.Running, report.QueueLength, report.Capacity
	for _, event := range report.Events {
		if event.Seq <= engine.seq {
			continue // already applied
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

// learnTransfer updates the transfer scores with the result of a finished attempt. The
// transfer succeeded if the engine recomputed no more blocks than those left out of the
// transfer.
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

// publish appends an update to the feeds of the followers of its shard.
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

// EngineStatus is an engine's state as its owner knows it, for operators. The tags are the
// field names of the API.
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
	TransferScores   map[string]int `json:"HandOver"`  // in thousandths, by the peer's node id in hexadecimal
}

// Engines lists the engines that this node owns now, sorted by name.
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
