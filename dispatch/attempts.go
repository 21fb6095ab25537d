package dispatch

import (
	"strconv"

	"violetthread/attempt"
	"violetthread/cacheindex"
)

// minAttemptUS is the minimum time before the deadline for starting an attempt.
const minAttemptUS = 1000

// conditions returns the conditions, besides its history, that determine the next step of a
// request. A request that is still queued must have time left for a complete run.
func (d *Dispatcher) conditions(now int64, request *trackedRequest) attempt.Conditions {
	needed := int64(minAttemptUS)
	if request.queued {
		needed = request.expectedUS
	}
	return attempt.Conditions{TimeLeft: now+needed < request.Deadline, RetryAllowed: d.retryBudget.Allows()}
}

// advance carries out the next step of a request.
func (d *Dispatcher) advance(now int64, request *trackedRequest) []Action {
	history := &request.history
	if d.plan != nil && history.StopReason == "" && len(history.Attempts) == 0 && d.PlanAge(now) > MaxPlanAge {
		history.StopReason = ReasonPlanNotFresh
	}
	decision := history.Next(d.conditions(now, request))
	switch decision.Action {
	case attempt.RequestClaim:
		if request.engine == nil {
			return nil // still queued
		}
		history.Claim, request.claimRequestedAt = attempt.ClaimRequested, now
		d.Counters.Claims++
		return []Action{request.claimAction(ActionClaim)}
	case attempt.Assign:
		return d.startAttempt(now, request, decision)
	case attempt.Finish:
		return d.finish(now, request, decision)
	}
	return nil
}

// startAttempt sends a request to its engine, or to another one if the engine's grant is too old
// by now. If no engine is usable, the request is queued again.
func (d *Dispatcher) startAttempt(now int64, request *trackedRequest, decision attempt.Decision) []Action {
	if request.engine == nil && !d.reserveEngine(now, request) {
		return nil
	}
	engine := request.engine
	// Check the ages again immediately before dispatch: while the answer to the claim was
	// pending, the grant may have expired or the machine may have been suspended.
	if now-engine.confirmedAt > MaxGrantAge || d.PlanAge(now) > MaxPlanAge {
		releaseEngine(request)
		if d.PlanAge(now) > MaxPlanAge {
			request.history.StopReason = ReasonPlanNotFresh
			return d.advance(now, request)
		}
		return d.startAttempt(now, request, decision)
	}
	if decision.SpendsRetry {
		d.retryBudget.CountRetry()
		d.Counters.Retries++
	}
	d.Counters.Attempts++
	request.triedEngines[engine.Engine] = true
	request.startedAt = now
	id := request.claimNonce + "." + strconv.Itoa(len(request.history.Attempts))
	request.history.Attempts = append(request.history.Attempts, attempt.Attempt{ID: id, Engine: engine.Engine, State: attempt.Sent})
	action := d.attemptAction(engine, request, id)
	if engine.Weights != request.Weights || request.domainChanged {
		action.Domain = d.plan.CacheDomain(request.Group, engine.Weights)
		action.PrefixKeys = cacheindex.PrefixKeys(action.Domain, engine.Weights, request.Prompt)
	} else {
		d.addTransfer(engine, request, &action)
	}
	return []Action{action}
}

// reserveEngine reserves an engine for a request without one, and reports whether it found one.
// A dequeued request for which no engine is usable is queued again, ordered by its deadline.
func (d *Dispatcher) reserveEngine(now int64, request *trackedRequest) bool {
	if request.queued {
		return false
	}
	engine := d.chooseEngine(now, request)
	if engine == nil {
		if request.holdsSlot {
			d.releaseSlot(request)
			d.enqueue(request)
		}
		return false
	}
	request.engine = engine
	engine.active++
	return true
}

// releaseEngine releases the engine reserved for a request, if any.
func releaseEngine(request *trackedRequest) {
	if request.engine != nil {
		request.engine.active--
		request.engine = nil
	}
}

// attemptAction returns the action that sends an attempt to an engine, without a transfer.
func (d *Dispatcher) attemptAction(engine *engineState, request *trackedRequest, id string) Action {
	return Action{
		Type:           ActionStartAttempt,
		Ref:            request.Ref,
		Group:          request.Group,
		RequestID:      request.ID,
		AttemptID:      id,
		Grant:          engine.EngineGrant,
		Domain:         request.Domain,
		Weights:        engine.Weights,
		Kind:           request.Kind,
		Prompt:         request.Prompt,
		PrefixKeys:     request.PrefixKeys,
		TransferBlock:  noBlock,
		Deadline:       request.Deadline,
		TransferWaitUS: d.plan.Limits.TransferWaitUS,
		StartBefore:    min(engine.confirmedAt+MaxGrantAge, d.planConfirmedAt+MaxPlanAge, request.Deadline),
	}
}

