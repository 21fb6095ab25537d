package attempt

// A passage is the ledger of a request that is passed through unopened (design §14).
// Its attempts are the Attempts of a ticket; what differs is who may have run twice:
// the operator's route says so, and how many engines one try may reach.

// Passage is all that is known of one request on its way.
type Passage struct {
	Again    bool // it may run again: it is repeatable, or a stream that can be resumed
	Resume   bool // a stream that may go on at another engine after its head is out
	Most     int  // engines that it may be sent to
	Attempts []Attempt
	Out      bool // the head of an answer has gone to the caller
	Stop     string
	Ended    bool
}

// PassDo is what to do next with a passage.
type PassDo uint8

// The moves. PassRefuse promises that it has not run and will not; PassLost says that it
// may have; PassCut breaks the answer off so that it can't look whole.
const (
	PassWait PassDo = iota + 1
	PassPlace
	PassDone
	PassRefuse
	PassLost
	PassCut
)

// PassMove is the next move. Retry says that placing it spends the budget.
type PassMove struct {
	Do     PassDo
	Reason string
	Cancel string
	Retry  bool
}

// sent counts the attempts that reached an engine, or may have.
func (p *Passage) sent() (n int) {
	for _, a := range p.Attempts {
		if a.State != NeverBegan || a.Cause != Unreachable {
			n++
		}
	}
	return n
}

// Unreachable is the cause of an attempt of which nothing reached an engine.
const Unreachable = "unreachable"

// Next derives the move. It changes nothing.
func (p *Passage) Next(f Facts) PassMove {
	if p.Ended {
		return PassMove{Do: PassWait}
	}
	var broken *Attempt
	for i := range p.Attempts {
		switch a := &p.Attempts[i]; a.State {
		case Finished:
			return PassMove{Do: PassDone}
		case Sent, Began:
			if p.Stop == "" {
				return PassMove{Do: PassWait}
			}
			if p.Out {
				return PassMove{Do: PassCut, Reason: p.Stop, Cancel: a.ID}
			}
			return PassMove{Do: PassLost, Reason: p.Stop, Cancel: a.ID}
		case Broken:
			broken = a
		}
	}
	n := p.sent()
	more := p.Stop == "" && f.Time && n < p.Most && (n == 0 || f.Budget)
	if broken != nil {
		switch {
		case more && (p.Out && p.Resume || !p.Out && p.Again):
			return PassMove{Do: PassPlace, Retry: true}
		case p.Out:
			return PassMove{Do: PassCut, Reason: broken.Cause}
		}
		return PassMove{Do: PassLost, Reason: broken.Cause}
	}
	// Every attempt, if there was one, provably never began.
	switch {
	case more:
		return PassMove{Do: PassPlace, Retry: n > 0}
	case p.Out:
		return PassMove{Do: PassCut, Reason: "no-engine"}
	case p.Stop != "":
		return PassMove{Do: PassRefuse, Reason: p.Stop}
	case !f.Time:
		return PassMove{Do: PassRefuse, Reason: "due-unreachable"}
	case n >= p.Most && n > 0:
		return PassMove{Do: PassRefuse, Reason: "engines-full"}
	}
	return PassMove{Do: PassRefuse, Reason: "retry-budget"}
}

// Note sets an attempt's state; it never moves backwards.
func (p *Passage) Note(id string, s State, cause string) bool {
	l := Ledger{Attempts: p.Attempts}
	return l.Note(id, s, cause)
}

// Window bounds sends beyond each request's first over a sliding span, as a part of
// the requests seen in it plus an allowance (design §14). It counts in steps: sends for
// a step longer than the span, requests for a step less, so that it never errs upwards.
type Window struct {
	Ratio  float64
	Allow  float64
	SpanUS int64
	first  [windowSteps + 2]int
	more   [windowSteps + 2]int
	at     int64
	begun  bool
}

const windowSteps = 20

func (w *Window) turn(now int64) {
	n := now / max(w.SpanUS/windowSteps, 1)
	k := int64(len(w.first))
	if !w.begun || n-w.at >= k {
		w.first, w.more = [windowSteps + 2]int{}, [windowSteps + 2]int{}
		w.at, w.begun = n, true
		return
	}
	for w.at < n {
		w.at++
		w.first[w.at%k], w.more[w.at%k] = 0, 0
	}
}

// Earn counts a request.
func (w *Window) Earn(now int64) {
	w.turn(now)
	w.first[w.at%int64(len(w.first))]++
}

// Has reports whether another send fits.
func (w *Window) Has(now int64) bool {
	w.turn(now)
	k := int64(len(w.first))
	f, m := 0, 0
	for j := range k {
		i := (w.at - j + 2*k) % k
		if j < windowSteps-1 {
			f += w.first[i]
		}
		m += w.more[i]
	}
	return float64(m+1) <= w.Ratio*float64(f)+w.Allow
}

// Spend counts a send beyond the first.
func (w *Window) Spend(now int64) {
	w.turn(now)
	w.more[w.at%int64(len(w.more))]++
}
