package attempt_test

import (
	"fmt"

	"violetthread/attempt"
)

// A once-only ticket: claimed, sent, turned away with proof, sent again, lost.
func ExampleLedger_Next() {
	l := attempt.History{OnceOnly: true}
	f := attempt.Conditions{TimeLeft: true, RetryAllowed: true}
	fmt.Println(l.Next(f).Action == attempt.RequestClaim)
	l.Claim = attempt.ClaimGranted
	l.Attempts = append(l.Attempts, attempt.Attempt{ID: "1", State: attempt.Sent})
	l.Record("1", attempt.NotStarted, "busy")
	m := l.Next(f)
	fmt.Println(m.Action == attempt.Assign, m.SpendsRetry)
	l.Attempts = append(l.Attempts, attempt.Attempt{ID: "2", State: attempt.Sent})
	l.Record("2", attempt.Interrupted, "engine-lost")
	m = l.Next(f)
	fmt.Println(m.Action == attempt.Finish, m.Outcome, m.Reason)
	// Output:
	// true
	// true true
	// true unknown engine-lost
}
