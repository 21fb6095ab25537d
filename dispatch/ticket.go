package dispatch

import (
	"strconv"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/fairqueue"
	"violetthread/quorum"
)

// Ticket is a call that passed the checks at the door.
type Request struct {
	Ref          uint64            `json:"Ref"` // this proxy's own number for it
	ID           string            `json:"ID"`
	IDFromCaller bool              `json:"Own"` // the id is the caller's own, and may come again
	Generation   uint64            `json:"Era"` // that the caller named with it
	Group        string            `json:"Group"`
	Kind         string            `json:"Kind"`
	KeyDigest    string            `json:"Digest"` // of the key it came with
	Deadline     int64             `json:"Due"`    // time since boot
	Prompt       string            `json:"Prompt"`
	Chain        []cacheindex.Key  `json:"Chain"` // under the plan's weights and the group's domain
	Hints        []cacheindex.Hint `json:"Hints"`
	Weights      string            `json:"Weights"`
	Domain       string            `json:"Domain"`
}

type trackedRequest struct {
	Request
	ledger        attempt.History
	claimNonce    string
	engine        *engineState
	queued        bool
	holdsSlot     bool
	claimAskedAt  int64
	expectedUS    int64
	startedAt     int64
	triedEngines  map[string]bool
	domainChanged bool // to another domain since it came: its chain is of the former one
}

// claim is the key of the ticket's claim.
func (w *trackedRequest) claimKey() string { return ClaimKey(w.Generation, w.Group, w.ID) }

// ClaimKey names a once-only ticket of an era in the control state.
func ClaimKey(era uint64, group, id string) string { return quorum.ClaimKey(era, group+"/"+id) }

// barred tells why a ticket may not go on under the plan in force.
func (d *Dispatcher) blockedBy(w *trackedRequest) string {
	if g, ok := d.plan.GroupOf(w.KeyDigest); !ok || g != w.Group {
		return "key-taken"
	}
	k, ok := d.plan.Kinds[w.Kind]
	if !ok || !d.plan.MaySend(w.Group, w.Kind) {
		return "kind-taken"
	}
	if k.Once && !w.ledger.OnceOnly && len(w.ledger.Attempts) == 0 {
		d.requireOnce(w)
		if w.IDFromCaller && w.Generation == 0 {
			return "era-missing" // its kind became a once-only one while it waited
		}
	}
	return ""
}

// once makes a ticket run once at most. An id that this proxy made up can't come
// again, so that it needs no claim: the ledger alone sees to it.
func (d *Dispatcher) requireOnce(w *trackedRequest) {
	w.ledger.OnceOnly = true
	if !w.IDFromCaller {
		w.ledger.Claim = attempt.ClaimNotNeeded
	}
}

// rehome gives a ticket the domain that its group has now. One whose order is out
// and not yet begun is stopped: it must not begin on what was kept before a wall
// moved. One that has begun goes on; what it needed of the cache it has.
func (d *Dispatcher) updateDomain(w *trackedRequest) string {
	if d.plan.CacheDomain(w.Group, w.Weights) == w.Domain {
		return ""
	}
	a, live := w.ledger.InFlight()
	if live && a.State == attempt.Sent {
		return "wall-changed"
	}
	w.Domain, w.Hints, w.domainChanged = d.plan.CacheDomain(w.Group, w.Weights), nil, true
	return ""
}

// Refusal is why a ticket was turned away at the door.
type Rejection struct {
	Reason       string `json:"Reason"`
	RetryAfterUS int64  `json:"Back"`
}

// Arrive takes a ticket in, or refuses it at once.
func (d *Dispatcher) Admit(now int64, t Request) ([]Action, *Rejection) {
	d.Counters.Arrived++
	if a := d.PlanAge(now); a > MaxPlanAge {
		return nil, &Rejection{"plan-not-fresh", 1_000_000}
	}
	w := &trackedRequest{Request: t, triedEngines: map[string]bool{}}
	if r := d.blockedBy(w); r != "" {
		return nil, &Rejection{r, 0}
	}
	w.expectedUS = d.expectedRunUS(t.Kind)
	if d.plan.Kinds[t.Kind].Once {
		d.requireOnce(w)
	}
	room := d.Capacity(now)
	if room == 0 {
		return nil, &Rejection{"no-engine", 1_000_000}
	}
	if d.queue.Waiting(t.Group) >= d.plan.Limits.QueuePerGroup {
		return nil, &Rejection{"queue-full", w.expectedUS}
	}
	// A quarter is kept back for room that goes and runs that take longer.
	if ahead := d.queue.EstimateWait(t.Group, t.Deadline, d.steadyCapacity(room)); now+ahead*5/4+w.expectedUS*2 > t.Deadline && (ahead > 0 || now+w.expectedUS > t.Deadline) {
		return nil, &Rejection{"due-unreachable", max(ahead, 100_000)}
	}
	d.retryBudget.CountRequest()
	d.claimSeq++
	w.claimNonce = d.name + "/" + strconv.FormatUint(d.incarnation, 36) + "/" + strconv.FormatUint(d.claimSeq, 36)
	d.requests[t.Ref] = w
	d.enqueue(w)
	return append([]Action{{Type: ActionAccept, Ref: t.Ref, RequestID: t.ID}}, d.fillCapacity(now)...), nil
}

