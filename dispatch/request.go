package dispatch

import (
	"strconv"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/fairqueue"
	"violetthread/quorum"
)

// Request is a call that passed the checks of key and form. Recordings contain it under
// the names in its tags.
type Request struct {
	Ref          uint64            `json:"Ref"` // this proxy's own number for it
	ID           string            `json:"ID"`
	IDFromCaller bool              `json:"Own"`    // the caller chose the id, and may send it again
	Generation   uint64            `json:"Era"`    // of claims, that the caller named with the id
	Group        string            `json:"Group"`  // of the caller
	Kind         string            `json:"Kind"`   // of the plan
	KeyDigest    string            `json:"Digest"` // of the key that it came with
	Deadline     int64             `json:"Due"`
	Prompt       string            `json:"Prompt"`
	PrefixKeys   []cacheindex.Key  `json:"Chain"` // under Weights and Domain
	Hints        []cacheindex.Hint `json:"Hints"` // into Chain, the longest prefix first
	Weights      string            `json:"Weights"`
	Domain       string            `json:"Domain"` // cache domain of the group
}

// Rejection is why a request was not taken in.
type Rejection struct {
	Reason       string `json:"Reason"`
	RetryAfterUS int64  `json:"Back"` // 0: sending it again does not help
}

// trackedRequest is a request that was taken in and has not ended.
type trackedRequest struct {
	Request
	history       attempt.History
	claimNonce    string
	engine        *engineState // that it is or will be sent to, nil for none
	queued        bool
	holdsSlot     bool // it was dequeued, and the queue counts it as running
	claimAskedAt  int64
	expectedUS    int64 // that its run takes
	startedAt     int64 // when the last attempt was sent
	triedEngines  map[string]bool
	domainChanged bool // since it came: its chain is of the former domain
}

// MaxHints is how many nodes the hints of a request name at most.
const MaxHints = 4

// defaultRunUS is how long a run is expected to take of whose kind nothing is known.
const defaultRunUS = 500_000

// ClaimKey names the claim of a once-only request in the control state.
func ClaimKey(generation uint64, group, id string) string {
	return quorum.ClaimKey(generation, group+"/"+id)
}

// claimAction makes an action on the request's claim.
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

// queueID names the request in the fair queue.
func (r *trackedRequest) queueID() string { return strconv.FormatUint(r.Ref, 10) }

// refOf is the reference of the request with a queueID.
func refOf(queueID string) uint64 {
	ref, _ := strconv.ParseUint(queueID, 10, 64)
	return ref
}

// Admit takes a request in, or rejects it at once.
func (d *Dispatcher) Admit(now int64, incoming Request) ([]Action, *Rejection) {
	d.Counters.Arrived++
	if d.PlanAge(now) > MaxPlanAge {
		return nil, &Rejection{ReasonPlanNotFresh, 1_000_000}
	}
	request := &trackedRequest{Request: incoming, triedEngines: map[string]bool{}}
	if reason := d.blockedBy(request); reason != "" {
		return nil, &Rejection{reason, 0}
	}
	request.expectedUS = d.expectedRunUS(incoming.Kind)
	if d.plan.Kinds[incoming.Kind].Once {
		request.requireOnce()
	}
	if rejection := d.overload(now, request); rejection != nil {
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

// overload says why a request can't be served in time, nil if it can.
func (d *Dispatcher) overload(now int64, request *trackedRequest) *Rejection {
	capacity := d.Capacity(now)
	if capacity == 0 {
		return &Rejection{ReasonNoEngine, 1_000_000}
	}
	if d.queue.Waiting(request.Group) >= d.plan.Limits.QueuePerGroup {
		return &Rejection{ReasonQueueFull, request.expectedUS}
	}
	wait := d.queue.EstimateWait(request.Group, request.Deadline, d.steadyCapacity(capacity))
	// A quarter of the wait and one run are kept in reserve, for capacity that goes and
	// runs that take longer. Without a wait, the run itself must fit.
	late := now+wait*5/4+request.expectedUS*2 > request.Deadline
	if late && (wait > 0 || now+request.expectedUS > request.Deadline) {
		return &Rejection{ReasonDeadline, max(wait, minRetryAfterUS)}
	}
	return nil
}

// blockedBy says why a request may not go on under the plan in force, "" if it may.
func (d *Dispatcher) blockedBy(request *trackedRequest) string {
	if group, known := d.plan.GroupOf(request.KeyDigest); !known || group != request.Group {
		return ReasonKeyRevoked
	}
	kind, known := d.plan.Kinds[request.Kind]
	if !known || !d.plan.MaySend(request.Group, request.Kind) {
		return ReasonKindRevoked
	}
	if kind.Once && !request.history.OnceOnly && len(request.history.Attempts) == 0 {
		request.requireOnce()
		if request.IDFromCaller && request.Generation == 0 {
			return ReasonGenerationMissing // its kind became a once-only one while it waited
		}
	}
	return ""
}

// requireOnce makes a request run once at most. An id that this proxy made up can't come
// again, so that it needs no claim: the history of its attempts is enough.
func (r *trackedRequest) requireOnce() {
	r.history.OnceOnly = true
	if !r.IDFromCaller {
		r.history.Claim = attempt.ClaimNotNeeded
	}
}

// updateDomain gives a request the cache domain that its group has now, and says why it may
// not go on, "" if it may. One that was sent and has not started is stopped: it must not
// start on what was cached before the group was isolated or opened. One that has started
// goes on; what it needed of the cache it has.
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

// releaseSlot gives the request's place in its group back.
func (d *Dispatcher) releaseSlot(request *trackedRequest) {
	if request.holdsSlot {
		d.queue.Release(request.Group)
		request.holdsSlot = false
	}
}

// expectedRunUS is how long a run of a kind is expected to take: as those of late did here,
// or as the plan says.
func (d *Dispatcher) expectedRunUS(kind string) int64 {
	if typical := d.typicalRunUS[kind]; typical > 0 {
		return typical
	}
	if typical := d.plan.Kinds[kind].TypicalUS; typical > 0 {
		return typical
	}
	return defaultRunUS
}

// learnRunUS takes a completed run into the running mean of its kind.
func (d *Dispatcher) learnRunUS(kind string, runUS int64) {
	if typical := d.typicalRunUS[kind]; typical > 0 {
		runUS = typical + (runUS-typical)/8
	}
	d.typicalRunUS[kind] = max(runUS, 1000)
}
