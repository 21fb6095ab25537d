// Package dispatch is a proxy's deciding part: tickets, claims, orders and the news
// of attempts go in; claims, dispatches and frames come out. It is pure, so the
// daemon, the simulator and a replay run the same code (design §6).
package dispatch

import (
	"slices"
	"strconv"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/fairqueue"
	"violetthread/plan"
)

// Bounds on what a proxy may still rely on, in microseconds (docs/bounds.md).
const (
	MaxPlanAge              = 1_500_000 // older than this, nothing new is allowed
	MaxStreamPlanAge        = 4_000_000 // older than this, running streams are ended
	MaxGrantAge             = 1_800_000 // older than this, an engine gets no new work
	claimTimeout            = 2_000_000
	TickInterval            = 20_000 // how often Tick is to be called
	capacitySmoothing       = 1_000_000
	infeasibleCheckInterval = 100_000
)

// Do names an act.
type ActionType uint8

// The acts.
const (
	ActionClaim ActionType = iota + 1
	ActionReleaseClaim
	ActionStartAttempt
	ActionCancelAttempt
	ActionAccept
	ActionFinish
)

// Act is something the adapters must carry out.
type Action struct {
	Type       ActionType
	Ref        uint64
	Group      string
	RequestID  string
	ClaimNonce string
	ClaimKey   string // its key in the control state
	AttemptID  string
	// DoStart
	Grant          EngineGrant
	Domain         string
	Weights        string
	Kind           string
	Prompt         string
	Chain          []cacheindex.Key
	TransferBlock  int // part to take from Peer, -1 for none
	TransferNode   uint64
	TransferAddr   string
	TransferWaitUS int64
	Deadline       int64
	StartBefore    int64 // past it, the dispatch must not begin any more
	// DoEnd
	Outcome      attempt.Outcome
	Reason       string
	RetryAfterUS int64 // when to come back, for what was refused
}

// Desk is not safe for concurrent use.
type Dispatcher struct {
	name             string
	site             string
	incarnation      uint64
	plan             *plan.Compiled
	planConfirmedAt  int64
	engines          map[string]*engineState
	engineByNode     map[uint64]*engineState
	requests         map[uint64]*trackedRequest
	queue            *fairqueue.Queue
	retryBudget      attempt.RetryBudget
	typicalRunUS     map[string]int64
	claimSeq         uint64
	Counters         Counters
	transfers        []Transfer
	outcomes         map[string]*Outcomes
	smoothedCapacity float64 // room, without what comes and goes
	ticks            int
}

// Counts are for vitals.
type Counters struct {
	Arrived, Done, Refused, Unknown, Attempts, Retries, Transfers, LocalHits, Claims uint64
}

// New makes a desk.
func New(name, site string, inc uint64) *Dispatcher {
	return &Dispatcher{name: name, site: site, incarnation: inc, engines: map[string]*engineState{}, engineByNode: map[uint64]*engineState{},
		requests: map[uint64]*trackedRequest{}, queue: fairqueue.NewQueue(), typicalRunUS: map[string]int64{}, outcomes: map[string]*Outcomes{}}
}

// Plan takes in a plan that was known to be in force at time at.
func (d *Dispatcher) ApplyPlan(now int64, p *plan.Compiled, at int64) []Action {
	if p == nil || d.plan != nil && p.Revision < d.plan.Revision {
		return nil // never back to an older one
	}
	fresh := d.plan == nil || p.Revision != d.plan.Revision
	d.plan = p
	d.planConfirmedAt = max(d.planConfirmedAt, at)
	if !fresh {
		return nil
	}
	d.retryBudget.Permille = p.Limits.RetryPermille
	for g, x := range p.Groups {
		d.queue.SetShare(g, x.Share)
	}
	var acts []Action
	for _, ref := range d.sortedRefs() {
		w := d.requests[ref]
		if w == nil {
			continue
		}
		r := d.blockedBy(w)
		if r == "" {
			r = d.updateDomain(w)
		}
		if r != "" && w.ledger.StopReason == "" {
			w.ledger.StopReason = r
			acts = append(acts, d.advance(now, w)...)
		}
	}
	return acts
}