func (d *Dispatcher) enqueue(w *trackedRequest) {
	d.queue.Push(w.Group, fairqueue.Item{ID: strconv.FormatUint(w.Ref, 10), Deadline: w.Deadline, Cost: w.expectedUS})
	w.queued = true
}

func (d *Dispatcher) dequeue(w *trackedRequest) {
	if w.queued {
		d.queue.Remove(w.Group, strconv.FormatUint(w.Ref, 10))
		w.queued = false
	}
}

func (d *Dispatcher) facts(now int64, w *trackedRequest) attempt.Conditions {
	need := int64(1000)
	if w.queued {
		need = w.expectedUS
	}
	return attempt.Conditions{TimeLeft: now+need < w.Deadline, RetryAllowed: d.retryBudget.Allows()}
}

// move carries out what the ledger says comes next.
func (d *Dispatcher) advance(now int64, w *trackedRequest) []Action {
	if d.plan != nil && w.ledger.StopReason == "" {
		if len(w.ledger.Attempts) == 0 && d.PlanAge(now) > MaxPlanAge {
			w.ledger.StopReason = "plan-not-fresh"
		}
	}
	m := w.ledger.Next(d.facts(now, w))
	switch m.Action {
	case attempt.RequestClaim:
		if w.engine == nil {
			return nil // still waiting its turn
		}
		w.ledger.Claim, w.claimAskedAt = attempt.ClaimRequested, now
		d.Counters.Claims++
		return []Action{{Type: ActionClaim, Ref: w.Ref, Group: w.Group, RequestID: w.ID, ClaimNonce: w.claimNonce, ClaimKey: w.claimKey()}}
	case attempt.Assign:
		return d.startAttempt(now, w, m)
	case attempt.Finish:
		return d.finish(now, w, m)
	}
	return nil
}

func (d *Dispatcher) startAttempt(now int64, w *trackedRequest, m attempt.Decision) []Action {
	if w.engine == nil {
		if w.queued {
			return nil
		}
		l := d.chooseEngine(now, w)
		if l == nil {
			if !w.holdsSlot {
				return nil
			}
			// Its place is given up; it lines up again, due first.
			d.queue.Release(w.Group)
			w.holdsSlot = false
			d.enqueue(w)
			return nil
		}
		w.engine = l
		l.active++
	}
	l := w.engine
	// Checked again at the moment of dispatch: the order may have aged, and the
	// machine may have slept, while the claim was on its way.
	if now-l.confirmedAt > MaxGrantAge || d.PlanAge(now) > MaxPlanAge {
		d.releaseEngine(w)
		if d.PlanAge(now) > MaxPlanAge {
			w.ledger.StopReason = "plan-not-fresh"
			return d.advance(now, w)
		}
		return d.startAttempt(now, w, m)
	}
	if m.SpendsRetry {
		d.retryBudget.CountRetry()
		d.Counters.Retries++
	}
	d.Counters.Attempts++
	w.triedEngines[l.Engine] = true
	w.startedAt = now
	a := w.claimNonce + "." + strconv.Itoa(len(w.ledger.Attempts))
	w.ledger.Attempts = append(w.ledger.Attempts, attempt.Attempt{ID: a, Engine: l.Engine, State: attempt.Sent})
	act := Action{Type: ActionStartAttempt, Ref: w.Ref, Group: w.Group, RequestID: w.ID, AttemptID: a, Grant: l.EngineGrant, Domain: w.Domain,
		Weights: l.Weights, Kind: w.Kind, Prompt: w.Prompt, Chain: w.Chain, TransferBlock: -1, Deadline: w.Deadline, TransferWaitUS: d.plan.Limits.TransferWaitUS,
		StartBefore: min(l.confirmedAt+MaxGrantAge, d.planConfirmedAt+MaxPlanAge, w.Deadline)}
	if l.Weights != w.Weights || w.domainChanged {
		act.Domain = d.plan.CacheDomain(w.Group, l.Weights)
		act.Chain = cacheindex.PrefixKeys(act.Domain, l.Weights, w.Prompt)
		return []Action{act}
	}
	own := d.localPrefix(l, w)
	if own >= 0 {
		d.Counters.LocalHits++
	}
	if part, node, at := d.transferSource(l, w); part > own {
		act.TransferBlock, act.TransferNode, act.TransferAddr = part, node, at
		d.Counters.Transfers++
		d.transfers = append(d.transfers, Transfer{AttemptID: a, Engine: l.Engine, FromNode: node,
			TotalBlocks: len(w.Chain), Blocks: w.Chain[:part+1]})
	}
	return []Action{act}
}

