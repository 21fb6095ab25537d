package dispatch

import (
	"strconv"

	"violetthread/attempt"
	"violetthread/fairqueue"
	"violetthread/hint"
	"violetthread/quorum"
)

// Ticket is a call that passed the checks at the door.
type Ticket struct {
	Ref     uint64      `json:"Ref"` // this proxy's own number for it
	ID      string      `json:"ID"`
	Own     bool        `json:"Own"` // the id is the caller's own, and may come again
	Era     uint64      `json:"Era"` // that the caller named with it
	Group   string      `json:"Group"`
	Kind    string      `json:"Kind"`
	Digest  string      `json:"Digest"` // of the key it came with
	Due     int64       `json:"Due"`    // time since boot
	Prompt  string      `json:"Prompt"`
	Chain   []hint.Key  `json:"Chain"` // under the plan's weights and the group's domain
	Hints   []hint.Hint `json:"Hints"`
	Weights string      `json:"Weights"`
	Domain  string      `json:"Domain"`
}

type work struct {
	Ticket
	led    attempt.Ledger
	nonce  string
	lane   *lane
	queued bool
	taken  bool
	askAt  int64
	cost   int64
	began  int64
	tried  map[string]bool
	moved  bool // to another domain since it came: its chain is of the former one
}

// claim is the key of the ticket's claim.
func (w *work) claim() string { return ClaimKey(w.Era, w.Group, w.ID) }

// ClaimKey names a once-only ticket of an era in the control state.
func ClaimKey(era uint64, group, id string) string { return quorum.ClaimKey(era, group+"/"+id) }

// barred tells why a ticket may not go on under the plan in force.
func (d *Desk) barred(w *work) string {
	if g, ok := d.plan.GroupOf(w.Digest); !ok || g != w.Group {
		return "key-taken"
	}
	k, ok := d.plan.Kinds[w.Kind]
	if !ok || !d.plan.Allowed(w.Group, w.Kind) {
		return "kind-taken"
	}
	if k.Once && !w.led.Once && len(w.led.Attempts) == 0 {
		d.once(w)
		if w.Own && w.Era == 0 {
			return "era-missing" // its kind became a once-only one while it waited
		}
	}
	return ""
}

// once makes a ticket run once at most. An id that this proxy made up can't come
// again, so that it needs no claim: the ledger alone sees to it.
func (d *Desk) once(w *work) {
	w.led.Once = true
	if !w.Own {
		w.led.Claim = attempt.Needless
	}
}

// rehome gives a ticket the domain that its group has now. One whose order is out
// and not yet begun is stopped: it must not begin on what was kept before a wall
// moved. One that has begun goes on; what it needed of the cache it has.
func (d *Desk) rehome(w *work) string {
	if d.plan.Domain(w.Group, w.Weights) == w.Domain {
		return ""
	}
	a, live := w.led.Live()
	if live && a.State == attempt.Sent {
		return "wall-changed"
	}
	w.Domain, w.Hints, w.moved = d.plan.Domain(w.Group, w.Weights), nil, true
	return ""
}

// Refusal is why a ticket was turned away at the door.
type Refusal struct {
	Reason string `json:"Reason"`
	Back   int64  `json:"Back"`
}

// Arrive takes a ticket in, or refuses it at once.
func (d *Desk) Arrive(now int64, t Ticket) ([]Act, *Refusal) {
	d.Counts.Arrived++
	if a := d.PlanAge(now); a > PlanLimit {
		return nil, &Refusal{"plan-not-fresh", 1_000_000}
	}
	w := &work{Ticket: t, tried: map[string]bool{}}
	if r := d.barred(w); r != "" {
		return nil, &Refusal{r, 0}
	}
	w.cost = d.cost(t.Kind)
	if d.plan.Kinds[t.Kind].Once {
		d.once(w)
	}
	room := d.Room(now)
	if room == 0 {
		return nil, &Refusal{"no-engine", 1_000_000}
	}
	if d.q.Waiting(t.Group) >= d.plan.Limits.QueuePerGroup {
		return nil, &Refusal{"queue-full", w.cost}
	}
	// A quarter is kept back for room that goes and runs that take longer.
	if ahead := d.q.Ahead(t.Group, t.Due, d.lasts(room)); now+ahead*5/4+w.cost*2 > t.Due && (ahead > 0 || now+w.cost > t.Due) {
		return nil, &Refusal{"due-unreachable", max(ahead, 100_000)}
	}
	d.budget.Earn()
	d.seq++
	w.nonce = d.name + "/" + strconv.FormatUint(d.inc, 36) + "/" + strconv.FormatUint(d.seq, 36)
	d.tickets[t.Ref] = w
	d.line(w)
	return append([]Act{{Do: DoAccept, Ref: t.Ref, ID: t.ID}}, d.pump(now)...), nil
}

