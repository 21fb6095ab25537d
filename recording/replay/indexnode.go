package replay

import (
	"violetthread/cacheindex"
	"violetthread/index"
	"violetthread/plan"
	"violetthread/recording"
)

// Types of the index node's events, in addition to eventPlan. The values are stored in
// recordings.
const (
	eventPeers         = "peers"
	eventListing       = "listing"
	eventLeaseOps      = "want"
	eventLeaseAnswered = "held"
	eventPolls         = "polls"
	eventWeightUpdates = "turns"
	eventResetHoldings = "whole"
	eventReport        = "reported"
	eventIssueGrants   = "orders"
)

// IndexNode is an index node whose calls are recorded as far as they affect the recorded
// decisions. Inputs are plans, peers, listings, results of lease operations, holdings, reports
// and grant requests; outputs are the placement, lease operations, polls, weight updates and
// grants. As in index.Node, now is the time since boot in microseconds.
type IndexNode struct {
	*index.Node
	Writer *recording.Writer // nil records nothing
}

// listingInput is the platform's list of engines, or the information that it is unchanged.
type listingInput struct {
	ListedAt  int64                `json:"At"` // time since boot in microseconds
	Engines   []index.ListedEngine `json:"List"`
	Unchanged bool                 `json:"Stands,omitempty"`
}

// leaseInput is the result of a lease operation.
type leaseInput struct {
	Op      index.LeaseOp `json:"Ask"`
	AskedAt int64         `json:"Asked"` // time since boot in microseconds
	OK      bool          `json:"OK"`
	Token   uint64        `json:"Epoch"`
}

// holdingsInput has all blocks that an engine has cached.
type holdingsInput struct {
	Engine      string           `json:"Engine"`
	Incarnation uint64           `json:"Inc"`
	Seq         uint64           `json:"Seq"`
	Blocks      []cacheindex.Key `json:"Parts"`
}

// reportInput is an engine's answer to a poll.
type reportInput struct {
	AskedAt int64        `json:"Asked"` // time since boot in microseconds
	Engine  string       `json:"Engine"`
	Report  index.Report `json:"Report"`
}

// ApplyPlan calls the index node and records the call.
func (n *IndexNode) ApplyPlan(now int64, cached *plan.Cached) {
	isNew := n.Writer != nil && n.PlanRevision() != cached.Revision
	input := newPlanInput(cached, isNew)
	n.Node.ApplyPlan(cached.Plan, cached.ConfirmedAt)
	n.Writer.Record(now, eventPlan, input, nil)
}

// SetPeers calls the index node and records the call, with the resulting placement as output.
func (n *IndexNode) SetPeers(now int64, peers []index.Peer) {
	n.Node.SetPeers(peers)
	n.Writer.Record(now, eventPeers, peers, n.Placement())
}

// SetListing calls the index node and records the call.
func (n *IndexNode) SetListing(now, listedAt int64, engines []index.ListedEngine) {
	n.Node.SetListing(listedAt, engines)
	n.Writer.Record(now, eventListing, listingInput{ListedAt: listedAt, Engines: engines}, nil)
}

// ConfirmListing calls the index node and records the call.
func (n *IndexNode) ConfirmListing(now, listedAt int64) {
	n.Node.ConfirmListing(listedAt)
	n.Writer.Record(now, eventListing, listingInput{ListedAt: listedAt, Unchanged: true}, nil)
}

// LeaseOps calls the index node and records the call.
func (n *IndexNode) LeaseOps(now int64) []index.LeaseOp {
	ops := n.Node.LeaseOps(now)
	n.Writer.Record(now, eventLeaseOps, nil, ops)
	return ops
}

// LeaseAnswered calls the index node and records the call.
func (n *IndexNode) LeaseAnswered(now int64, op index.LeaseOp, askedAt int64, ok bool, token uint64) {
	n.Node.LeaseAnswered(now, op, askedAt, ok, token)
	n.Writer.Record(now, eventLeaseAnswered, leaseInput{op, askedAt, ok, token}, nil)
}

