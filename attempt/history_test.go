package attempt

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestTable runs the state table of the design page (§6): each case is a
// history, its answer the next step.
func TestTable(t *testing.T) {
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		h := History{}
		f := Conditions{TimeLeft: !d.HasArg("no-time"), RetryAllowed: !d.HasArg("no-budget")}
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
						d.Fatalf(t, "no state %q", v)
					}
					h.Attempts = append(h.Attempts, Attempt{ID: fmt.Sprint("a", i), State: s, Cause: "lost"})
				}
			}
		}
		m := h.Next(f)
		out := []string{map[Action]string{Wait: "wait", RequestClaim: "ask", Assign: "assign", Finish: "end"}[m.Action]}
		for _, s := range []string{string(m.Outcome), m.Reason} {
			if s != "" {
				out = append(out, s)
			}
		}
		if m.CancelAttempt != "" {
			out = append(out, "cancel="+m.CancelAttempt)
		}
		if m.ReleaseClaim {
			out = append(out, "release")
		}
		if m.SpendsRetry {
			out = append(out, "retry")
		}
		return strings.Join(out, " ") + "\n"
	})
}

// TestNoSecondRun tries every history of up to two attempts: whatever else
// holds, a once-only request and one whose answer has begun are assigned again only when
// every attempt provably never ran, and rejected only then as well.
func TestNoSecondRun(t *testing.T) {
	states := []State{0, Sent, NotStarted, Started, Interrupted, Completed}
	n := 0
	for _, a := range states {
		for _, b := range states {
			for c := ClaimNotRequested; c <= ClaimUnknown; c++ {
				for bits := 0; bits < 32; bits++ {
					h := History{OnceOnly: bits&1 != 0, ResponseStarted: bits&2 != 0, Claim: c}
					if bits&4 != 0 {
						h.StopReason = "stop"
					}
					for i, s := range []State{a, b} {
						if s != 0 {
							h.Attempts = append(h.Attempts, Attempt{ID: fmt.Sprint(i), State: s})
						}
					}
					m := h.Next(Conditions{TimeLeft: bits&8 != 0, RetryAllowed: bits&16 != 0})
					mayHaveRun := false
					for _, x := range h.Attempts {
						mayHaveRun = mayHaveRun || x.State != NotStarted
					}
					n++
					if m.Action == Assign && mayHaveRun && (h.OnceOnly || h.ResponseStarted) {
						t.Fatalf("second run: %+v -> %+v", h, m)
					}
					if m.Action == Assign && h.OnceOnly && h.Claim != ClaimGranted && !mayHaveRun {
						t.Fatalf("run without a claim: %+v -> %+v", h, m)
					}
					if m.Outcome == Rejected && mayHaveRun {
						t.Fatalf("rejected what may have run: %+v -> %+v", h, m)
					}
				}
			}
		}
	}
	if n != 6*6*5*32 {
		t.Fatalf("tried %d histories", n)
	}
}
