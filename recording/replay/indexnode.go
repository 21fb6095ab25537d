package replay

import (
	"encoding/json"

	"violetthread/hint"
	"violetthread/index"
	"violetthread/plan"
	"violetthread/recording"
)

// Keeper is an index node's keeper that records what moves its decisions:
// plans, members, listings, leases, reports and demands in; lease operations,
// turns to other weights and standing orders out.
type IndexNode struct {
	*index.Keeper
	Writer *recording.Writer
}

type heldIn struct {
	Ask   index.DutyAsk `json:"Ask"`
	Asked int64         `json:"Asked"`
	OK    bool          `json:"OK"`
	Epoch uint64        `json:"Epoch"`
}

type reportIn struct {
	Asked  int64        `json:"Asked"`
	Engine string       `json:"Engine"`
	Report index.Report `json:"Report"`
}

type wholeIn struct {
	Engine string     `json:"Engine"`
	Inc    uint64     `json:"Inc"`
	Seq    uint64     `json:"Seq"`
	Parts  []hint.Key `json:"Parts"`
}

type listIn struct {
	At     int64          `json:"At"`
	List   []index.Listed `json:"List"`
	Stands bool           `json:"Stands,omitempty"`
}

// Plan records and passes on.
func (r *IndexNode) Plan(now int64, h *plan.Held) {
	in := planIn{Rev: h.Rev, At: h.At}
	if r.Writer != nil && r.Keeper.PlanRev() != h.Rev {
		in.Raw = string(h.Raw)
	}
	r.Keeper.Plan(h.Plan, h.At)
	r.Writer.Record(now, "plan", in, nil)
}

// Peers records and passes on.
func (r *IndexNode) Peers(now int64, cs []index.Custodian) {
	r.Keeper.Peers(cs)
	r.Writer.Record(now, "peers", cs, r.Keeper.Placement())
}

// Listing records and passes on.
func (r *IndexNode) Listing(now, at int64, ls []index.Listed) {
	r.Keeper.Listing(at, ls)
	r.Writer.Record(now, "listing", listIn{At: at, List: ls}, nil)
}

// ListingStands records and passes on.
func (r *IndexNode) ListingStands(now, at int64) {
	r.Keeper.ListingStands(at)
	r.Writer.Record(now, "listing", listIn{At: at, Stands: true}, nil)
}

// Want records and passes on.
func (r *IndexNode) Want(now int64) []index.DutyAsk {
	as := r.Keeper.Want(now)
	r.Writer.Record(now, "want", nil, as)
	return as
}

// Held records and passes on.
func (r *IndexNode) Held(now int64, a index.DutyAsk, asked int64, ok bool, epoch uint64) {
	r.Keeper.Held(now, a, asked, ok, epoch)
	r.Writer.Record(now, "held", heldIn{a, asked, ok, epoch}, nil)
}

// Polls records and passes on: asking an engine first makes it known.
func (r *IndexNode) Polls(now int64) []index.Poll {
	ps := r.Keeper.Polls(now)
	r.Writer.Record(now, "polls", nil, ps)
	return ps
}

// Turns records and passes on.
func (r *IndexNode) Turns(now int64) []index.Turn {
	ts := r.Keeper.Turns(now)
	r.Writer.Record(now, "turns", nil, ts)
	return ts
}

// Whole records and passes on.
func (r *IndexNode) Whole(now int64, name string, inc, seq uint64, parts []hint.Key) {
	r.Keeper.Whole(now, name, inc, seq, parts)
	r.Writer.Record(now, "whole", wholeIn{name, inc, seq, parts}, nil)
}

// Reported records and passes on.
func (r *IndexNode) Reported(now, asked int64, name string, x index.Report) {
	r.Keeper.Reported(now, asked, name, x)
	r.Writer.Record(now, "reported", reportIn{asked, name, x}, nil)
}

// Orders records and passes on.
func (r *IndexNode) Orders(now int64, a index.Ask) []index.Order {
	os := r.Keeper.Orders(now, a)
	r.Writer.Record(now, "orders", a, os)
	return os
}

// feedKeeper gives a recorded event to a keeper again.
func feedKeeper(r *IndexNode, l recording.Event) (any, error) {
	get := func(v any) error { return json.Unmarshal(l.Input, v) }
	switch l.Type {
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
		r.Plan(l.TimeUS, h)
	case "peers":
		var cs []index.Custodian
		if err := get(&cs); err != nil {
			return nil, err
		}
		r.Peers(l.TimeUS, cs)
		return r.Placement(), nil
	case "listing":
		var in listIn
		if err := get(&in); err != nil {
			return nil, err
		}
		if in.Stands {
			r.ListingStands(l.TimeUS, in.At)
		} else {
			r.Listing(l.TimeUS, in.At, in.List)
		}
	case "want":
		return r.Want(l.TimeUS), nil
	case "held":
		var in heldIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.Held(l.TimeUS, in.Ask, in.Asked, in.OK, in.Epoch)
	case "polls":
		return r.Polls(l.TimeUS), nil
	case "turns":
		return r.Turns(l.TimeUS), nil
	case "whole":
		var in wholeIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.Whole(l.TimeUS, in.Engine, in.Inc, in.Seq, in.Parts)
	case "reported":
		var in reportIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.Reported(l.TimeUS, in.Asked, in.Engine, in.Report)
	case "orders":
		var in index.Ask
		if err := get(&in); err != nil {
			return nil, err
		}
		return r.Orders(l.TimeUS, in), nil
	}
	return nil, nil
}
