package replay

import (
	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/plan"
	"violetthread/recording"
)

// Types of the dispatcher's events. The values are stored in recordings.
const (
	eventPlan              = "plan" // used by both components
	eventGrants            = "orders"
	eventAdmit             = "arrive"
	eventClaimAnswered     = "claimed"
	eventAttemptProgressed = "note"
	eventAllowFirstByte    = "out"
	eventStop              = "stop"
	eventTick              = "tick"
)

// Dispatcher is a gateway's dispatcher whose calls are recorded. As in dispatch.Dispatcher,
// now is the time since boot in microseconds.
type Dispatcher struct {
	*dispatch.Dispatcher
	Writer *recording.Writer // nil records nothing
}

// action is the recorded form of a dispatch.Action: without the prompt, and with the number of
// the prompt's blocks in place of their keys.
type action struct {
	Type          dispatch.ActionType `json:"do"`
	Ref           uint64              `json:"ref,omitempty"`
	RequestID     string              `json:"id,omitempty"`
	AttemptID     string              `json:"attempt,omitempty"`
	Engine        string              `json:"engine,omitempty"`
	FencingToken  uint64              `json:"epoch,omitempty"`
	Weights       string              `json:"weights,omitempty"`
	Blocks        int                 `json:"parts,omitempty"`
	TransferBlock int                 `json:"take,omitempty"` // index of the block to transfer plus 1, 0 for none
	TransferNode  uint64              `json:"peer,omitempty"`
	Outcome       attempt.Outcome     `json:"outcome,omitempty"`
	Reason        string              `json:"reason,omitempty"`
	RetryAfterUS  int64               `json:"back,omitempty"`
	StartBefore   int64               `json:"until,omitempty"` // time since boot in microseconds
}

func newAction(decided dispatch.Action) action {
	a := action{
		Type:         decided.Type,
		Ref:          decided.Ref,
		RequestID:    decided.RequestID,
		AttemptID:    decided.AttemptID,
		Outcome:      decided.Outcome,
		Reason:       decided.Reason,
		RetryAfterUS: decided.RetryAfterUS,
		StartBefore:  decided.StartBefore,
	}
	if decided.Type == dispatch.ActionStartAttempt {
		a.Engine = decided.Grant.Engine
		a.FencingToken = decided.Grant.FencingToken
		a.Weights = decided.Weights
		a.Blocks = len(decided.PrefixKeys)
		a.TransferBlock = decided.TransferBlock + 1
		a.TransferNode = decided.TransferNode
	}
	return a
}

// dispatcherOutput is the result of a call of the dispatcher.
type dispatcherOutput struct {
	Actions   []action            `json:"acts,omitempty"`
	Rejection *dispatch.Rejection `json:"refused,omitempty"`
	Allowed   bool                `json:"allowed,omitempty"`
}

func newOutput(actions []dispatch.Action) dispatcherOutput {
	var output dispatcherOutput
	for _, decided := range actions {
		output.Actions = append(output.Actions, newAction(decided))
	}
	return output
}

// requestInput is the recorded form of a request: without the prompt, and with the number of
// the prompt's blocks in place of their keys, on which decisions don't depend.
type requestInput struct {
	dispatch.Request
	Prompt *string `json:"Prompt,omitempty"` // always nil; shadows Request.Prompt
	Blocks int     `json:"Rows"`
}

// attemptInput is the input of the calls that report on a request or one of its attempts.
type attemptInput struct {
	Ref       uint64             `json:"ref"`
	AttemptID string             `json:"attempt,omitempty"`
	State     attempt.State      `json:"state,omitempty"`
	Claim     attempt.ClaimState `json:"claim,omitempty"`
	Cause     string             `json:"why,omitempty"`
}

// ApplyPlan calls the dispatcher and records the call.
func (d *Dispatcher) ApplyPlan(now int64, cached *plan.Cached) []dispatch.Action {
	isNew := d.Writer != nil && d.PlanRevision() != cached.Revision
	input := newPlanInput(cached, isNew)
	actions := d.Dispatcher.ApplyPlan(now, cached.Plan, cached.ConfirmedAt)
	d.Writer.Record(now, eventPlan, input, newOutput(actions))
	return actions
}

// ApplyGrants calls the dispatcher and records the call.
func (d *Dispatcher) ApplyGrants(now int64, grants []dispatch.EngineGrant) []dispatch.Action {
	actions := d.Dispatcher.ApplyGrants(now, grants)
	d.Writer.Record(now, eventGrants, grants, newOutput(actions))
	return actions
}

