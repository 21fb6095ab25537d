package dispatch

import (
	"violetthread/attempt"
	"violetthread/cacheindex"
)

// EngineGrant is what the owner of an engine lets this proxy send it. Recordings contain
// it under the names in its tags.
type EngineGrant struct {
	Engine         string         `json:"Engine"`
	Addr           string         `json:"Addr"`
	Zone           string         `json:"Site"`
	Weights        string         `json:"Weights"`
	Store          bool           `json:"Store"`  // it keeps blocks and runs nothing
	NodeID         uint64         `json:"ID"`     // of the engine's incarnation
	FencingToken   uint64         `json:"Epoch"`  // of the owner's lease, rising with each owner
	Capacity       int            `json:"Room"`   // runs of this proxy at a time
	QueueLength    int            `json:"Queue"`  // at the engine, as it reported
	SlowUS         int64          `json:"SlowUS"` // how late the engine is, as it reported
	Age            int64          `json:"Age"`    // microseconds since the owner knew it to be good
	TransferScores map[uint64]int `json:"Grades"` // of transfers from other nodes, in thousandths
}

// engineState is an engine as this proxy knows it.
type engineState struct {
	EngineGrant
	confirmedAt   int64 // when the grant was known to be good
	active        int   // runs of this proxy there
	failuresInRow int
	pausedUntil   int64 // it gets no new work before then
}

// Transfer is an order to an engine to fetch blocks of a prompt from another node.
type Transfer struct {
	AttemptID   string
	Engine      string
	FromNode    uint64
	TotalBlocks int // of the whole prompt
	Blocks      []cacheindex.Key
}

// Outcomes is how the attempts at an engine went since the last report.
type Outcomes struct {
	Failures, Successes int
	StartUS             int64 // from sending to start, of the last attempt that started
}

// Times, in microseconds.
const (
	busyPause       = 20_000 // after an engine said that it is full
	failurePause    = 50_000 // doubles with each failure in a row, up to:
	maxPause        = 2_000_000
	maxFailures     = 7 // that the pause doubles with
	staleEngineDrop = 60_000_000
	neverGrantedAge = 1 << 50
	// An engine that can't be reached at all from here pauses longer, since every
	// attempt there costs a retry.
	maxPauseUnreachable = 6_000_000
)

// causeBusy is the cause of an attempt that an engine turned down for being full.
const causeBusy = "busy"

// ApplyGrants takes in the grants of the engines that one index node owns.
func (d *Dispatcher) ApplyGrants(now int64, grants []EngineGrant) []Action {
	for _, grant := range grants {
		engine := d.engines[grant.Engine]
		if engine == nil {
			engine = &engineState{}
			d.engines[grant.Engine] = engine
		}
		if grant.FencingToken < engine.FencingToken {
			continue // of a former owner; those of one owner come in order
		}
		if engine.NodeID != grant.NodeID {
			delete(d.engineByNode, engine.NodeID)
			engine.failuresInRow, engine.pausedUntil = 0, 0
		}
		engine.EngineGrant, engine.confirmedAt = grant, now-grant.Age
		d.engineByNode[grant.NodeID] = engine
	}
	return d.fillCapacity(now)
}

// dropStaleEngines forgets engines without a grant for long.
func (d *Dispatcher) dropStaleEngines(now int64) {
	for name, engine := range d.engines {
		if now-engine.confirmedAt > staleEngineDrop && engine.active == 0 {
			delete(d.engines, name)
			delete(d.engineByNode, engine.NodeID)
		}
	}
}

// Capacity counts the runs that this proxy may have at all engines together.
func (d *Dispatcher) Capacity(now int64) int {
	capacity := 0
	for _, engine := range d.engines {
		if !engine.Store && now-engine.confirmedAt <= MaxGrantAge {
			capacity += engine.Capacity
		}
	}
	return capacity
}

// GrantAge is the age of an engine's grant in microseconds, for operators and tests.
func (d *Dispatcher) GrantAge(now int64, engine string) int64 {
	if state := d.engines[engine]; state != nil {
		return now - state.confirmedAt
	}
	return neverGrantedAge
}

// Demand is what owners divide capacity by: the requests that wait and run here by group,
// and how many run.
func (d *Dispatcher) Demand() (byGroup map[string]int, active int) {
	for _, engine := range d.engines {
		active += engine.active
	}
	return d.queue.DemandByGroup(), active
}

// TakeReport hands over what owners should learn since the last report, and forgets it.
func (d *Dispatcher) TakeReport() ([]Transfer, map[string]*Outcomes) {
	transfers, outcomes := d.transfers, d.outcomes
	d.transfers, d.outcomes = nil, map[string]*Outcomes{}
	return transfers, outcomes
}

// recordOutcome takes in how far an attempt at an engine came. An engine pauses after a
// failure, the longer the more there were in a row.
func (d *Dispatcher) recordOutcome(now int64, engine *engineState, request *trackedRequest, state attempt.State, cause string) {
	outcomes := d.outcomes[engine.Engine]
	if outcomes == nil {
		outcomes = &Outcomes{}
		d.outcomes[engine.Engine] = outcomes
	}
	switch {
	case state == attempt.Started:
		outcomes.StartUS = now - request.startedAt
	case state == attempt.Completed:
		engine.failuresInRow = 0
		outcomes.Successes++
	case cause == causeBusy:
		engine.pausedUntil = now + busyPause
	default:
		outcomes.Failures++
		engine.failuresInRow = min(engine.failuresInRow+1, maxFailures)
		longest := int64(maxPause)
		if cause == attempt.Unreachable {
			longest = maxPauseUnreachable
		}
		engine.pausedUntil = now + min(int64(failurePause)<<engine.failuresInRow, longest)
	}
}