func (d *Desk) line(w *work) {
	d.q.Push(w.Group, fairqueue.Item{ID: strconv.FormatUint(w.Ref, 10), Due: w.Due, Cost: w.cost})
	w.queued = true
}

func (d *Desk) unline(w *work) {
	if w.queued {
		d.q.Remove(w.Group, strconv.FormatUint(w.Ref, 10))
		w.queued = false
	}
}

func (d *Desk) facts(now int64, w *work) attempt.Facts {
	need := int64(1000)
	if w.queued {
		need = w.cost
	}
	return attempt.Facts{Time: now+need < w.Due, Budget: d.budget.Has()}
}

// move carries out what the ledger says comes next.
func (d *Desk) move(now int64, w *work) []Act {
	if d.plan != nil && w.led.Stop == "" {
		if len(w.led.Attempts) == 0 && d.PlanAge(now) > PlanLimit {
			w.led.Stop = "plan-not-fresh"
		}
	}
	m := w.led.Next(d.facts(now, w))
	switch m.Do {
	case attempt.Ask:
		if w.lane == nil {
			return nil // still waiting its turn
		}
		w.led.Claim, w.askAt = attempt.Asked, now
		d.Counts.Claims++
		return []Act{{Do: DoClaim, Ref: w.Ref, Group: w.Group, ID: w.ID, Nonce: w.nonce, Claim: w.claim()}}
	case attempt.Assign:
		return d.assign(now, w, m)
	case attempt.End:
		return d.end(now, w, m)
	}
	return nil
}

func (d *Desk) assign(now int64, w *work, m attempt.Move) []Act {
	if w.lane == nil {
		if w.queued {
			return nil
		}
		l := d.pick(now, w)
		if l == nil {
			if !w.taken {
				return nil
			}
			// Its place is given up; it lines up again, due first.
			d.q.Release(w.Group)
			w.taken = false
			d.line(w)
			return nil
		}
		w.lane = l
		l.active++
	}
	l := w.lane
	// Checked again at the moment of dispatch: the order may have aged, and the
	// machine may have slept, while the claim was on its way.
	if now-l.at > OrderLimit || d.PlanAge(now) > PlanLimit {
		d.leave(w)
		if d.PlanAge(now) > PlanLimit {
			w.led.Stop = "plan-not-fresh"
			return d.move(now, w)
		}
		return d.assign(now, w, m)
	}
	if m.Retry {
		d.budget.Spend()
		d.Counts.Retries++
	}
	d.Counts.Attempts++
	w.tried[l.Engine] = true
	w.began = now
	a := w.nonce + "." + strconv.Itoa(len(w.led.Attempts))
	w.led.Attempts = append(w.led.Attempts, attempt.Attempt{ID: a, Engine: l.Engine, State: attempt.Sent})
	act := Act{Do: DoStart, Ref: w.Ref, Group: w.Group, ID: w.ID, Attempt: a, Order: l.Order, Domain: w.Domain,
		Weights: l.Weights, Kind: w.Kind, Prompt: w.Prompt, Chain: w.Chain, Take: -1, Due: w.Due, WaitUS: d.plan.Limits.TakeWaitUS,
		Until: min(l.at+OrderLimit, d.planAt+PlanLimit, w.Due)}
	if l.Weights != w.Weights || w.moved {
		act.Domain = d.plan.Domain(w.Group, l.Weights)
		act.Chain = hint.Chain(act.Domain, l.Weights, w.Prompt)
		return []Act{act}
	}
	own := d.own(l, w)
	if own >= 0 {
		d.Counts.Own++
	}
	if part, node, at := d.source(l, w); part > own {
		act.Take, act.Peer, act.PeerAt = part, node, at
		d.Counts.Takes++
		d.imports = append(d.imports, Import{Attempt: a, Engine: l.Engine, Peer: node,
			Total: len(w.Chain), Parts: w.Chain[:part+1]})
	}
	return []Act{act}
}

