package dispatch

import (
	"slices"

	"github.com/samber/lo"

	"violetthread/attempt"
	"violetthread/fairqueue"
	"violetthread/plan"
)

// Bounds on what a proxy may rely on, in microseconds (docs/bounds.md).
const (
	MaxPlanAge       = 1_500_000 // of the plan: past this no request is taken in or sent
	MaxStreamPlanAge = 4_000_000 // of the plan: past this running streams are ended
	MaxGrantAge      = 1_800_000 // of a grant: past this the engine gets no new work
)

// TickInterval is how often Tick is to be called, in microseconds.
const TickInterval = 20_000

// Other times, in microseconds.
const (
	claimTimeout            = 2_000_000  // for the answer to a claim
	lateClaimTimeout        = 30_000_000 // for an answer after the request's end, to give the claim back
	capacitySmoothing       = 1_000_000  // time constant of the smoothed capacity
	infeasibleCheckInterval = 100_000
	minRetryAfterUS         = 100_000
	noPlanAge               = 1 << 50
)

// Dispatcher decides for one proxy. It is not safe for concurrent use.
type Dispatcher struct {
	name             string
	zone             string
	incarnation      uint64
	plan             *plan.Compiled
	planConfirmedAt  int64
	engines          map[string]*engineState // by name
	engineByNode     map[uint64]*engineState // by the id of the engine's incarnation
	requests         map[uint64]*trackedRequest
	queue            *fairqueue.Queue
	retryBudget      attempt.RetryBudget
	typicalRunUS     map[string]int64 // by kind, as seen here
	claimSeq         uint64
	Counters         Counters
	transfers        []Transfer           // since the last report
	outcomes         map[string]*Outcomes // by engine, since the last report
	smoothedCapacity float64              // without what comes and goes
	ticks            int
}

// New makes the dispatcher of the proxy of that name, in a zone, with an incarnation that
// no other process of that name has.
func New(name, zone string, incarnation uint64) *Dispatcher {
	return &Dispatcher{
		name:         name,
		zone:         zone,
		incarnation:  incarnation,
		engines:      map[string]*engineState{},
		engineByNode: map[uint64]*engineState{},
		requests:     map[uint64]*trackedRequest{},
		queue:        fairqueue.NewQueue(),
		typicalRunUS: map[string]int64{},
		outcomes:     map[string]*Outcomes{},
	}
}

// ApplyPlan takes in a plan that was known to be in force at time confirmedAt. Requests
// that may not go on under a new one are stopped.
func (d *Dispatcher) ApplyPlan(now int64, p *plan.Compiled, confirmedAt int64) []Action {
	if p == nil || d.plan != nil && p.Revision < d.plan.Revision {
		return nil // never back to an older one
	}
	isNew := d.plan == nil || p.Revision != d.plan.Revision
	d.plan = p
	d.planConfirmedAt = max(d.planConfirmedAt, confirmedAt)
	if !isNew {
		return nil
	}
	d.retryBudget.Permille = p.Limits.RetryPermille
	for name, group := range p.Groups {
		d.queue.SetShare(name, group.Share)
	}
	return d.recheckRequests(now)
}

// recheckRequests stops the requests that may not go on under the plan in force.
func (d *Dispatcher) recheckRequests(now int64) []Action {
	var actions []Action
	for _, ref := range d.sortedRefs() {
		request := d.requests[ref]
		if request == nil {
			continue // ended with an earlier one
		}
		reason := d.blockedBy(request)
		if reason == "" {
			reason = d.updateDomain(request)
		}
		if reason != "" && request.history.StopReason == "" {
			request.history.StopReason = reason
			actions = append(actions, d.advance(now, request)...)
		}
	}
	return actions
}

// sortedRefs lists the requests in the order in which they came, so that a replay decides
// alike.
func (d *Dispatcher) sortedRefs() []uint64 {
	refs := lo.Keys(d.requests)
	slices.Sort(refs)
	return refs
}

