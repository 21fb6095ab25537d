package replay

import (
	"encoding/json"

	"violetthread/cacheindex"
	"violetthread/index"
	"violetthread/plan"
	"violetthread/recording"
)

// Keeper is an index node's keeper that records what moves its decisions:
// plans, members, listings, leases, reports and demands in; lease operations,
// turns to other weights and standing orders out.
type IndexNode struct {
	*index.Node
	Writer *recording.Writer
}

type heldIn struct {
	Ask   index.LeaseOp `json:"Ask"`
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
	Engine string           `json:"Engine"`
	Inc    uint64           `json:"Inc"`
	Seq    uint64           `json:"Seq"`
	Parts  []cacheindex.Key `json:"Parts"`
}

type listIn struct {
	At     int64                `json:"At"`
	List   []index.ListedEngine `json:"List"`
	Stands bool                 `json:"Stands,omitempty"`
}

// Plan records and passes on.
func (r *IndexNode) ApplyPlan(now int64, h *plan.Cached) {
	in := planIn{Rev: h.Revision, At: h.ConfirmedAt}
	if r.Writer != nil && r.Node.PlanRevision() != h.Revision {
		in.Raw = string(h.Raw)
	}
	r.Node.ApplyPlan(h.Plan, h.ConfirmedAt)
	r.Writer.Record(now, "plan", in, nil)
}

// Peers records and passes on.
func (r *IndexNode) SetPeers(now int64, cs []index.Peer) {
	r.Node.SetPeers(cs)
	r.Writer.Record(now, "peers", cs, r.Node.Placement())
}

// Listing records and passes on.
func (r *IndexNode) SetListing(now, at int64, ls []index.ListedEngine) {
	r.Node.SetListing(at, ls)
	r.Writer.Record(now, "listing", listIn{At: at, List: ls}, nil)
}

// ListingStands records and passes on.
func (r *IndexNode) ConfirmListing(now, at int64) {
	r.Node.ConfirmListing(at)
	r.Writer.Record(now, "listing", listIn{At: at, Stands: true}, nil)
}

// Want records and passes on.
func (r *IndexNode) LeaseOps(now int64) []index.LeaseOp {
	as := r.Node.LeaseOps(now)
	r.Writer.Record(now, "want", nil, as)
	return as
}

// Held records and passes on.
func (r *IndexNode) LeaseAnswered(now int64, a index.LeaseOp, asked int64, ok bool, epoch uint64) {
	r.Node.LeaseAnswered(now, a, asked, ok, epoch)
	r.Writer.Record(now, "held", heldIn{a, asked, ok, epoch}, nil)
}

// Polls records and passes on: asking an engine first makes it known.
func (r *IndexNode) Polls(now int64) []index.Poll {
	ps := r.Node.Polls(now)
	r.Writer.Record(now, "polls", nil, ps)
	return ps
}

// Turns records and passes on.
func (r *IndexNode) WeightUpdates(now int64) []index.WeightUpdate {
	ts := r.Node.WeightUpdates(now)
	r.Writer.Record(now, "turns", nil, ts)
	return ts
}

// Whole records and passes on.
func (r *IndexNode) ResetHoldings(now int64, name string, inc, seq uint64, parts []cacheindex.Key) {
	r.Node.ResetHoldings(now, name, inc, seq, parts)
	r.Writer.Record(now, "whole", wholeIn{name, inc, seq, parts}, nil)
}

// Reported records and passes on.
func (r *IndexNode) ApplyReport(now, asked int64, name string, x index.Report) {
	r.Node.ApplyReport(now, asked, name, x)
	r.Writer.Record(now, "reported", reportIn{asked, name, x}, nil)
}

// Orders records and passes on.
func (r *IndexNode) IssueGrants(now int64, a index.GrantRequest) []index.EngineGrant {
	os := r.Node.IssueGrants(now, a)
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
		h := &plan.Cached{Revision: in.Rev, ConfirmedAt: in.At, Plan: r.CurrentPlan()}
		if len(in.Raw) > 0 {
			p, err := plan.Load([]byte(in.Raw), in.Rev)
			if err != nil {
				return nil, err
			}
			h.Plan = p
		}
		r.ApplyPlan(l.TimeUS, h)
	case "peers":
		var cs []index.Peer
		if err := get(&cs); err != nil {
			return nil, err
		}
		r.SetPeers(l.TimeUS, cs)
		return r.Placement(), nil
	case "listing":
		var in listIn
		if err := get(&in); err != nil {
			return nil, err
		}
		if in.Stands {
			r.ConfirmListing(l.TimeUS, in.At)
		} else {
			r.SetListing(l.TimeUS, in.At, in.List)
		}
	case "want":
		return r.LeaseOps(l.TimeUS), nil
	case "held":
		var in heldIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.LeaseAnswered(l.TimeUS, in.Ask, in.Asked, in.OK, in.Epoch)
	case "polls":
		return r.Polls(l.TimeUS), nil
	case "turns":
		return r.WeightUpdates(l.TimeUS), nil
	case "whole":
		var in wholeIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.ResetHoldings(l.TimeUS, in.Engine, in.Inc, in.Seq, in.Parts)
	case "reported":
		var in reportIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.ApplyReport(l.TimeUS, in.Asked, in.Engine, in.Report)
	case "orders":
		var in index.GrantRequest
		if err := get(&in); err != nil {
			return nil, err
		}
		return r.IssueGrants(l.TimeUS, in), nil
	}
	return nil, nil
}
