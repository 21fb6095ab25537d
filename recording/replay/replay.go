// Package replay records the calls of decision components, and replays recorded calls (package
// recording; docs/design.md section 11).
//
// [Dispatcher] and [IndexNode] wrap the decision components: each method calls the component's
// method of that name, and records the arguments and the result. A wrapper without a Writer
// records nothing. The wrappers are used like the components, by one goroutine at a time,
// under the daemon's lock.
//
// [Replay] replays a recording on a new component and compares every decision. Confidential
// inputs are left out of recordings: prompts, and the keys of prompts' blocks, of which only
// the number matters to decisions.
package replay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"violetthread/dispatch"
	"violetthread/index"
	"violetthread/plan"
	"violetthread/recording"
)

// DifferenceError is returned for a decision that differs from the recorded one.
type DifferenceError struct {
	Line     int // of the recording, from 1
	Event    recording.Event
	Decision json.RawMessage // of the replay; Event.Output is the recorded one
}

// Error returns a message with both decisions.
func (e *DifferenceError) Error() string {
	return fmt.Sprintf("line %d (%s at %d): the recorded decision is\n  %s\nand the replayed one is\n  %s\nif the rules were changed on purpose, make a new recording",
		e.Line, e.Event.Type, e.Event.TimeUS, e.Event.Output, e.Decision)
}

// component replays one recorded call and returns the result.
type component func(event recording.Event) (output any, err error)

// Replay replays the recorded calls and stops at the first decision that differs from the
// recorded one, with a *DifferenceError. It returns the number of replayed calls. Other errors
// are those of recording.Read, or a trace.BadParameter for a recording that can't be replayed.
func Replay(reader io.Reader) (calls int, err error) {
	var call component
	onHeader := func(header recording.Header) (err error) {
		call, err = newComponent(header)
		return err
	}
	err = recording.Read(reader, onHeader, func(line int, event recording.Event) error {
		output, err := call(event)
		if err != nil {
			return trace.BadParameter("line %d can't be replayed: %v; the recording was modified", line, err)
		}
		calls++
		return compare(line, event, output)
	})
	return calls, err
}

func newComponent(header recording.Header) (component, error) {
	switch header.Component {
	case recording.ComponentDispatcher:
		d := &Dispatcher{Dispatcher: dispatch.New(header.Name, header.Zone, header.Incarnation)}
		return func(event recording.Event) (any, error) { return d.replay(event) }, nil
	case recording.ComponentIndexNode:
		n := &IndexNode{Node: index.New(header.Name, header.Zone, header.Incarnation)}
		return n.replay, nil
	}
	return nil, trace.BadParameter("the recording is of component %q, which this program does not know", header.Component)
}

func compare(line int, event recording.Event, output any) error {
	var decision []byte
	if output != nil {
		var err error
		if decision, err = json.Marshal(output); err != nil {
			return err
		}
	}
	if !bytes.Equal(decision, event.Output) {
		return &DifferenceError{Line: line, Event: event, Decision: decision}
	}
	return nil
}

func decodeInput[T any](event recording.Event) (input T, err error) {
	err = json.Unmarshal(event.Input, &input)
	return input, err
}

// planInput is the input of ApplyPlan of both components. The value of the plan's register is
// recorded only if its revision is new to the component.
type planInput struct {
	Revision    uint64 `json:"rev"`
	ConfirmedAt int64  `json:"at"`             // time since boot in microseconds
	Stored      string `json:"plan,omitempty"` // the register's value, including the plan's seal (package plan)
}

func newPlanInput(cached *plan.Cached, isNew bool) planInput {
	input := planInput{Revision: cached.Revision, ConfirmedAt: cached.ConfirmedAt}
	if isNew {
		input.Stored = string(cached.Raw)
	}
	return input
}

// cached returns the recorded plan. It is current, the component's current plan, if the
// recording has no new one.
func (i planInput) cached(current *plan.Compiled) (*plan.Cached, error) {
	cached := &plan.Cached{Revision: i.Revision, ConfirmedAt: i.ConfirmedAt, Plan: current}
	if len(i.Stored) > 0 {
		loaded, err := plan.Load([]byte(i.Stored), i.Revision)
		if err != nil {
			return nil, err
		}
		cached.Plan = loaded
	}
	return cached, nil
}