// CurrentPlan is the newest plan known here, nil for none.
func (d *Dispatcher) CurrentPlan() *plan.Compiled { return d.plan }

// PlanRevision is the revision of the newest plan known here, 0 for none.
func (d *Dispatcher) PlanRevision() uint64 {
	if d.plan == nil {
		return 0
	}
	return d.plan.Revision
}

// PlanAge is how many microseconds ago the plan was known to be in force.
func (d *Dispatcher) PlanAge(now int64) int64 {
	if d.plan == nil {
		return noPlanAge
	}
	return now - d.planConfirmedAt
}

// InFlight counts the requests that were taken in and have not ended.
func (d *Dispatcher) InFlight() int { return len(d.requests) }

// Tick ends what can't be done by its deadline any more and hands out free capacity. It is
// to be called every TickInterval.
func (d *Dispatcher) Tick(now int64) []Action {
	var actions []Action
	planTooOld := d.PlanAge(now) > MaxStreamPlanAge
	d.smoothCapacity(now)
	infeasible := d.infeasibleRequests(now)
	for _, ref := range d.sortedRefs() {
		request := d.requests[ref]
		if request == nil {
			continue // ended with an earlier one
		}
		actions = append(actions, d.tickRequest(now, request, planTooOld, infeasible[ref])...)
	}
	d.dropStaleEngines(now)
	return append(actions, d.fillCapacity(now)...)
}

func (d *Dispatcher) tickRequest(now int64, request *trackedRequest, planTooOld, infeasible bool) []Action {
	claimAge := int64(0)
	if request.history.Claim == attempt.ClaimRequested {
		claimAge = now - request.claimAskedAt
	}
	switch {
	case request.history.Ended:
		if claimAge > lateClaimTimeout {
			delete(d.requests, request.Ref)
		}
		return nil
	case planTooOld:
		return d.Stop(now, request.Ref, ReasonPlanNotFresh)
	case now >= request.Deadline:
		return d.Stop(now, request.Ref, ReasonDeadlinePassed)
	case request.queued && infeasible:
		// Given up: answered now, not when its deadline is near (docs/design.md §8).
		return d.Stop(now, request.Ref, ReasonDeadline)
	case claimAge > claimTimeout:
		// The claim may yet be granted; this request will not use it, and it stays
		// taken, which errs on the safe side.
		request.history.Claim = attempt.ClaimUnknown
		return d.advance(now, request)
	case request.queued:
		return d.advance(now, request)
	}
	return nil
}

// infeasibleRequests are the queued requests that can't be served by their deadlines, by
// reference. They are looked for every infeasibleCheckInterval only.
func (d *Dispatcher) infeasibleRequests(now int64) map[uint64]bool {
	refs := map[uint64]bool{}
	d.ticks++
	if d.ticks%(infeasibleCheckInterval/TickInterval) != 0 || d.plan == nil {
		return refs
	}
	for _, id := range d.queue.Infeasible(now, d.steadyCapacity(0)) {
		refs[refOf(id)] = true
	}
	return refs
}

// smoothCapacity takes the capacity of this moment into its moving average. Without any
// capacity, and after that, the average begins anew.
func (d *Dispatcher) smoothCapacity(now int64) {
	capacity := float64(d.Capacity(now))
	if d.smoothedCapacity == 0 || capacity == 0 {
		d.smoothedCapacity = capacity
		return
	}
	d.smoothedCapacity += (capacity - d.smoothedCapacity) * TickInterval / capacitySmoothing
}

// steadyCapacity is the capacity to count on, or current while there is no average: a
// moment's gap, such as when an engine changes its owner, is no reason to reject, and a
// moment's surplus none to accept.
func (d *Dispatcher) steadyCapacity(current int) int {
	if d.smoothedCapacity == 0 {
		return current
	}
	return max(1, int(d.smoothedCapacity+0.5))
}