// Admit calls the dispatcher and records the call.
func (d *Dispatcher) Admit(now int64, request dispatch.Request) ([]dispatch.Action, *dispatch.Rejection) {
	actions, rejection := d.Dispatcher.Admit(now, request)
	if d.Writer == nil {
		return actions, rejection
	}
	output := newOutput(actions)
	output.Rejection = rejection
	input := requestInput{Request: request, Blocks: len(request.PrefixKeys)}
	input.PrefixKeys = nil
	d.Writer.Record(now, eventAdmit, input, output)
	return actions, rejection
}

// ClaimAnswered calls the dispatcher and records the call.
func (d *Dispatcher) ClaimAnswered(now int64, ref uint64, claim attempt.ClaimState) []dispatch.Action {
	actions := d.Dispatcher.ClaimAnswered(now, ref, claim)
	d.Writer.Record(now, eventClaimAnswered, attemptInput{Ref: ref, Claim: claim}, newOutput(actions))
	return actions
}

// AttemptProgressed calls the dispatcher and records the call.
func (d *Dispatcher) AttemptProgressed(now int64, ref uint64, attemptID string, state attempt.State, cause string) []dispatch.Action {
	actions := d.Dispatcher.AttemptProgressed(now, ref, attemptID, state, cause)
	input := attemptInput{Ref: ref, AttemptID: attemptID, State: state, Cause: cause}
	d.Writer.Record(now, eventAttemptProgressed, input, newOutput(actions))
	return actions
}

// AllowFirstByte calls the dispatcher and records the call.
func (d *Dispatcher) AllowFirstByte(now int64, ref uint64, attemptID string) bool {
	allowed := d.Dispatcher.AllowFirstByte(ref, attemptID)
	d.Writer.Record(now, eventAllowFirstByte, attemptInput{Ref: ref, AttemptID: attemptID}, dispatcherOutput{Allowed: allowed})
	return allowed
}

// Stop calls the dispatcher and records the call.
func (d *Dispatcher) Stop(now int64, ref uint64, cause string) []dispatch.Action {
	actions := d.Dispatcher.Stop(now, ref, cause)
	d.Writer.Record(now, eventStop, attemptInput{Ref: ref, Cause: cause}, newOutput(actions))
	return actions
}

// Tick calls the dispatcher and records the call.
func (d *Dispatcher) Tick(now int64) []dispatch.Action {
	actions := d.Dispatcher.Tick(now)
	d.Writer.Record(now, eventTick, nil, newOutput(actions))
	return actions
}

// replay replays a recorded call.
func (d *Dispatcher) replay(event recording.Event) (dispatcherOutput, error) {
	switch event.Type {
	case eventPlan:
		return d.replayPlan(event)
	case eventGrants:
		grants, err := decodeInput[[]dispatch.EngineGrant](event)
		if err != nil {
			return dispatcherOutput{}, err
		}
		return newOutput(d.ApplyGrants(event.TimeUS, grants)), nil
	case eventAdmit:
		return d.replayAdmit(event)
	case eventTick:
		return newOutput(d.Tick(event.TimeUS)), nil
	}
	return d.replayAttempt(event)
}

func (d *Dispatcher) replayPlan(event recording.Event) (dispatcherOutput, error) {
	input, err := decodeInput[planInput](event)
	if err != nil {
		return dispatcherOutput{}, err
	}
	cached, err := input.cached(d.CurrentPlan())
	if err != nil {
		return dispatcherOutput{}, err
	}
	return newOutput(d.ApplyPlan(event.TimeUS, cached)), nil
}

func (d *Dispatcher) replayAdmit(event recording.Event) (dispatcherOutput, error) {
	input, err := decodeInput[requestInput](event)
	if err != nil {
		return dispatcherOutput{}, err
	}
	input.PrefixKeys = make([]cacheindex.Key, input.Blocks)
	actions, rejection := d.Admit(event.TimeUS, input.Request)
	output := newOutput(actions)
	output.Rejection = rejection
	return output, nil
}

// replayAttempt replays a call that reports on a request or one of its attempts.
func (d *Dispatcher) replayAttempt(event recording.Event) (dispatcherOutput, error) {
	input, err := decodeInput[attemptInput](event)
	if err != nil {
		return dispatcherOutput{}, err
	}
	switch event.Type {
	case eventClaimAnswered:
		return newOutput(d.ClaimAnswered(event.TimeUS, input.Ref, input.Claim)), nil
	case eventAttemptProgressed:
		return newOutput(d.AttemptProgressed(event.TimeUS, input.Ref, input.AttemptID, input.State, input.Cause)), nil
	case eventAllowFirstByte:
		return dispatcherOutput{Allowed: d.AllowFirstByte(event.TimeUS, input.Ref, input.AttemptID)}, nil
	}
	return newOutput(d.Stop(event.TimeUS, input.Ref, input.Cause)), nil
}
