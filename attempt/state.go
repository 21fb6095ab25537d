package attempt

import "fmt"

// State is how far an attempt is known to have come. Its numbers are part of recordings and
// must not change.
type State uint8

// The states of an attempt.
const (
	Sent        State = iota + 1 // on its way to an engine, nothing known
	NotStarted                   // proof that it did not run and will not
	Started                      // the engine says that it runs
	Interrupted                  // lost: it may or may not have run on
	Completed                    // answered to the end
)

// String is the state's name in logs and test output.
func (s State) String() string {
	names := [...]string{"none", "sent", "not started", "started", "interrupted", "completed"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Unreachable is the cause of an attempt of which nothing reached an engine.
const Unreachable = "unreachable"

// Attempt is one sending of a request to one engine.
type Attempt struct {
	ID     string // unique within the request
	Engine string // id of the engine's incarnation
	State  State
	Cause  string // why it ended as it did; empty until it ended
}

// inFlight reports whether the attempt has not ended.
func (a *Attempt) inFlight() bool { return a.State == Sent || a.State == Started }

// survey finds what a decision rests on: the first attempt that is in flight or completed,
// or else the last one that was interrupted.
func survey(attempts []Attempt) (decisive, interrupted *Attempt) {
	for i := range attempts {
		switch a := &attempts[i]; {
		case a.State == Completed || a.inFlight():
			return a, nil
		case a.State == Interrupted:
			interrupted = a
		}
	}
	return nil, interrupted
}

// record sets an attempt's state, unless that would take back what is known already.
func record(attempts []Attempt, id string, state State, cause string) bool {
	for i := range attempts {
		a := &attempts[i]
		if a.ID != id {
			continue
		}
		if a.State != Sent && !(a.State == Started && state > Started) {
			return false
		}
		a.State, a.Cause = state, cause
		return true
	}
	return false
}