func (d *Dispatcher) releaseEngine(w *trackedRequest) {
	if w.engine != nil {
		w.engine.active--
		w.engine = nil
	}
}

func (d *Dispatcher) finish(now int64, w *trackedRequest, m attempt.Decision) []Action {
	w.ledger.Ended = true
	var acts []Action
	if m.CancelAttempt != "" {
		acts = append(acts, Action{Type: ActionCancelAttempt, Ref: w.Ref, AttemptID: m.CancelAttempt})
	}
	if m.ReleaseClaim {
		acts = append(acts, Action{Type: ActionReleaseClaim, Ref: w.Ref, Group: w.Group, RequestID: w.ID, ClaimNonce: w.claimNonce, ClaimKey: w.claimKey()})
	}
	switch m.Outcome {
	case attempt.Done:
		d.Counters.Done++
	case attempt.Rejected:
		d.Counters.Refused++
	default:
		d.Counters.Unknown++
	}
	end := Action{Type: ActionFinish, Ref: w.Ref, RequestID: w.ID, Outcome: m.Outcome, Reason: m.Reason}
	if m.Outcome == attempt.Rejected {
		end.RetryAfterUS = max(100_000, d.queue.EstimateWait(w.Group, w.Deadline, max(1, d.Capacity(now))))
	}
	acts = append(acts, end)
	d.dequeue(w)
	d.releaseEngine(w)
	if w.holdsSlot {
		d.queue.Release(w.Group)
		w.holdsSlot = false
	}
	if w.ledger.Claim != attempt.ClaimRequested {
		delete(d.requests, w.Ref)
	}
	return append(acts, d.fillCapacity(now)...)
}

// Claimed takes in the answer to a claim.
func (d *Dispatcher) ClaimAnswered(now int64, ref uint64, c attempt.ClaimState) []Action {
	w := d.requests[ref]
	if w == nil || w.ledger.Claim != attempt.ClaimRequested {
		return nil
	}
	w.ledger.Claim = c
	if w.ledger.Ended {
		delete(d.requests, ref)
		if c == attempt.ClaimGranted {
			return []Action{{Type: ActionReleaseClaim, Ref: ref, Group: w.Group, RequestID: w.ID, ClaimNonce: w.claimNonce, ClaimKey: w.claimKey()}}
		}
		return nil
	}
	return d.advance(now, w)
}

// Note takes in how far an attempt has come.
func (d *Dispatcher) AttemptProgressed(now int64, ref uint64, id string, s attempt.State, cause string) []Action {
	w := d.requests[ref]
	if w == nil || !w.ledger.Record(id, s, cause) {
		return nil
	}
	l := w.engine
	if l != nil {
		d.recordOutcome(now, l, w, s, cause)
	}
	if s == attempt.Started {
		return nil
	}
	d.releaseEngine(w)
	if s == attempt.Completed {
		t := now - w.startedAt
		if o := d.typicalRunUS[w.Kind]; o > 0 {
			t = o + (t-o)/8
		}
		d.typicalRunUS[w.Kind] = max(t, 1000)
	}
	return append(d.advance(now, w), d.fillCapacity(now)...)
}

// Out tells that a first byte of an answer is about to go to the caller. It
// reports whether it may: the attempt must still be the live one.
func (d *Dispatcher) AllowFirstByte(ref uint64, attempt string) bool {
	w := d.requests[ref]
	if w == nil || w.ledger.Ended {
		return false
	}
	if a, ok := w.ledger.InFlight(); !ok || a.ID != attempt {
		return false
	}
	w.ledger.ResponseStarted = true
	return true
}

// Stop ends a ticket for a reason.
func (d *Dispatcher) Stop(now int64, ref uint64, why string) []Action {
	w := d.requests[ref]
	if w == nil || w.ledger.Ended || w.ledger.StopReason != "" {
		return nil
	}
	w.ledger.StopReason = why
	return d.advance(now, w)
}
