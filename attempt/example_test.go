package attempt_test

import (
	"fmt"

	"violetthread/attempt"
)

// A once-only request is claimed and sent. The first engine provably does not start it, so it
// is sent to a second one, whose connection is lost: the outcome is unknown.
func ExampleHistory_Next() {
	h := attempt.History{OnceOnly: true}
	conditions := attempt.Conditions{TimeLeft: true, RetryAllowed: true}
	fmt.Println(h.Next(conditions).Action == attempt.RequestClaim)
	h.Claim = attempt.ClaimGranted
	h.Attempts = append(h.Attempts, attempt.Attempt{ID: "1", State: attempt.Sent})
	h.Record("1", attempt.NotStarted, "busy")
	decision := h.Next(conditions)
	fmt.Println(decision.Action == attempt.Assign, decision.SpendsRetry)
	h.Attempts = append(h.Attempts, attempt.Attempt{ID: "2", State: attempt.Sent})
	h.Record("2", attempt.Interrupted, "engine-lost")
	decision = h.Next(conditions)
	fmt.Println(decision.Action == attempt.Finish, decision.Outcome, decision.Reason)
	// Output:
	// true
	// true true
	// true unknown engine-lost
}
