package dispatch

import (
	"strconv"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/fairqueue"
	"violetthread/quorum"
)

// Request is a caller's request with a valid key and format. Recordings contain it under the
// names in its tags.
type Request struct {
	Ref          uint64            `json:"Ref"` // number assigned by this proxy
	ID           string            `json:"ID"`
	IDFromCaller bool              `json:"Own"`    // the caller chose the ID, and may send the request again
	Generation   uint64            `json:"Era"`    // generation of claims, given by the caller with the ID
	Group        string            `json:"Group"`  // of the caller
	Kind         string            `json:"Kind"`   // kind in the plan
	KeyDigest    string            `json:"Digest"` // digest of the caller's key
	Deadline     int64             `json:"Due"`
	Prompt       string            `json:"Prompt"`
	PrefixKeys   []cacheindex.Key  `json:"Chain"` // keys of the prompt's blocks under Weights and Domain
	Hints        []cacheindex.Hint `json:"Hints"` // refer to PrefixKeys, the longest prefix first
	Weights      string            `json:"Weights"`
	Domain       string            `json:"Domain"` // cache domain of the group
}

// Rejection is the reason for which a request was not admitted.
type Rejection struct {
	Reason       string `json:"Reason"`
	RetryAfterUS int64  `json:"Back"` // 0 if a retry is pointless
}

// trackedRequest is an admitted request that has not ended, or whose claim is still pending.
type trackedRequest struct {
	Request
	history          attempt.History
	claimNonce       string
	engine           *engineState // engine reserved for the request or running it, nil for none
	queued           bool
	holdsSlot        bool // dequeued, and counted as running by the queue
	claimRequestedAt int64
	expectedUS       int64 // expected duration of its run
	startedAt        int64 // time at which the last attempt was sent
	triedEngines     map[string]bool
	domainChanged    bool // the cache domain changed since arrival; PrefixKeys are of the former domain
}

// MaxHints is the maximum number of hints of a request.
const MaxHints = 4

// defaultRunUS is the expected duration of a run whose kind has no known duration.
const defaultRunUS = 500_000

// ClaimKey returns the key of a once-only request's claim in the control state.
func ClaimKey(generation uint64, group, id string) string {
	return quorum.ClaimKey(generation, group+"/"+id)
}

// claimAction returns an action on the request's claim.
func (r *trackedRequest) claimAction(actionType ActionType) Action {
	return Action{
		Type:       actionType,
		Ref:        r.Ref,
		Group:      r.Group,
		RequestID:  r.ID,
		ClaimNonce: r.claimNonce,
		ClaimKey:   ClaimKey(r.Generation, r.Group, r.ID),
	}
}

// queueID returns the ID of the request in the fair queue.
func (r *trackedRequest) queueID() string { return strconv.FormatUint(r.Ref, 10) }

// parseQueueID returns the reference of the request with a queue ID.
func parseQueueID(queueID string) uint64 {
	ref, _ := strconv.ParseUint(queueID, 10, 64)
	return ref
}

// Admit accepts a request for processing, or rejects it immediately.
func (d *Dispatcher) Admit(now int64, incoming Request) ([]Action, *Rejection) {
	d.Counters.Arrived++
	if d.PlanAge(now) > MaxPlanAge {
		return nil, &Rejection{ReasonPlanNotFresh, 1_000_000}
	}
	request := &trackedRequest{Request: incoming, triedEngines: map[string]bool{}}
	if reason := d.planViolation(request); reason != "" {
		return nil, &Rejection{reason, 0}
	}
	request.expectedUS = d.expectedRunUS(incoming.Kind)
	if d.plan.Kinds[incoming.Kind].Once {
		request.requireOnceOnly()
	}
	if rejection := d.checkOverload(now, request); rejection != nil {
		return nil, rejection
	}
	d.retryBudget.CountRequest()
	d.claimSeq++
	request.claimNonce = d.name + "/" + strconv.FormatUint(d.incarnation, 36) + "/" + strconv.FormatUint(d.claimSeq, 36)
	d.requests[incoming.Ref] = request
	d.enqueue(request)
	accept := Action{Type: ActionAccept, Ref: incoming.Ref, RequestID: incoming.ID}
	return append([]Action{accept}, d.fillCapacity(now)...), nil
}