// refs lists the tickets in the order they came, so that a replay decides alike.
func (d *Dispatcher) sortedRefs() []uint64 {
	rs := make([]uint64, 0, len(d.requests))
	for r := range d.requests {
		rs = append(rs, r)
	}
	slices.Sort(rs)
	return rs
}

// PlanHeld and PlanRev are the plan in force here.
func (d *Dispatcher) CurrentPlan() *plan.Compiled { return d.plan }

// PlanRev is its revision, 0 for none.
func (d *Dispatcher) PlanRevision() uint64 {
	if d.plan == nil {
		return 0
	}
	return d.plan.Revision
}

// PlanAge is how long ago the plan was known to be in force.
func (d *Dispatcher) PlanAge(now int64) int64 {
	if d.plan == nil {
		return 1 << 50
	}
	return now - d.planConfirmedAt
}

// Costs of moving and recomputing a part, by which engines are compared.
const (
	recomputeCostPerBlock = 4_000 // recompute one block
	transferCostPerBlock  = 700   // take one block from a peer
	transferCostFixed     = 2_000
	otherZoneCost         = 1_000
	triedBeforeCost       = 10_000_000 // an engine that this ticket was sent to before
)

// Rest after problems in a row doubles up to this; longer for an engine that can't
// be reached at all from here, since every try there is a retry for somebody.
const (
	maxPause            = 2_000_000
	maxPauseUnreachable = 6_000_000
)

// Tick ends what can't make its due any more and gives out free room.
func (d *Dispatcher) Tick(now int64) []Action {
	var acts []Action
	cut := d.PlanAge(now) > MaxStreamPlanAge
	if r := float64(d.Capacity(now)); d.smoothedCapacity == 0 || r == 0 {
		d.smoothedCapacity = r
	} else {
		d.smoothedCapacity += (r - d.smoothedCapacity) * TickInterval / capacitySmoothing
	}
	hopeless := map[uint64]bool{}
	if d.ticks++; d.ticks%(infeasibleCheckInterval/TickInterval) == 0 && d.plan != nil {
		for _, id := range d.queue.Infeasible(now, d.steadyCapacity(0)) {
			ref, _ := strconv.ParseUint(id, 10, 64)
			hopeless[ref] = true
		}
	}
	for _, ref := range d.sortedRefs() {
		w := d.requests[ref]
		if w == nil {
			continue // ended by an earlier turn of this loop
		}
		switch {
		case w.ledger.Ended:
			if w.ledger.Claim == attempt.ClaimRequested && now-w.claimAskedAt > 30_000_000 {
				delete(d.requests, w.Ref)
			}
			continue
		case cut:
			acts = append(acts, d.Stop(now, w.Ref, "plan-not-fresh")...)
		case now >= w.Deadline:
			acts = append(acts, d.Stop(now, w.Ref, "due-passed")...)
		case w.queued && hopeless[ref]:
			// Given up: answered now, not when its due is near (design §8).
			acts = append(acts, d.Stop(now, w.Ref, "due-unreachable")...)
		case w.ledger.Claim == attempt.ClaimRequested && now-w.claimAskedAt > claimTimeout:
			// The claim may yet be granted; this ticket will not use it, and it
			// stays taken, which errs on the safe side.
			w.ledger.Claim = attempt.ClaimUnknown
			acts = append(acts, d.advance(now, w)...)
		case w.queued:
			acts = append(acts, d.advance(now, w)...)
		}
	}
	d.dropStaleEngines(now)
	return append(acts, d.fillCapacity(now)...)
}

// Load counts the tickets under way.
func (d *Dispatcher) InFlight() int { return len(d.requests) }
