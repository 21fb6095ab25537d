package dispatch

import (
	"violetthread/attempt"
	"violetthread/cacheindex"
)

// EngineGrant is the part of an engine's capacity that the engine's owner grants to this proxy,
// with the state of the engine. Recordings contain it under the names in its tags.
type EngineGrant struct {
	Engine         string         `json:"Engine"`
	Addr           string         `json:"Addr"`
	Zone           string         `json:"Site"`
	Weights        string         `json:"Weights"`
	Store          bool           `json:"Store"`  // it caches blocks and runs no requests
	NodeID         uint64         `json:"ID"`     // of the engine's incarnation
	FencingToken   uint64         `json:"Epoch"`  // of the owner's lease, increasing with each owner
	Capacity       int            `json:"Room"`   // maximum number of concurrent runs of this proxy
	QueueLength    int            `json:"Queue"`  // length of the engine's queue, as it reported
	SlowUS         int64          `json:"SlowUS"` // delay reported by the engine
	Age            int64          `json:"Age"`    // microseconds since the owner knew it to be valid
	TransferScores map[uint64]int `json:"Grades"` // of transfers from other nodes, by node, in thousandths
}

// engineState is the state of an engine as known to this proxy.
type engineState struct {
	EngineGrant
	confirmedAt   int64 // when the grant was last known to be valid
	active        int   // runs of this proxy at the engine, including reservations
	failuresInRow int
	backoffUntil  int64 // the engine gets no new work before this time
}

// Transfer is an instruction to an engine to fetch blocks of a prompt from another node.
type Transfer struct {
	AttemptID   string
	Engine      string
	FromNode    uint64
	TotalBlocks int // of the whole prompt
	Blocks      []cacheindex.Key
}

// Outcomes holds the results of the attempts at an engine since the last report.
type Outcomes struct {
	Failures, Successes int
	StartUS             int64 // time from sending to start of the last attempt that started
}

// Times, in microseconds.
const (
	busyBackoff         = 20_000 // after an engine rejected an attempt because it is full
	failureBackoff      = 50_000 // base; doubles with each consecutive failure up to maxBackoff
	maxBackoff          = 2_000_000
	maxBackoffDoublings = 7 // maximum number of doublings
	staleEngineTimeout  = 60_000_000
	neverGrantedAge     = 1 << 50
	// maxBackoffUnreachable replaces maxBackoff for an engine that this proxy can't reach, since
	// every attempt there costs a retry.
	maxBackoffUnreachable = 6_000_000
)

// causeBusy is the failure cause of an attempt that an engine rejected because it is full.
const causeBusy = "busy"

// ApplyGrants installs the grants of the engines that one index node owns.
func (d *Dispatcher) ApplyGrants(now int64, grants []EngineGrant) []Action {
	for _, grant := range grants {
		engine := d.engines[grant.Engine]
		if engine == nil {
			engine = &engineState{}
			d.engines[grant.Engine] = engine
		}
		if grant.FencingToken < engine.FencingToken {
			continue // from a former owner; grants of one owner arrive in order
		}
		if engine.NodeID != grant.NodeID {
			delete(d.engineByNode, engine.NodeID)
			engine.failuresInRow, engine.backoffUntil = 0, 0
		}
		engine.EngineGrant, engine.confirmedAt = grant, now-grant.Age
		d.engineByNode[grant.NodeID] = engine
	}
	return d.fillCapacity(now)
}

// dropStaleEngines removes idle engines whose last grant is older than staleEngineTimeout.
func (d *Dispatcher) dropStaleEngines(now int64) {
	for name, engine := range d.engines {
		if now-engine.confirmedAt > staleEngineTimeout && engine.active == 0 {
			delete(d.engines, name)
			delete(d.engineByNode, engine.NodeID)
		}
	}
}

// Capacity returns the number of concurrent runs that this proxy may have at all engines together.
func (d *Dispatcher) Capacity(now int64) int {
	capacity := 0
	for _, engine := range d.engines {
		if !engine.Store && now-engine.confirmedAt <= MaxGrantAge {
			capacity += engine.Capacity
		}
	}
	return capacity
}

// GrantAge returns the age of an engine's grant in microseconds, for operators and tests.
func (d *Dispatcher) GrantAge(now int64, engine string) int64 {
	if state := d.engines[engine]; state != nil {
		return now - state.confirmedAt
	}
	return neverGrantedAge
}

// Demand returns the values by which owners divide capacity: the number of waiting and running
// requests of this proxy by group, and the number of runs at engines.
func (d *Dispatcher) Demand() (byGroup map[string]int, active int) {
	for _, engine := range d.engines {
		active += engine.active
	}
	return d.queue.DemandByGroup(), active
}

// TakeReport returns the transfers and the outcomes by engine since the last report, for the
// owners of the engines, and resets them.
func (d *Dispatcher) TakeReport() ([]Transfer, map[string]*Outcomes) {
	transfers, outcomes := d.transfers, d.outcomes
	d.transfers, d.outcomes = nil, map[string]*Outcomes{}
	return transfers, outcomes
}

// recordOutcome records a change of the state of an attempt at an engine. After a failure the
// engine gets no new work for a time that grows with the number of consecutive failures.
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
		engine.backoffUntil = now + busyBackoff
	default:
		outcomes.Failures++
		engine.failuresInRow = min(engine.failuresInRow+1, maxBackoffDoublings)
		longest := int64(maxBackoff)
		if cause == attempt.Unreachable {
			longest = maxBackoffUnreachable
		}
		engine.backoffUntil = now + min(int64(failureBackoff)<<engine.failuresInRow, longest)
	}
}
