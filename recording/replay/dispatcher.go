// Package reel puts deciding parts on tape and feeds tapes back to them.
package replay

import (
	"encoding/json"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/plan"
	"violetthread/recording"
)

// Desk is a proxy's desk that records what goes in and what comes out.
type Dispatcher struct {
	*dispatch.Dispatcher
	Writer *recording.Writer
}

// act is a decision as a tape shows it: no prompt, and keys as a count.
type act struct {
	Do      dispatch.ActionType `json:"do"`
	Ref     uint64              `json:"ref,omitempty"`
	ID      string              `json:"id,omitempty"`
	Attempt string              `json:"attempt,omitempty"`
	Engine  string              `json:"engine,omitempty"`
	Epoch   uint64              `json:"epoch,omitempty"`
	Weights string              `json:"weights,omitempty"`
	Parts   int                 `json:"parts,omitempty"`
	Take    int                 `json:"take,omitempty"` // part and 1; 0 for none
	Peer    uint64              `json:"peer,omitempty"`
	Outcome attempt.Outcome     `json:"outcome,omitempty"`
	Reason  string              `json:"reason,omitempty"`
	Back    int64               `json:"back,omitempty"`
	Until   int64               `json:"until,omitempty"`
}

type decided struct {
	Acts    []act               `json:"acts,omitempty"`
	Refused *dispatch.Rejection `json:"refused,omitempty"`
	Allowed bool                `json:"allowed,omitempty"`
}

func show(as []dispatch.Action) decided {
	var d decided
	for _, a := range as {
		x := act{Do: a.Type, Ref: a.Ref, ID: a.RequestID, Attempt: a.AttemptID, Outcome: a.Outcome, Reason: a.Reason, Back: a.RetryAfterUS, Until: a.StartBefore}
		if a.Type == dispatch.ActionStartAttempt {
			x.Engine, x.Epoch, x.Weights, x.Parts, x.Take, x.Peer = a.Grant.Engine, a.Grant.FencingToken, a.Weights, len(a.Chain), a.TransferBlock+1, a.TransferNode
		}
		d.Acts = append(d.Acts, x)
	}
	return d
}

type planIn struct {
	Rev uint64 `json:"rev"`
	At  int64  `json:"at"`
	Raw string `json:"plan,omitempty"` // the register's value, seal and all
}

type noteIn struct {
	Ref     uint64             `json:"ref"`
	Attempt string             `json:"attempt,omitempty"`
	State   attempt.State      `json:"state,omitempty"`
	Claim   attempt.ClaimState `json:"claim,omitempty"`
	Why     string             `json:"why,omitempty"`
}

type ticketIn struct {
	dispatch.Request
	Prompt *string `json:"Prompt,omitempty"` // hides the caller's words
	Rows   int     `json:"Rows"`             // length of the chain; its keys are not needed to decide
}

// Plan records and passes on.
func (r *Dispatcher) ApplyPlan(now int64, h *plan.Cached) []dispatch.Action {
	in := planIn{Rev: h.Revision, At: h.ConfirmedAt}
	if r.Writer != nil && r.planRev() != h.Revision {
		in.Raw = string(h.Raw)
	}
	as := r.Dispatcher.ApplyPlan(now, h.Plan, h.ConfirmedAt)
	r.Writer.Record(now, "plan", in, show(as))
	return as
}

func (r *Dispatcher) planRev() uint64 { return r.Dispatcher.PlanRevision() }

// Orders records and passes on.
func (r *Dispatcher) ApplyGrants(now int64, os []dispatch.EngineGrant) []dispatch.Action {
	as := r.Dispatcher.ApplyGrants(now, os)
	r.Writer.Record(now, "orders", os, show(as))
	return as
}

// Arrive records and passes on.
func (r *Dispatcher) Admit(now int64, t dispatch.Request) ([]dispatch.Action, *dispatch.Rejection) {
	as, no := r.Dispatcher.Admit(now, t)
	if r.Writer != nil {
		d := show(as)
		d.Refused = no
		in := ticketIn{Request: t, Rows: len(t.Chain)}
		in.Chain = nil
		r.Writer.Record(now, "arrive", in, d)
	}
	return as, no
}

// Claimed records and passes on.
func (r *Dispatcher) ClaimAnswered(now int64, ref uint64, c attempt.ClaimState) []dispatch.Action {
	as := r.Dispatcher.ClaimAnswered(now, ref, c)
	r.Writer.Record(now, "claimed", noteIn{Ref: ref, Claim: c}, show(as))
	return as
}

// Note records and passes on.
func (r *Dispatcher) AttemptProgressed(now int64, ref uint64, attempt string, s attempt.State, cause string) []dispatch.Action {
	as := r.Dispatcher.AttemptProgressed(now, ref, attempt, s, cause)
	r.Writer.Record(now, "note", noteIn{ref, attempt, s, 0, cause}, show(as))
	return as
}

// Out records and passes on.
func (r *Dispatcher) AllowFirstByte(now int64, ref uint64, attempt string) bool {
	ok := r.Dispatcher.AllowFirstByte(ref, attempt)
	r.Writer.Record(now, "out", noteIn{Ref: ref, Attempt: attempt}, decided{Allowed: ok})
	return ok
}

// Stop records and passes on.
func (r *Dispatcher) Stop(now int64, ref uint64, why string) []dispatch.Action {
	as := r.Dispatcher.Stop(now, ref, why)
	r.Writer.Record(now, "stop", noteIn{Ref: ref, Why: why}, show(as))
	return as
}

// Tick records and passes on.
func (r *Dispatcher) Tick(now int64) []dispatch.Action {
	as := r.Dispatcher.Tick(now)
	r.Writer.Record(now, "tick", nil, show(as))
	return as
}

// feedDesk gives a recorded event to a desk again.
func feedDesk(r *Dispatcher, l recording.Event) (decided, error) {
	var n noteIn
	switch l.Type {
	case "plan":
		var in planIn
		if err := json.Unmarshal(l.Input, &in); err != nil {
			return decided{}, err
		}
		h := &plan.Cached{Revision: in.Rev, ConfirmedAt: in.At, Plan: r.CurrentPlan()}
		if len(in.Raw) > 0 {
			p, err := plan.Load([]byte(in.Raw), in.Rev)
			if err != nil {
				return decided{}, err
			}
			h.Plan = p
		}
		return show(r.ApplyPlan(l.TimeUS, h)), nil
	case "orders":
		var os []dispatch.EngineGrant
		if err := json.Unmarshal(l.Input, &os); err != nil {
			return decided{}, err
		}
		return show(r.ApplyGrants(l.TimeUS, os)), nil
	case "arrive":
		var in ticketIn
		if err := json.Unmarshal(l.Input, &in); err != nil {
			return decided{}, err
		}
		in.Request.Chain = make([]cacheindex.Key, in.Rows)
		as, no := r.Admit(l.TimeUS, in.Request)
		d := show(as)
		d.Refused = no
		return d, nil
	case "tick":
		return show(r.Tick(l.TimeUS)), nil
	}
	if err := json.Unmarshal(l.Input, &n); err != nil {
		return decided{}, err
	}
	switch l.Type {
	case "claimed":
		return show(r.ClaimAnswered(l.TimeUS, n.Ref, n.Claim)), nil
	case "note":
		return show(r.AttemptProgressed(l.TimeUS, n.Ref, n.Attempt, n.State, n.Why)), nil
	case "out":
		return decided{Allowed: r.AllowFirstByte(l.TimeUS, n.Ref, n.Attempt)}, nil
	}
	return show(r.Stop(l.TimeUS, n.Ref, n.Why)), nil
}