// Polls calls the index node and records the call. It must be replayed, because it creates the
// state of engines that are polled for the first time.
func (n *IndexNode) Polls(now int64) []index.Poll {
	polls := n.Node.Polls(now)
	n.Writer.Record(now, eventPolls, nil, polls)
	return polls
}

// WeightUpdates calls the index node and records the call.
func (n *IndexNode) WeightUpdates(now int64) []index.WeightUpdate {
	updates := n.Node.WeightUpdates(now)
	n.Writer.Record(now, eventWeightUpdates, nil, updates)
	return updates
}

// ResetHoldings calls the index node and records the call.
func (n *IndexNode) ResetHoldings(now int64, engine string, incarnation, seq uint64, blocks []cacheindex.Key) {
	n.Node.ResetHoldings(now, engine, incarnation, seq, blocks)
	n.Writer.Record(now, eventResetHoldings, holdingsInput{engine, incarnation, seq, blocks}, nil)
}

// ApplyReport calls the index node and records the call.
func (n *IndexNode) ApplyReport(now, askedAt int64, engine string, report index.Report) {
	n.Node.ApplyReport(now, askedAt, engine, report)
	n.Writer.Record(now, eventReport, reportInput{askedAt, engine, report}, nil)
}

// IssueGrants calls the index node and records the call.
func (n *IndexNode) IssueGrants(now int64, request index.GrantRequest) []index.EngineGrant {
	grants := n.Node.IssueGrants(now, request)
	n.Writer.Record(now, eventIssueGrants, request, grants)
	return grants
}

// replay replays a recorded call.
func (n *IndexNode) replay(event recording.Event) (output any, err error) {
	now := event.TimeUS
	switch event.Type {
	case eventPeers:
		err = replayCall(event, func(peers []index.Peer) { n.SetPeers(now, peers) })
		return n.Placement(), err
	case eventLeaseOps:
		return n.LeaseOps(now), nil
	case eventPolls:
		return n.Polls(now), nil
	case eventWeightUpdates:
		return n.WeightUpdates(now), nil
	case eventIssueGrants:
		var grants []index.EngineGrant
		err = replayCall(event, func(request index.GrantRequest) { grants = n.IssueGrants(now, request) })
		return grants, err
	}
	return nil, n.replayInput(event)
}

// replayInput replays a call that has no result.
func (n *IndexNode) replayInput(event recording.Event) error {
	now := event.TimeUS
	switch event.Type {
	case eventPlan:
		return n.replayPlan(event)
	case eventListing:
		return replayCall(event, func(input listingInput) {
			if input.Unchanged {
				n.ConfirmListing(now, input.ListedAt)
			} else {
				n.SetListing(now, input.ListedAt, input.Engines)
			}
		})
	case eventLeaseAnswered:
		return replayCall(event, func(input leaseInput) {
			n.LeaseAnswered(now, input.Op, input.AskedAt, input.OK, input.Token)
		})
	case eventResetHoldings:
		return replayCall(event, func(input holdingsInput) {
			n.ResetHoldings(now, input.Engine, input.Incarnation, input.Seq, input.Blocks)
		})
	case eventReport:
		return replayCall(event, func(input reportInput) {
			n.ApplyReport(now, input.AskedAt, input.Engine, input.Report)
		})
	}
	return nil
}

func (n *IndexNode) replayPlan(event recording.Event) error {
	input, err := decodeInput[planInput](event)
	if err != nil {
		return err
	}
	cached, err := input.cached(n.CurrentPlan())
	if err != nil {
		return err
	}
	n.ApplyPlan(event.TimeUS, cached)
	return nil
}

// replayCall decodes the recorded input and calls the function with it.
func replayCall[T any](event recording.Event, call func(input T)) error {
	input, err := decodeInput[T](event)
	if err != nil {
		return err
	}
	call(input)
	return nil
}
