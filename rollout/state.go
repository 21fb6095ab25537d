package rollout

import (
	"encoding/json"
	"fmt"
)

// Engine is what the scheduler knows of one incarnation of an engine.
type Engine struct {
	ID, Addr, Pool, Zone string
	Draining             bool              // it is leaving the fleet, and is not updated
	Weights              map[string]uint64 // version by model, as last reported
}

// Phase is the phase of an engine's update.
type Phase uint8

// The phases.
const (
	PhaseDraining  Phase = iota + 1 // proxies send the engine no new requests
	PhaseRequested                  // the update request may have been sent
)

// String returns the name of the phase for display.
func (p Phase) String() string {
	switch p {
	case PhaseDraining:
		return "draining"
	case PhaseRequested:
		return "requested"
	}
	return fmt.Sprintf("phase %d", uint8(p))
}

// Update is the update of one engine that is in progress.
type Update struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Phase   Phase  `json:"phase"`
	// When it started and when its request was last sent, by the leader's monotonic clock; not
	// stored.
	StartedAt   int64 `json:"-"`
	RequestedAt int64 `json:"-"`
}

// State is the part of a rollout that is stored in the control state, so that every node sees
// which engines are being updated and a new leader can continue.
type State struct {
	Updates map[string]Update            `json:"turns"` // in progress, by engine
	Applied map[string]map[string]uint64 `json:"done"`  // by engine and model: version known to be running
}

// Marshal encodes the state as its register's value.
func (s State) Marshal() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err) // cannot fail: the state has only strings and numbers
	}
	return data
}

// UnmarshalState decodes a register's value; an empty value is the zero State.
func UnmarshalState(data []byte) (State, error) {
	var state State
	if len(data) == 0 {
		return state, nil
	}
	err := json.Unmarshal(data, &state)
	return state, err
}

// Version returns the version that an engine runs: the higher one of what it reported and what
// is known to have been applied.
func (s State) Version(engine, model string, reported uint64) uint64 {
	return max(reported, s.Applied[engine][model])
}
