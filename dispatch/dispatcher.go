package dispatch

import (
	"slices"

	"github.com/samber/lo"

	"violetthread/attempt"
	"violetthread/fairqueue"
	"violetthread/plan"
)

// Maximum ages of the information that a proxy may rely on, in microseconds (docs/bounds.md).
const (
	MaxPlanAge       = 1_500_000 // of the plan, for admitting and sending requests
	MaxStreamPlanAge = 4_000_000 // of the plan, beyond which running streams are ended
	MaxGrantAge      = 1_800_000 // of a grant, beyond which the engine gets no new work
)

// TickInterval is the interval at which Tick must be called, in microseconds.
const TickInterval = 20_000

// Other times, in microseconds.
const (
	claimTimeout            = 2_000_000  // for the answer to a claim
	lateClaimTimeout        = 30_000_000 // for an answer after the end of the request, to release a claim granted late
	capacitySmoothing       = 1_000_000  // time constant of the smoothed capacity
	infeasibleCheckInterval = 100_000
	minRetryAfterUS         = 100_000
	noPlanAge               = 1 << 50
)

// Dispatcher makes the dispatch decisions of one proxy. It is not safe for concurrent use.
type Dispatcher struct {
	name             string
	zone             string
	incarnation      uint64
	plan             *plan.Compiled
	planConfirmedAt  int64
	engines          map[string]*engineState // by name
	engineByNode     map[uint64]*engineState // by the ID of the engine's incarnation
	requests         map[uint64]*trackedRequest
	queue            *fairqueue.Queue
	retryBudget      attempt.RetryBudget
	typicalRunUS     map[string]int64 // by kind, as measured by this proxy
	claimSeq         uint64
	Counters         Counters
	transfers        []Transfer           // since the last report
	outcomes         map[string]*Outcomes // by engine, since the last report
	smoothedCapacity float64              // moving average of the capacity, 0 for none
	ticks            int
}

// New creates the dispatcher of a proxy. The incarnation must be unique among all processes with
// the proxy's name.
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

// ApplyPlan installs a plan that was known to be in force at the time confirmedAt. It stops
// requests that a new plan no longer allows.
func (d *Dispatcher) ApplyPlan(now int64, p *plan.Compiled, confirmedAt int64) []Action {
	if p == nil || d.plan != nil && p.Revision < d.plan.Revision {
		return nil // never go back to an older revision
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

// recheckRequests stops the requests that the plan in force does not allow.
func (d *Dispatcher) recheckRequests(now int64) []Action {
	var actions []Action
	for _, ref := range d.sortedRefs() {
		request := d.requests[ref]
		if request == nil {
			continue // ended with an earlier one
		}
		reason := d.planViolation(request)
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

// sortedRefs returns the references of all requests in order of arrival, so that a replay makes
// the same decisions.
func (d *Dispatcher) sortedRefs() []uint64 {
	refs := lo.Keys(d.requests)
	slices.Sort(refs)
	return refs
}

// CurrentPlan returns the newest plan known to the dispatcher, nil for none.
func (d *Dispatcher) CurrentPlan() *plan.Compiled { return d.plan }

// PlanRevision returns the revision of the newest plan known to the dispatcher, 0 for none.
func (d *Dispatcher) PlanRevision() uint64 {
	if d.plan == nil {
		return 0
	}
	return d.plan.Revision
}

// PlanAge returns the time since the plan was last known to be in force, in microseconds.
func (d *Dispatcher) PlanAge(now int64) int64 {
	if d.plan == nil {
		return noPlanAge
	}
	return now - d.planConfirmedAt
}

// InFlight returns the number of requests being tracked: those admitted and not ended, and those
// ended whose claim is still pending.
func (d *Dispatcher) InFlight() int { return len(d.requests) }

// Tick stops requests that can't meet their deadline any more, applies timeouts, and assigns free
// capacity to queued requests. It must be called every TickInterval.
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
		claimAge = now - request.claimRequestedAt
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
		// Reject it now rather than when its deadline is near (docs/design.md §8).
		return d.Stop(now, request.Ref, ReasonDeadline)
	case claimAge > claimTimeout:
		// The request is rejected and releases its claim. A claim that is granted after the
		// release stays held, which is safe: it can only keep the request from running.
		request.history.Claim = attempt.ClaimUnknown
		return d.advance(now, request)
	case request.queued:
		return d.advance(now, request)
	}
	return nil
}

// infeasibleRequests returns the references of the queued requests that can't be served by their
// deadlines. It computes them only once per infeasibleCheckInterval, and returns none otherwise.
func (d *Dispatcher) infeasibleRequests(now int64) map[uint64]bool {
	refs := map[uint64]bool{}
	d.ticks++
	if d.ticks%(infeasibleCheckInterval/TickInterval) != 0 || d.plan == nil {
		return refs
	}
	for _, id := range d.queue.Infeasible(now, d.steadyCapacity(0)) {
		refs[parseQueueID(id)] = true
	}
	return refs
}

// smoothCapacity updates the moving average of the capacity. A capacity of 0 resets the average.
func (d *Dispatcher) smoothCapacity(now int64) {
	capacity := float64(d.Capacity(now))
	if d.smoothedCapacity == 0 || capacity == 0 {
		d.smoothedCapacity = capacity
		return
	}
	d.smoothedCapacity += (capacity - d.smoothedCapacity) * TickInterval / capacitySmoothing
}

// steadyCapacity returns the average capacity, or current while there is no average. With the
// average, a brief loss of capacity, such as when the owner of an engine changes, does not cause
// rejections, and a brief surplus does not admit too many requests.
func (d *Dispatcher) steadyCapacity(current int) int {
	if d.smoothedCapacity == 0 {
		return current
	}
	return max(1, int(d.smoothedCapacity+0.5))
}