// checkOverload returns a rejection if a request can't be served by its deadline, nil if it can.
func (d *Dispatcher) checkOverload(now int64, request *trackedRequest) *Rejection {
	capacity := d.Capacity(now)
	if capacity == 0 {
		return &Rejection{ReasonNoEngine, 1_000_000}
	}
	if d.queue.Waiting(request.Group) >= d.plan.Limits.QueuePerGroup {
		return &Rejection{ReasonQueueFull, request.expectedUS}
	}
	wait := d.queue.EstimateWait(request.Group, request.Deadline, d.steadyCapacity(capacity))
	// A quarter of the wait and the duration of one run are kept in reserve, for loss of
	// capacity and longer runs. Without a wait, only the run itself has to fit.
	late := now+wait*5/4+request.expectedUS*2 > request.Deadline
	if late && (wait > 0 || now+request.expectedUS > request.Deadline) {
		return &Rejection{ReasonDeadline, max(wait, minRetryAfterUS)}
	}
	return nil
}

// planViolation returns the reason for which the plan in force does not allow a request to
// continue, "" if it does. It also makes an unsent request once-only if its kind has become so.
func (d *Dispatcher) planViolation(request *trackedRequest) string {
	if group, known := d.plan.GroupOf(request.KeyDigest); !known || group != request.Group {
		return ReasonKeyRevoked
	}
	kind, known := d.plan.Kinds[request.Kind]
	if !known || !d.plan.MaySend(request.Group, request.Kind) {
		return ReasonKindRevoked
	}
	if kind.Once && !request.history.OnceOnly && len(request.history.Attempts) == 0 {
		request.requireOnceOnly()
		if request.IDFromCaller && request.Generation == 0 {
			return ReasonGenerationMissing // its kind became once-only while it was queued
		}
	}
	return ""
}

// requireOnceOnly marks a request to be run at most once. A request whose ID was made by this
// proxy can't arrive again, so that it needs no claim: the history of its attempts is sufficient.
func (r *trackedRequest) requireOnceOnly() {
	r.history.OnceOnly = true
	if !r.IDFromCaller {
		r.history.Claim = attempt.ClaimNotNeeded
	}
}

// updateDomain sets a request's cache domain to the current one of its group, and returns the
// reason for which the request may not continue, "" if it may. A request that was sent but has
// not started is stopped, since it must not use blocks cached before the isolation of the group
// changed. A request that has started continues, since it has already read what it needs from
// the cache.
func (d *Dispatcher) updateDomain(request *trackedRequest) string {
	domain := d.plan.CacheDomain(request.Group, request.Weights)
	if domain == request.Domain {
		return ""
	}
	current, inFlight := request.history.InFlight()
	if inFlight && current.State == attempt.Sent {
		return ReasonDomainChanged
	}
	request.Domain, request.Hints, request.domainChanged = domain, nil, true
	return ""
}

func (d *Dispatcher) enqueue(request *trackedRequest) {
	item := fairqueue.Item{ID: request.queueID(), Deadline: request.Deadline, Cost: request.expectedUS}
	d.queue.Push(request.Group, item)
	request.queued = true
}

func (d *Dispatcher) dequeue(request *trackedRequest) {
	if request.queued {
		d.queue.Remove(request.Group, request.queueID())
		request.queued = false
	}
}

// releaseSlot stops counting the request as running in its group.
func (d *Dispatcher) releaseSlot(request *trackedRequest) {
	if request.holdsSlot {
		d.queue.Release(request.Group)
		request.holdsSlot = false
	}
}

// expectedRunUS returns the expected duration of a run of a kind: the running mean at this proxy,
// or else the typical duration in the plan, or else defaultRunUS.
func (d *Dispatcher) expectedRunUS(kind string) int64 {
	if typical := d.typicalRunUS[kind]; typical > 0 {
		return typical
	}
	if typical := d.plan.Kinds[kind].TypicalUS; typical > 0 {
		return typical
	}
	return defaultRunUS
}

// updateTypicalRunUS adds a completed run to the running mean of its kind.
func (d *Dispatcher) updateTypicalRunUS(kind string, runUS int64) {
	if typical := d.typicalRunUS[kind]; typical > 0 {
		runUS = typical + (runUS-typical)/8
	}
	d.typicalRunUS[kind] = max(runUS, 1000)
}