func (d *Desk) leave(w *work) {
	if w.lane != nil {
		w.lane.active--
		w.lane = nil
	}
}

func (d *Desk) end(now int64, w *work, m attempt.Move) []Act {
	w.led.Ended = true
	var acts []Act
	if m.Cancel != "" {
		acts = append(acts, Act{Do: DoCancel, Ref: w.Ref, Attempt: m.Cancel})
	}
	if m.Release {
		acts = append(acts, Act{Do: DoRelease, Ref: w.Ref, Group: w.Group, ID: w.ID, Nonce: w.nonce, Claim: w.claim()})
	}
	switch m.Outcome {
	case attempt.Done:
		d.Counts.Done++
	case attempt.Refused:
		d.Counts.Refused++
	default:
		d.Counts.Unknown++
	}
	end := Act{Do: DoEnd, Ref: w.Ref, ID: w.ID, Outcome: m.Outcome, Reason: m.Reason}
	if m.Outcome == attempt.Refused {
		end.Back = max(100_000, d.q.Ahead(w.Group, w.Due, max(1, d.Room(now))))
	}
	acts = append(acts, end)
	d.unline(w)
	d.leave(w)
	if w.taken {
		d.q.Release(w.Group)
		w.taken = false
	}
	if w.led.Claim != attempt.Asked {
		delete(d.tickets, w.Ref)
	}
	return append(acts, d.pump(now)...)
}

// Claimed takes in the answer to a claim.
func (d *Desk) Claimed(now int64, ref uint64, c attempt.Claim) []Act {
	w := d.tickets[ref]
	if w == nil || w.led.Claim != attempt.Asked {
		return nil
	}
	w.led.Claim = c
	if w.led.Ended {
		delete(d.tickets, ref)
		if c == attempt.Held {
			return []Act{{Do: DoRelease, Ref: ref, Group: w.Group, ID: w.ID, Nonce: w.nonce, Claim: w.claim()}}
		}
		return nil
	}
	return d.move(now, w)
}

// Note takes in how far an attempt has come.
func (d *Desk) Note(now int64, ref uint64, id string, s attempt.State, cause string) []Act {
	w := d.tickets[ref]
	if w == nil || !w.led.Note(id, s, cause) {
		return nil
	}
	l := w.lane
	if l != nil {
		d.learn(now, l, w, s, cause)
	}
	if s == attempt.Began {
		return nil
	}
	d.leave(w)
	if s == attempt.Finished {
		t := now - w.began
		if o := d.typical[w.Kind]; o > 0 {
			t = o + (t-o)/8
		}
		d.typical[w.Kind] = max(t, 1000)
	}
	return append(d.move(now, w), d.pump(now)...)
}

// Out tells that a first byte of an answer is about to go to the caller. It
// reports whether it may: the attempt must still be the live one.
func (d *Desk) Out(ref uint64, attempt string) bool {
	w := d.tickets[ref]
	if w == nil || w.led.Ended {
		return false
	}
	if a, ok := w.led.Live(); !ok || a.ID != attempt {
		return false
	}
	w.led.Out = true
	return true
}

// Stop ends a ticket for a reason.
func (d *Desk) Stop(now int64, ref uint64, why string) []Act {
	w := d.tickets[ref]
	if w == nil || w.led.Ended || w.led.Stop != "" {
		return nil
	}
	w.led.Stop = why
	return d.move(now, w)
}
