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
		l := Ledger{}
		f := Facts{Time: !d.HasArg("no-time"), Budget: !d.HasArg("no-budget")}
		l.Once, l.Out, l.Ended = d.HasArg("once"), d.HasArg("out"), d.HasArg("ended")
		claims := map[string]Claim{"missing": Missing, "asked": Asked, "held": Held, "taken": Taken, "doubtful": Doubtful}
		states := map[string]State{"sent": Sent, "never": NeverBegan, "began": Began, "broken": Broken, "finished": Finished}
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "claim":
				l.Claim = claims[a.Vals[0]]
			case "stop":
				l.Stop = a.Vals[0]
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
		out := []string{map[Do]string{Wait: "wait", Ask: "ask", Assign: "assign", End: "end"}[m.Do]}
		for _, s := range []string{string(m.Outcome), m.Reason} {
			if s != "" {
				out = append(out, s)
			}
		}
		if m.Cancel != "" {
			out = append(out, "cancel="+m.Cancel)
		}
		if m.Release {
			out = append(out, "release")
		}
		if m.Retry {
			out = append(out, "retry")
		}
		return strings.Join(out, " ") + "\n"
	})
}

// TestNoSecondRun tries every ledger of up to two attempts: whatever else holds,
// a once-only ticket and one whose answer has begun are assigned again only when
// every attempt provably never began, and refused only then as well.
func TestNoSecondRun(t *testing.T) {
	states := []State{0, Sent, NeverBegan, Began, Broken, Finished}
	n := 0
	for _, a := range states {
		for _, b := range states {
			for c := Missing; c <= Doubtful; c++ {
				for bits := 0; bits < 32; bits++ {
					l := Ledger{Once: bits&1 != 0, Out: bits&2 != 0, Claim: c}
					if bits&4 != 0 {
						l.Stop = "stop"
					}
					for i, s := range []State{a, b} {
						if s != 0 {
							l.Attempts = append(l.Attempts, Attempt{ID: fmt.Sprint(i), State: s})
						}
					}
					m := l.Next(Facts{Time: bits&8 != 0, Budget: bits&16 != 0})
					mayHaveRun := false
					for _, x := range l.Attempts {
						mayHaveRun = mayHaveRun || x.State != NeverBegan
					}
					n++
					if m.Do == Assign && mayHaveRun && (l.Once || l.Out) {
						t.Fatalf("second run: %+v -> %+v", l, m)
					}
					if m.Do == Assign && l.Once && l.Claim != Held && !mayHaveRun {
						t.Fatalf("run without a claim: %+v -> %+v", l, m)
					}
					if m.Outcome == Refused && mayHaveRun {
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
	b := Budget{Permille: 100}
	spent := 0
	for i := 0; i < 1000; i++ {
		b.Earn()
		for b.Has() {
			b.Spend()
			spent++
		}
	}
	if spent != 100 {
		t.Fatalf("1000 tickets paid for %d retries, want 100", spent)
	}
}
