package attempt_test

import (
	"fmt"

	"violetthread/attempt"
)

// A once-only ticket: claimed, sent, turned away with proof, sent again, lost.
func ExampleLedger_Next() {
	l := attempt.Ledger{Once: true}
	f := attempt.Facts{Time: true, Budget: true}
	fmt.Println(l.Next(f).Do == attempt.Ask)
	l.Claim = attempt.Held
	l.Attempts = append(l.Attempts, attempt.Attempt{ID: "1", State: attempt.Sent})
	l.Note("1", attempt.NeverBegan, "busy")
	m := l.Next(f)
	fmt.Println(m.Do == attempt.Assign, m.Retry)
	l.Attempts = append(l.Attempts, attempt.Attempt{ID: "2", State: attempt.Sent})
	l.Note("2", attempt.Broken, "engine-lost")
	m = l.Next(f)
	fmt.Println(m.Do == attempt.End, m.Outcome, m.Reason)
	// Output:
	// true
	// true true
	// true unknown engine-lost
}
