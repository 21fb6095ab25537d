package attempt

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestTable runs the state table of the design page (§6): each case is a ledger,
// its answer the next move.
func TestTable(t *testing.T) {
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		l := History{}
		f := Conditions{TimeLeft: !d.HasArg("no-time"), RetryAllowed: !d.HasArg("no-budget")}
		l.OnceOnly, l.ResponseStarted, l.Ended = d.HasArg("once"), d.HasArg("out"), d.HasArg("ended")
		claims := map[string]ClaimState{"missing": ClaimNotRequested, "asked": ClaimRequested, "held": ClaimGranted, "taken": ClaimTaken, "doubtful": ClaimUnknown}
		states := map[string]State{"sent": Sent, "never": NotStarted, "began": Started, "broken": Interrupted, "finished": Completed}
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "claim":
				l.Claim = claims[a.Vals[0]]
			case "stop":
				l.StopReason = a.Vals[0]
			case "attempts":
				for i, v := range a.Vals {
					s, ok := states[v]
					if !ok {
						d.Fatalf(t, "no state %q", v)
					}
					l.Attempts = append(l.Attempts, Attempt{ID: fmt.Sprint("a", i), State: s, Cause: "lost"})
				}
			}
		}
		m := l.Next(f)
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

// TestNoSecondRun tries every ledger of up to two attempts: whatever else holds,
// a once-only ticket and one whose answer has begun are assigned again only when
// every attempt provably never began, and refused only then as well.
func TestNoSecondRun(t *testing.T) {
	states := []State{0, Sent, NotStarted, Started, Interrupted, Completed}
	n := 0
	for _, a := range states {
		for _, b := range states {
			for c := ClaimNotRequested; c <= ClaimUnknown; c++ {
				for bits := 0; bits < 32; bits++ {
					l := History{OnceOnly: bits&1 != 0, ResponseStarted: bits&2 != 0, Claim: c}
					if bits&4 != 0 {
						l.StopReason = "stop"
					}
					for i, s := range []State{a, b} {
						if s != 0 {
							l.Attempts = append(l.Attempts, Attempt{ID: fmt.Sprint(i), State: s})
						}
					}
					m := l.Next(Conditions{TimeLeft: bits&8 != 0, RetryAllowed: bits&16 != 0})
					mayHaveRun := false
					for _, x := range l.Attempts {
						mayHaveRun = mayHaveRun || x.State != NotStarted
					}
					n++
					if m.Action == Assign && mayHaveRun && (l.OnceOnly || l.ResponseStarted) {
						t.Fatalf("second run: %+v -> %+v", l, m)
					}
					if m.Action == Assign && l.OnceOnly && l.Claim != ClaimGranted && !mayHaveRun {
						t.Fatalf("run without a claim: %+v -> %+v", l, m)
					}
					if m.Outcome == Rejected && mayHaveRun {
						t.Fatalf("refused what may have run: %+v -> %+v", l, m)
					}
				}
			}
		}
	}
	if n != 6*6*5*32 {
		t.Fatalf("tried %d ledgers", n)
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := RetryBudget{Permille: 100}
	spent := 0
	for i := 0; i < 1000; i++ {
		b.CountRequest()
		for b.Allows() {
			b.CountRetry()
			spent++
		}
	}
	if spent != 100 {
		t.Fatalf("1000 tickets paid for %d retries, want 100", spent)
	}
}
