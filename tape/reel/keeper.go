package reel

import (
	"encoding/json"

	"violetthread/hint"
	"violetthread/index"
	"violetthread/plan"
	"violetthread/tape"
)

// Keeper is an index node's keeper that records what moves its decisions:
// plans, members, listings, leases, reports and demands in; lease operations,
// turns to other weights and standing orders out.
type Keeper struct {
	*index.Keeper
	W *tape.Writer
}

type heldIn struct {
	Ask   index.DutyAsk
	Asked int64
	OK    bool
	Epoch uint64
}

type reportIn struct {
	Asked  int64
	Engine string
	Report index.Report
}

type wholeIn struct {
	Engine   string
	Inc, Seq uint64
	Parts    []hint.Key
}

type listIn struct {
	At     int64
	List   []index.Listed
	Stands bool `json:",omitempty"`
}

// Plan records and passes on.
func (r *Keeper) Plan(now int64, h *plan.Held) {
	in := planIn{Rev: h.Rev, At: h.At}
	if r.W != nil && r.Keeper.PlanRev() != h.Rev {
		in.Raw = string(h.Raw)
	}
	r.Keeper.Plan(h.Plan, h.At)
	r.W.Put(now, "plan", in, nil)
}

// Peers records and passes on.
func (r *Keeper) Peers(now int64, cs []index.Custodian) {
	r.Keeper.Peers(cs)
	r.W.Put(now, "peers", cs, r.Keeper.Placement())
}

// Listing records and passes on.
func (r *Keeper) Listing(now, at int64, ls []index.Listed) {
	r.Keeper.Listing(at, ls)
	r.W.Put(now, "listing", listIn{At: at, List: ls}, nil)
}

// ListingStands records and passes on.
func (r *Keeper) ListingStands(now, at int64) {
	r.Keeper.ListingStands(at)
	r.W.Put(now, "listing", listIn{At: at, Stands: true}, nil)
}

// Want records and passes on.
func (r *Keeper) Want(now int64) []index.DutyAsk {
	as := r.Keeper.Want(now)
	r.W.Put(now, "want", nil, as)
	return as
}

// Held records and passes on.
func (r *Keeper) Held(now int64, a index.DutyAsk, asked int64, ok bool, epoch uint64) {
	r.Keeper.Held(now, a, asked, ok, epoch)
	r.W.Put(now, "held", heldIn{a, asked, ok, epoch}, nil)
}

// Polls records and passes on: asking an engine first makes it known.
func (r *Keeper) Polls(now int64) []index.Poll {
	ps := r.Keeper.Polls(now)
	r.W.Put(now, "polls", nil, ps)
	return ps
}

// Turns records and passes on.
func (r *Keeper) Turns(now int64) []index.Turn {
	ts := r.Keeper.Turns(now)
	r.W.Put(now, "turns", nil, ts)
	return ts
}

// Whole records and passes on.
func (r *Keeper) Whole(now int64, name string, inc, seq uint64, parts []hint.Key) {
	r.Keeper.Whole(now, name, inc, seq, parts)
	r.W.Put(now, "whole", wholeIn{name, inc, seq, parts}, nil)
}

// Reported records and passes on.
func (r *Keeper) Reported(now, asked int64, name string, x index.Report) {
	r.Keeper.Reported(now, asked, name, x)
	r.W.Put(now, "reported", reportIn{asked, name, x}, nil)
}

// Orders records and passes on.
func (r *Keeper) Orders(now int64, a index.Ask) []index.Order {
	os := r.Keeper.Orders(now, a)
	r.W.Put(now, "orders", a, os)
	return os
}

// feedKeeper gives a recorded event to a keeper again.
func feedKeeper(r *Keeper, l tape.Line) (any, error) {
	get := func(v any) error { return json.Unmarshal(l.In, v) }
	switch l.Kind {
	case "plan":
		var in planIn
		if err := get(&in); err != nil {
			return nil, err
		}
		h := &plan.Held{Rev: in.Rev, At: in.At, Plan: r.PlanHeld()}
		if len(in.Raw) > 0 {
			p, err := plan.Load([]byte(in.Raw), in.Rev)
			if err != nil {
				return nil, err
			}
			h.Plan = p
		}
		r.Plan(l.At, h)
	case "peers":
		var cs []index.Custodian
		if err := get(&cs); err != nil {
			return nil, err
		}
		r.Peers(l.At, cs)
		return r.Placement(), nil
	case "listing":
		var in listIn
		if err := get(&in); err != nil {
			return nil, err
		}
		if in.Stands {
			r.ListingStands(l.At, in.At)
		} else {
			r.Listing(l.At, in.At, in.List)
		}
	case "want":
		return r.Want(l.At), nil
	case "held":
		var in heldIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.Held(l.At, in.Ask, in.Asked, in.OK, in.Epoch)
	case "polls":
		return r.Polls(l.At), nil
	case "turns":
		return r.Turns(l.At), nil
	case "whole":
		var in wholeIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.Whole(l.At, in.Engine, in.Inc, in.Seq, in.Parts)
	case "reported":
		var in reportIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.Reported(l.At, in.Asked, in.Engine, in.Report)
	case "orders":
		var in index.Ask
		if err := get(&in); err != nil {
			return nil, err
		}
		return r.Orders(l.At, in), nil
	}
	return nil, nil
}
