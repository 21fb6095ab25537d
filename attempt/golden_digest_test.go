package attempt_test

import (
	"fmt"
	"math/rand"
	"testing"

	"violetthread/attempt"
	"violetthread/internal/goldendigest"
)

// TestGoldenDigest runs forwarded requests through random sequences of events, with a
// RetryWindow, and compares the decisions with the stored digest.
func TestGoldenDigest(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	digest := goldendigest.New()
	causes := []string{attempt.Unreachable, "busy", "reset", "silent"}
	window := attempt.RetryWindow{Ratio: 0.1, Allowance: 3, SpanUS: 10_000_000}
	now := int64(0)
	for range 3000 {
		now += rnd.Int63n(60_000)
		window.CountRequest(now)
		request := attempt.Forward{Repeatable: rnd.Intn(2) == 0, Resumable: rnd.Intn(2) == 0, MaxEngines: 1 + rnd.Intn(4)}
		for step := range 12 {
			decision := request.Next(attempt.Conditions{TimeLeft: rnd.Intn(12) > 0, RetryAllowed: window.Allows(now)})
			digest.Number(int64(decision.Action))
			digest.Text(decision.Reason)
			digest.Text(decision.CancelAttempt)
			digest.Flag(decision.SpendsRetry)
			switch decision.Action {
			case attempt.ForwardSend:
				if decision.SpendsRetry {
					window.CountRetry(now)
				}
				request.Attempts = append(request.Attempts, attempt.Attempt{ID: fmt.Sprint("a", step), State: attempt.Sent})
			case attempt.ForwardWait:
				last := request.Attempts[len(request.Attempts)-1].ID
				state := attempt.State(rnd.Intn(8))
				digest.Flag(request.Record(last, state, causes[rnd.Intn(len(causes))]))
				request.HeadSent = request.HeadSent || state == attempt.Started && rnd.Intn(2) == 0
				if rnd.Intn(10) == 0 {
					request.StopReason = "stopped"
				}
			default:
				request.Ended = true
			}
			if request.Ended {
				break
			}
		}
		digest.Number(int64(len(request.Attempts)))
	}
	digest.Compare(t)
}
