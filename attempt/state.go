package attempt

import "fmt"

// State is the known progress of an attempt. The numbers are stored in recordings and must
// not change.
type State uint8

// The states of an attempt.
const (
	Sent        State = iota + 1 // sent to an engine, nothing known yet
	NotStarted                   // proven not to have run, and never to run later
	Started                      // the engine reports that it is running
	Interrupted                  // contact lost: it may have run or still be running
	Completed                    // the response is complete
)

// String is the state's name in logs and test output.
func (s State) String() string {
	names := [...]string{"none", "sent", "not started", "started", "interrupted", "completed"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("State(%d)", uint8(s))
}

// Unreachable is the Cause of an attempt of which no part reached an engine.
const Unreachable = "unreachable"

// Attempt records that a request was sent to one engine, and what is known of the result.
type Attempt struct {
	ID     string // unique within the request
	Engine string // id of the engine's incarnation
	State  State
	Cause  string // why it ended in its State; empty until then
}

// inFlight reports whether the attempt has not ended.
func (a *Attempt) inFlight() bool { return a.State == Sent || a.State == Started }

// decidingAttempt returns the attempt that determines the next step: the first one that is
// in flight or completed, or else the last one that was interrupted.
func decidingAttempt(attempts []Attempt) (decisive, interrupted *Attempt) {
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

// record sets an attempt's state and cause. It refuses to replace a final state, and to move
// a started attempt to Sent, NotStarted or Started.
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
