package rollout

import (
	"encoding/json"
	"fmt"
)

// Engine is what the scheduler knows of one incarnation of an engine.
type Engine struct {
	ID, Addr, Pool, Zone string
	Draining             bool              // it leaves the fleet, and is not updated
	Weights              map[string]uint64 // version of each model, as last reported
}

// Phase is how far the update of an engine has come.
type Phase uint8

// The phases.
const (
	PhaseDraining  Phase = iota + 1 // proxies send the engine nothing new
	PhaseRequested                  // the request went out
)

// String is the phase as people read it.
func (p Phase) String() string {
	switch p {
	case PhaseDraining:
		return "draining"
	case PhaseRequested:
		return "requested"
	}
	return fmt.Sprintf("phase %d", uint8(p))
}

// Update is the update under way of one engine.
type Update struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Phase   Phase  `json:"phase"`
	// When it started, and when the request last went out, in the leader's own time; not
	// stored.
	StartedAt   int64 `json:"-"`
	RequestedAt int64 `json:"-"`
}

// State is what is kept of a rollout in the control state, so that every node sees which
// engines are being updated, and a new leader goes on where the last one left off.
type State struct {
	Updates map[string]Update            `json:"turns"` // under way, by engine
	Applied map[string]map[string]uint64 `json:"done"`  // engine, model: version known to be in force
}

// Marshal is a state as its register holds it.
func (s State) Marshal() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // plain strings and numbers
	}
	return data
}

// UnmarshalState reads a register's state; that of an empty register is the zero State.
func UnmarshalState(data []byte) (State, error) {
	var state State
	if len(data) == 0 {
		return state, nil
	}
	err := json.Unmarshal(data, &state)
	return state, err
}

// Version is what an engine runs, from its reports and from what is known to be in force.
func (s State) Version(engine, model string, reported uint64) uint64 {
	return max(reported, s.Applied[engine][model])
}
