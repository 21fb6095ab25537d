package replay

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"violetthread/attempt"
	"violetthread/dispatch"
	"violetthread/index"
	"violetthread/plan"
	"violetthread/recording"
)

// record makes calls of a component and returns their recording.
func record(t *testing.T, name string, calls func(w *recording.Writer)) []byte {
	t.Helper()
	path := filepath.Join(t.TempDir(), "recording")
	w, err := recording.Create(path, recording.Header{Component: name, Name: "node", Zone: "north", Incarnation: 1}, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	calls(w)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

const now = 10_000_000

func recordDispatcher(t *testing.T) []byte {
	return record(t, recording.ComponentDispatcher, func(w *recording.Writer) {
		d := &Dispatcher{dispatch.New("node", "north", 1), w}
		d.ApplyPlan(now, &plan.Cached{})
		d.ApplyGrants(now, []dispatch.EngineGrant{{Engine: "e1", Capacity: 1}})
		d.Admit(now, dispatch.Request{Ref: 1, ID: "a", Prompt: "secret"})
		d.ClaimAnswered(now, 1, attempt.ClaimState(1))
		d.AttemptProgressed(now, 1, "a-1", attempt.State(1), "cause")
		d.AllowFirstByte(now, 1, "a-1")
		d.Stop(now, 1, "gone")
		d.Tick(now)
	})
}

func recordIndexNode(t *testing.T) []byte {
	return record(t, recording.ComponentIndexNode, func(w *recording.Writer) {
		n := &IndexNode{index.New("node", "north", 1), w}
		n.ApplyPlan(now, &plan.Cached{})
		n.SetPeers(now, []index.Peer{{Name: "node", Zone: "north", Addr: "node"}})
		n.SetListing(now, now, []index.ListedEngine{{Name: "e1", Zone: "north", Addr: "e1"}})
		n.ConfirmListing(now, now)
		for _, op := range n.LeaseOps(now) {
			n.LeaseAnswered(now, op, now, true, 1)
		}
		n.Polls(now)
		n.ResetHoldings(now, "e1", 1, 1, nil)
		n.ApplyReport(now, now, "e1", index.Report{Incarnation: 1, Capacity: 1})
		n.WeightUpdates(now)
		n.IssueGrants(now, index.GrantRequest{Proxy: "p", Zone: "north"})
	})
}

// TestReplay: the replay of every kind of call gives the recorded decision, and no prompt is
// recorded.
func TestReplay(t *testing.T) {
	for _, test := range []struct {
		name     string
		record   func(t *testing.T) []byte
		minCalls int
	}{
		{"dispatcher", recordDispatcher, 8},
		{"index node", recordIndexNode, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			content := test.record(t)
			calls, err := Replay(bytes.NewReader(content))
			if err != nil || calls < test.minCalls || calls != bytes.Count(content, []byte("\n"))-1 {
				t.Fatalf("%d calls replayed of %d lines: %v", calls, bytes.Count(content, []byte("\n")), err)
			}
			if bytes.Contains(content, []byte("secret")) {
				t.Error("a prompt was recorded")
			}
		})
	}
}

// TestDifference: a decision that differs is returned together with the recorded one.
func TestDifference(t *testing.T) {
	content := recordIndexNode(t)
	changed := bytes.Replace(content, []byte(`"duty/engine/e1"`), []byte(`"duty/engine/e2"`), 1)
	if bytes.Equal(content, changed) {
		t.Fatal("the recording has no role of an engine")
	}
	_, err := Replay(bytes.NewReader(changed))
	var difference *DifferenceError
	if !errors.As(err, &difference) {
		t.Fatalf("%v (%T)", err, err)
	}
	if difference.Line < 2 || bytes.Equal(difference.Event.Output, difference.Decision) {
		t.Fatalf("line %d: %s and %s", difference.Line, difference.Event.Output, difference.Decision)
	}
}

// TestUnknownComponent: a recording of an unknown component is rejected.
func TestUnknownComponent(t *testing.T) {
	content := record(t, "other", func(*recording.Writer) {})
	if _, err := Replay(bytes.NewReader(content)); err == nil {
		t.Fatal("replayed")
	}
}
