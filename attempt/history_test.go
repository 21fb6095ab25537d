package attempt

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestTable runs the state table of docs/design.md §6: the input of each case is a history,
// its expected output the next step.
func TestTable(t *testing.T) {
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		h := History{}
		conditions := Conditions{TimeLeft: !d.HasArg("no-time"), RetryAllowed: !d.HasArg("no-budget")}
		h.OnceOnly, h.ResponseStarted, h.Ended = d.HasArg("once"), d.HasArg("out"), d.HasArg("ended")
		claims := map[string]ClaimState{"missing": ClaimNotRequested, "asked": ClaimRequested, "held": ClaimGranted, "taken": ClaimTaken, "doubtful": ClaimUnknown}
		states := map[string]State{"sent": Sent, "never": NotStarted, "began": Started, "broken": Interrupted, "finished": Completed}
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "claim":
				h.Claim = claims[a.Vals[0]]
			case "stop":
				h.StopReason = a.Vals[0]
			case "attempts":
				for i, v := range a.Vals {
					s, ok := states[v]
					if !ok {
						d.Fatalf(t, "unknown state %q", v)
					}
					h.Attempts = append(h.Attempts, Attempt{ID: fmt.Sprint("a", i), State: s, Cause: "lost"})
				}
			}
		}
		decision := h.Next(conditions)
		out := []string{map[Action]string{Wait: "wait", RequestClaim: "ask", Assign: "assign", Finish: "end"}[decision.Action]}
		for _, s := range []string{string(decision.Outcome), decision.Reason} {
			if s != "" {
				out = append(out, s)
			}
		}
		if decision.CancelAttempt != "" {
			out = append(out, "cancel="+decision.CancelAttempt)
		}
		if decision.ReleaseClaim {
			out = append(out, "release")
		}
		if decision.SpendsRetry {
			out = append(out, "retry")
		}
		return strings.Join(out, " ") + "\n"
	})
}

// TestNoSecondRun tries every history of up to two attempts: a once-only request, or one
// whose response has started, is assigned again only if every attempt provably never ran; no
// request is rejected if an attempt may have run.
func TestNoSecondRun(t *testing.T) {
	states := []State{0, Sent, NotStarted, Started, Interrupted, Completed}
	count := 0
	for _, first := range states {
		for _, second := range states {
			for claim := ClaimNotRequested; claim <= ClaimUnknown; claim++ {
				for bits := 0; bits < 32; bits++ {
					h := History{OnceOnly: bits&1 != 0, ResponseStarted: bits&2 != 0, Claim: claim}
					if bits&4 != 0 {
						h.StopReason = "stop"
					}
					for i, s := range []State{first, second} {
						if s != 0 {
							h.Attempts = append(h.Attempts, Attempt{ID: fmt.Sprint(i), State: s})
						}
					}
					decision := h.Next(Conditions{TimeLeft: bits&8 != 0, RetryAllowed: bits&16 != 0})
					mayHaveRun := false
					for _, a := range h.Attempts {
						mayHaveRun = mayHaveRun || a.State != NotStarted
					}
					count++
					if decision.Action == Assign && mayHaveRun && (h.OnceOnly || h.ResponseStarted) {
						t.Fatalf("assigned again although it may have run: %+v -> %+v", h, decision)
					}
					if decision.Action == Assign && h.OnceOnly && h.Claim != ClaimGranted && !mayHaveRun {
						t.Fatalf("assigned without a claim: %+v -> %+v", h, decision)
					}
					if decision.Outcome == Rejected && mayHaveRun {
						t.Fatalf("rejected although it may have run: %+v -> %+v", h, decision)
					}
				}
			}
		}
	}
	if count != 6*6*5*32 {
		t.Fatalf("tried %d histories", count)
	}
}