// addTransfer adds a transfer to the action if another node has a longer cached prefix of the
// prompt than the engine itself.
func (d *Dispatcher) addTransfer(engine *engineState, request *trackedRequest, action *Action) {
	local := localPrefix(engine, request)
	if local != noBlock {
		d.Counters.LocalHits++
	}
	block, node, addr := d.transferSource(engine, request)
	if block <= local {
		return
	}
	action.TransferBlock, action.TransferNode, action.TransferAddr = block, node, addr
	d.Counters.Transfers++
	d.transfers = append(d.transfers, Transfer{
		AttemptID:   action.AttemptID,
		Engine:      engine.Engine,
		FromNode:    node,
		TotalBlocks: len(request.PrefixKeys),
		Blocks:      request.PrefixKeys[:block+1],
	})
}

// finish ends a request with an outcome. The request is kept while the answer to its claim is
// pending, so that a claim granted late can be released.
func (d *Dispatcher) finish(now int64, request *trackedRequest, decision attempt.Decision) []Action {
	request.history.Ended = true
	var actions []Action
	if decision.CancelAttempt != "" {
		actions = append(actions, Action{Type: ActionCancelAttempt, Ref: request.Ref, AttemptID: decision.CancelAttempt})
	}
	if decision.ReleaseClaim {
		actions = append(actions, request.claimAction(ActionReleaseClaim))
	}
	d.countOutcome(decision.Outcome)
	end := Action{Type: ActionFinish, Ref: request.Ref, RequestID: request.ID, Outcome: decision.Outcome, Reason: decision.Reason}
	if decision.Outcome == attempt.Rejected {
		wait := d.queue.EstimateWait(request.Group, request.Deadline, max(1, d.Capacity(now)))
		end.RetryAfterUS = max(minRetryAfterUS, wait)
	}
	actions = append(actions, end)
	d.dequeue(request)
	releaseEngine(request)
	d.releaseSlot(request)
	if request.history.Claim != attempt.ClaimRequested {
		delete(d.requests, request.Ref)
	}
	return append(actions, d.fillCapacity(now)...)
}

func (d *Dispatcher) countOutcome(outcome attempt.Outcome) {
	switch outcome {
	case attempt.Done:
		d.Counters.Done++
	case attempt.Rejected:
		d.Counters.Refused++
	default:
		d.Counters.Unknown++
	}
}

// ClaimAnswered processes the answer to a claim.
func (d *Dispatcher) ClaimAnswered(now int64, ref uint64, claim attempt.ClaimState) []Action {
	request := d.requests[ref]
	if request == nil || request.history.Claim != attempt.ClaimRequested {
		return nil
	}
	request.history.Claim = claim
	if !request.history.Ended {
		return d.advance(now, request)
	}
	delete(d.requests, ref)
	if claim == attempt.ClaimGranted {
		return []Action{request.claimAction(ActionReleaseClaim)}
	}
	return nil
}

// AttemptProgressed processes a change of the state of an attempt; cause is the cause of a
// failure.
func (d *Dispatcher) AttemptProgressed(now int64, ref uint64, attemptID string, state attempt.State, cause string) []Action {
	request := d.requests[ref]
	if request == nil || !request.history.Record(attemptID, state, cause) {
		return nil
	}
	if request.engine != nil {
		d.recordOutcome(now, request.engine, request, state, cause)
	}
	if state == attempt.Started {
		return nil
	}
	releaseEngine(request)
	if state == attempt.Completed {
		d.updateTypicalRunUS(request.Kind, now-request.startedAt)
	}
	return append(d.advance(now, request), d.fillCapacity(now)...)
}

// AllowFirstByte must be called before the first byte of a response is sent to the caller, and
// reports whether it may be sent: the attempt must still be the one in flight.
func (d *Dispatcher) AllowFirstByte(ref uint64, attemptID string) bool {
	request := d.requests[ref]
	if request == nil || request.history.Ended {
		return false
	}
	if current, inFlight := request.history.InFlight(); !inFlight || current.ID != attemptID {
		return false
	}
	request.history.ResponseStarted = true
	return true
}

// Stop ends a request for a reason, immediately if no attempt is in flight.
func (d *Dispatcher) Stop(now int64, ref uint64, reason string) []Action {
	request := d.requests[ref]
	if request == nil || request.history.Ended || request.history.StopReason != "" {
		return nil
	}
	request.history.StopReason = reason
	return d.advance(now, request)
}
