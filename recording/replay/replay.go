// Package replay records the calls of deciding components and makes the recorded calls
// again (package recording; docs/design.md section 11).
//
// [Dispatcher] and [IndexNode] wrap the components of the same names: each method records
// its arguments and result and passes the call on. A wrapper without a Writer only passes
// on. They are used as the components are: by one goroutine at a time, under the daemon's
// lock.
//
// [Replay] feeds a recording to a new component and compares every decision. What the
// components take in that people must not read is left out of recordings: prompts, and
// the keys of prompts' blocks, of which only the number matters to decisions.
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

// DifferenceError is a decision that came out otherwise than recorded.
type DifferenceError struct {
	Line     int // of the recording, from 1
	Event    recording.Event
	Decision json.RawMessage // now; Event.Output is the recorded one
}

// Error shows both decisions.
func (e *DifferenceError) Error() string {
	return fmt.Sprintf("line %d (%s at %d) was decided as\n  %s\nand is now\n  %s\nif the rules were changed on purpose, record a new one",
		e.Line, e.Event.Type, e.Event.TimeUS, e.Event.Output, e.Decision)
}

// component makes one recorded call again and returns what is decided now.
type component func(event recording.Event) (output any, err error)

// Replay makes the recorded calls again and stops at the first decision that comes out
// otherwise, with a *DifferenceError. It returns how many calls it made. Other errors are
// those of recording.Read, or a trace.BadParameter for a recording that can't be fed.
func Replay(reader io.Reader) (calls int, err error) {
	var call component
	onHeader := func(header recording.Header) (err error) {
		call, err = newComponent(header)
		return err
	}
	err = recording.Read(reader, onHeader, func(line int, event recording.Event) error {
		output, err := call(event)
		if err != nil {
			return trace.BadParameter("line %d can't be fed: %v; the recording was changed", line, err)
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
	return nil, trace.BadParameter("the recording is of a %q, which this program does not know", header.Component)
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

// planInput is a plan as both components take it. The register's value is recorded when
// its revision is new.
type planInput struct {
	Revision    uint64 `json:"rev"`
	ConfirmedAt int64  `json:"at"`             // time since boot in microseconds
	Stored      string `json:"plan,omitempty"` // the register's value, seal and all
}

func newPlanInput(cached *plan.Cached, isNew bool) planInput {
	input := planInput{Revision: cached.Revision, ConfirmedAt: cached.ConfirmedAt}
	if isNew {
		input.Stored = string(cached.Raw)
	}
	return input
}

// cached is the recorded plan; current is the one that the component has so far.
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
