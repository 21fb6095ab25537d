package dispatch

import (
	"violetthread/attempt"
	"violetthread/cacheindex"
)

// Order is an engine as its owner lets this proxy use it.
type EngineGrant struct {
	Engine         string         `json:"Engine"`
	Addr           string         `json:"Addr"`
	Zone           string         `json:"Site"`
	Weights        string         `json:"Weights"`
	Store          bool           `json:"Store"`
	NodeID         uint64         `json:"ID"`
	FencingToken   uint64         `json:"Epoch"`
	Capacity       int            `json:"Room"`
	QueueLength    int            `json:"Queue"`
	SlowUS         int64          `json:"SlowUS"`
	Age            int64          `json:"Age"`
	TransferScores map[uint64]int `json:"Grades"`
}

type engineState struct {
	EngineGrant
	confirmedAt   int64 // when the order was known good
	active        int
	failuresInRow int   // in a row
	pausedUntil   int64 // rests until then
}

// Import is an order to take a part from a peer.
type Transfer struct {
	AttemptID, Engine string
	FromNode          uint64
	TotalBlocks       int // parts of the whole prompt
	Blocks            []cacheindex.Key
}

// Seen is how an engine's attempts went since last told.
type Outcomes struct {
	Failures, Successes int
	StartUS             int64
}

// Orders takes in the standing orders of the engines that one custodian owns.
func (d *Dispatcher) ApplyGrants(now int64, os []EngineGrant) []Action {
	for _, o := range os {
		l := d.engines[o.Engine]
		if l == nil {
			l = &engineState{}
			d.engines[o.Engine] = l
		}
		if o.FencingToken < l.FencingToken {
			continue // a former owner's; words of one owner come in order
		}
		if l.NodeID != o.NodeID {
			delete(d.engineByNode, l.NodeID)
			l.failuresInRow, l.pausedUntil = 0, 0
		}
		l.EngineGrant, l.confirmedAt = o, now-o.Age
		d.engineByNode[o.NodeID] = l
	}
	return d.fillCapacity(now)
}

// sweep drops engines that are long unheard of.
func (d *Dispatcher) dropStaleEngines(now int64) {
	for n, l := range d.engines {
		if now-l.confirmedAt > 60_000_000 && l.active == 0 {
			delete(d.engines, n)
			delete(d.engineByNode, l.NodeID)
		}
	}
}

// Want tells the room this proxy asks for, by group, and what it uses.
func (d *Dispatcher) Demand() (want map[string]int, active int) {
	for _, l := range d.engines {
		active += l.active
	}
	return d.queue.DemandByGroup(), active
}

// Report hands over what owners should learn, and forgets it.
func (d *Dispatcher) TakeReport() ([]Transfer, map[string]*Outcomes) {
	i, s := d.transfers, d.outcomes
	d.transfers, d.outcomes = nil, map[string]*Outcomes{}
	return i, s
}

// Room is what this proxy may use in all, at this moment.
func (d *Dispatcher) Capacity(now int64) int {
	n := 0
	for _, l := range d.engines {
		if !l.Store && now-l.confirmedAt <= MaxGrantAge {
			n += l.Capacity
		}
	}
	return n
}

// lasts is the room to count on: a moment's gap, such as when an engine changes
// its owner, is no reason to refuse, and a moment's surplus none to allow.
func (d *Dispatcher) steadyCapacity(room int) int {
	if d.smoothedCapacity == 0 {
		return room
	}
	return max(1, int(d.smoothedCapacity+0.5))
}

func (d *Dispatcher) expectedRunUS(kind string) int64 {
	if c := d.typicalRunUS[kind]; c > 0 {
		return c
	}
	if c := d.plan.Kinds[kind].TypicalUS; c > 0 {
		return c
	}
	return 500_000
}

func (d *Dispatcher) recordOutcome(now int64, l *engineState, w *trackedRequest, s attempt.State, cause string) {
	e := d.outcomes[l.Engine]
	if e == nil {
		e = &Outcomes{}
		d.outcomes[l.Engine] = e
	}
	switch s {
	case attempt.Started:
		e.StartUS = now - w.startedAt
	case attempt.Completed:
		l.failuresInRow = 0
		e.Successes++
	default:
		if cause == "busy" {
			l.pausedUntil = now + 20_000
			return
		}
		e.Failures++
		l.failuresInRow = min(l.failuresInRow+1, 7)
		most := int64(maxPause)
		if cause == "unreachable" {
			most = maxPauseUnreachable
		}
		l.pausedUntil = now + min(int64(50_000)<<l.failuresInRow, most)
	}
}

// OrderAge is how old the order for an engine is, for operators and judges.
func (d *Dispatcher) GrantAge(now int64, engine string) int64 {
	if l := d.engines[engine]; l != nil {
		return now - l.confirmedAt
	}
	return 1 << 50
}
