// Package reel puts deciding parts on tape and feeds tapes back to them.
package replay

import (
	"encoding/json"

	"violetthread/attempt"
	"violetthread/dispatch"
	"violetthread/hint"
	"violetthread/plan"
	"violetthread/recording"
)

// Desk is a proxy's desk that records what goes in and what comes out.
type Dispatcher struct {
	*dispatch.Desk
	Writer *recording.Writer
}

// act is a decision as a tape shows it: no prompt, and keys as a count.
type act struct {
	Do      dispatch.Do     `json:"do"`
	Ref     uint64          `json:"ref,omitempty"`
	ID      string          `json:"id,omitempty"`
	Attempt string          `json:"attempt,omitempty"`
	Engine  string          `json:"engine,omitempty"`
	Epoch   uint64          `json:"epoch,omitempty"`
	Weights string          `json:"weights,omitempty"`
	Parts   int             `json:"parts,omitempty"`
	Take    int             `json:"take,omitempty"` // part and 1; 0 for none
	Peer    uint64          `json:"peer,omitempty"`
	Outcome attempt.Outcome `json:"outcome,omitempty"`
	Reason  string          `json:"reason,omitempty"`
	Back    int64           `json:"back,omitempty"`
	Until   int64           `json:"until,omitempty"`
}

type decided struct {
	Acts    []act             `json:"acts,omitempty"`
	Refused *dispatch.Refusal `json:"refused,omitempty"`
	Allowed bool              `json:"allowed,omitempty"`
}

func show(as []dispatch.Act) decided {
	var d decided
	for _, a := range as {
		x := act{Do: a.Do, Ref: a.Ref, ID: a.ID, Attempt: a.Attempt, Outcome: a.Outcome, Reason: a.Reason, Back: a.Back, Until: a.Until}
		if a.Do == dispatch.DoStart {
			x.Engine, x.Epoch, x.Weights, x.Parts, x.Take, x.Peer = a.Order.Engine, a.Order.Epoch, a.Weights, len(a.Chain), a.Take+1, a.Peer
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
	Ref     uint64        `json:"ref"`
	Attempt string        `json:"attempt,omitempty"`
	State   attempt.State `json:"state,omitempty"`
	Claim   attempt.Claim `json:"claim,omitempty"`
	Why     string        `json:"why,omitempty"`
}

type ticketIn struct {
	dispatch.Ticket
	Prompt *string `json:"Prompt,omitempty"` // hides the caller's words
	Rows   int     `json:"Rows"`             // length of the chain; its keys are not needed to decide
}

// Plan records and passes on.
func (r *Dispatcher) Plan(now int64, h *plan.Held) []dispatch.Act {
	in := planIn{Rev: h.Rev, At: h.At}
	if r.Writer != nil && r.planRev() != h.Rev {
		in.Raw = string(h.Raw)
	}
	as := r.Desk.Plan(now, h.Plan, h.At)
	r.Writer.Record(now, "plan", in, show(as))
	return as
}

func (r *Dispatcher) planRev() uint64 { return r.Desk.PlanRev() }

// Orders records and passes on.
func (r *Dispatcher) Orders(now int64, os []dispatch.Order) []dispatch.Act {
	as := r.Desk.Orders(now, os)
	r.Writer.Record(now, "orders", os, show(as))
	return as
}

// Arrive records and passes on.
func (r *Dispatcher) Arrive(now int64, t dispatch.Ticket) ([]dispatch.Act, *dispatch.Refusal) {
	as, no := r.Desk.Arrive(now, t)
	if r.Writer != nil {
		d := show(as)
		d.Refused = no
		in := ticketIn{Ticket: t, Rows: len(t.Chain)}
		in.Chain = nil
		r.Writer.Record(now, "arrive", in, d)
	}
	return as, no
}

// Claimed records and passes on.
func (r *Dispatcher) Claimed(now int64, ref uint64, c attempt.Claim) []dispatch.Act {
	as := r.Desk.Claimed(now, ref, c)
	r.Writer.Record(now, "claimed", noteIn{Ref: ref, Claim: c}, show(as))
	return as
}

// Note records and passes on.
func (r *Dispatcher) Note(now int64, ref uint64, attempt string, s attempt.State, cause string) []dispatch.Act {
	as := r.Desk.Note(now, ref, attempt, s, cause)
	r.Writer.Record(now, "note", noteIn{ref, attempt, s, 0, cause}, show(as))
	return as
}

// Out records and passes on.
func (r *Dispatcher) Out(now int64, ref uint64, attempt string) bool {
	ok := r.Desk.Out(ref, attempt)
	r.Writer.Record(now, "out", noteIn{Ref: ref, Attempt: attempt}, decided{Allowed: ok})
	return ok
}

// Stop records and passes on.
func (r *Dispatcher) Stop(now int64, ref uint64, why string) []dispatch.Act {
	as := r.Desk.Stop(now, ref, why)
	r.Writer.Record(now, "stop", noteIn{Ref: ref, Why: why}, show(as))
	return as
}

// Tick records and passes on.
func (r *Dispatcher) Tick(now int64) []dispatch.Act {
	as := r.Desk.Tick(now)
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
		h := &plan.Held{Rev: in.Rev, At: in.At, Plan: r.PlanHeld()}
		if len(in.Raw) > 0 {
			p, err := plan.Load([]byte(in.Raw), in.Rev)
			if err != nil {
				return decided{}, err
			}
			h.Plan = p
		}
		return show(r.Plan(l.TimeUS, h)), nil
	case "orders":
		var os []dispatch.Order
		if err := json.Unmarshal(l.Input, &os); err != nil {
			return decided{}, err
		}
		return show(r.Orders(l.TimeUS, os)), nil
	case "arrive":
		var in ticketIn
		if err := json.Unmarshal(l.Input, &in); err != nil {
			return decided{}, err
		}
		in.Ticket.Chain = make([]hint.Key, in.Rows)
		as, no := r.Arrive(l.TimeUS, in.Ticket)
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
		return show(r.Claimed(l.TimeUS, n.Ref, n.Claim)), nil
	case "note":
		return show(r.Note(l.TimeUS, n.Ref, n.Attempt, n.State, n.Why)), nil
	case "out":
		return decided{Allowed: r.Out(l.TimeUS, n.Ref, n.Attempt)}, nil
	}
	return show(r.Stop(l.TimeUS, n.Ref, n.Why)), nil
}
