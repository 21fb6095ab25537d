package reel

import (
	"encoding/json"

	"violetthread/cacheindex"
	"violetthread/index"
	"violetthread/plan"
	"violetthread/tape"
)

// Keeper is an index node's keeper that records what moves its decisions:
// plans, members, listings, leases, reports and demands in; lease operations,
// turns to other weights and standing orders out.
type Keeper struct {
	*index.Node
	W *tape.Writer
}

type heldIn struct {
	Ask   index.LeaseOp
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
	Parts    []cacheindex.Key
}

type listIn struct {
	At     int64
	List   []index.ListedEngine
	Stands bool `json:",omitempty"`
}

// Plan records and passes on.
func (r *Keeper) ApplyPlan(now int64, h *plan.Cached) {
	in := planIn{Rev: h.Revision, At: h.ConfirmedAt}
	if r.W != nil && r.Node.PlanRevision() != h.Revision {
		in.Raw = string(h.Raw)
	}
	r.Node.ApplyPlan(h.Plan, h.ConfirmedAt)
	r.W.Put(now, "plan", in, nil)
}

// Peers records and passes on.
func (r *Keeper) SetPeers(now int64, cs []index.Peer) {
	r.Node.SetPeers(cs)
	r.W.Put(now, "peers", cs, r.Node.Placement())
}

// Listing records and passes on.
func (r *Keeper) SetListing(now, at int64, ls []index.ListedEngine) {
	r.Node.SetListing(at, ls)
	r.W.Put(now, "listing", listIn{At: at, List: ls}, nil)
}

// ListingStands records and passes on.
func (r *Keeper) ConfirmListing(now, at int64) {
	r.Node.ConfirmListing(at)
	r.W.Put(now, "listing", listIn{At: at, Stands: true}, nil)
}

// Want records and passes on.
func (r *Keeper) LeaseOps(now int64) []index.LeaseOp {
	as := r.Node.LeaseOps(now)
	r.W.Put(now, "want", nil, as)
	return as
}

// Held records and passes on.
func (r *Keeper) LeaseAnswered(now int64, a index.LeaseOp, asked int64, ok bool, epoch uint64) {
	r.Node.LeaseAnswered(now, a, asked, ok, epoch)
	r.W.Put(now, "held", heldIn{a, asked, ok, epoch}, nil)
}

// Polls records and passes on: asking an engine first makes it known.
func (r *Keeper) Polls(now int64) []index.Poll {
	ps := r.Node.Polls(now)
	r.W.Put(now, "polls", nil, ps)
	return ps
}

// Turns records and passes on.
func (r *Keeper) WeightUpdates(now int64) []index.WeightUpdate {
	ts := r.Node.WeightUpdates(now)
	r.W.Put(now, "turns", nil, ts)
	return ts
}

// Whole records and passes on.
func (r *Keeper) ResetHoldings(now int64, name string, inc, seq uint64, parts []cacheindex.Key) {
	r.Node.ResetHoldings(now, name, inc, seq, parts)
	r.W.Put(now, "whole", wholeIn{name, inc, seq, parts}, nil)
}

// Reported records and passes on.
func (r *Keeper) ApplyReport(now, asked int64, name string, x index.Report) {
	r.Node.ApplyReport(now, asked, name, x)
	r.W.Put(now, "reported", reportIn{asked, name, x}, nil)
}

// Orders records and passes on.
func (r *Keeper) IssueGrants(now int64, a index.GrantRequest) []index.EngineGrant {
	os := r.Node.IssueGrants(now, a)
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
		h := &plan.Cached{Revision: in.Rev, ConfirmedAt: in.At, Plan: r.CurrentPlan()}
		if len(in.Raw) > 0 {
			p, err := plan.Load([]byte(in.Raw), in.Rev)
			if err != nil {
				return nil, err
			}
			h.Plan = p
		}
		r.ApplyPlan(l.At, h)
	case "peers":
		var cs []index.Peer
		if err := get(&cs); err != nil {
			return nil, err
		}
		r.SetPeers(l.At, cs)
		return r.Placement(), nil
	case "listing":
		var in listIn
		if err := get(&in); err != nil {
			return nil, err
		}
		if in.Stands {
			r.ConfirmListing(l.At, in.At)
		} else {
			r.SetListing(l.At, in.At, in.List)
		}
	case "want":
		return r.LeaseOps(l.At), nil
	case "held":
		var in heldIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.LeaseAnswered(l.At, in.Ask, in.Asked, in.OK, in.Epoch)
	case "polls":
		return r.Polls(l.At), nil
	case "turns":
		return r.WeightUpdates(l.At), nil
	case "whole":
		var in wholeIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.ResetHoldings(l.At, in.Engine, in.Inc, in.Seq, in.Parts)
	case "reported":
		var in reportIn
		if err := get(&in); err != nil {
			return nil, err
		}
		r.ApplyReport(l.At, in.Asked, in.Engine, in.Report)
	case "orders":
		var in index.GrantRequest
		if err := get(&in); err != nil {
			return nil, err
		}
		return r.IssueGrants(l.At, in), nil
	}
	return nil, nil
}
