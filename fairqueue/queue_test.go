package fairqueue

import (
	"fmt"
	"sort"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestQueue drives a queue by testdata/queue: push, serve, ahead.
func TestQueue(t *testing.T) {
	q := NewQueue()
	datadriven.RunTest(t, "testdata/queue", func(t *testing.T, d *datadriven.TestData) string {
		var g string
		var n, due, cost, room int
		for _, a := range d.CmdArgs {
			switch a.Key {
			case "group":
				g = a.Vals[0]
			case "n":
				d.ScanArgs(t, "n", &n)
			case "due":
				d.ScanArgs(t, "due", &due)
			case "cost":
				d.ScanArgs(t, "cost", &cost)
			case "room":
				d.ScanArgs(t, "room", &room)
			}
		}
		switch d.Cmd {
		case "new":
			q = NewQueue()
			return "ok\n"
		case "share":
			q.SetShare(g, float64(n))
			return "ok\n"
		case "push":
			for i := 0; i < max(n, 1); i++ {
				q.Push(g, Item{ID: fmt.Sprintf("%s%d", g, q.Waiting(g)), Deadline: int64(due), Cost: int64(cost)})
			}
			return fmt.Sprintf("%d waiting\n", q.Len())
		case "serve":
			c := map[string]int{}
			var order []string
			for i := 0; i < n; i++ {
				g, it, ok := q.Next(func(_ string, busy int) bool { return room == 0 || busy < room })
				if !ok {
					break
				}
				q.Dequeue(g, it.ID)
				if room == 0 {
					q.Release(g)
				}
				c[g]++
				order = append(order, it.ID)
			}
			if d.HasArg("order") {
				return strings.Join(order, " ") + "\n"
			}
			var out []string
			for g, k := range c {
				out = append(out, fmt.Sprintf("%s=%d", g, k))
			}
			sort.Strings(out)
			return strings.Join(out, " ") + "\n"
		case "ahead":
			return fmt.Sprintln(q.EstimateWait(g, int64(due), room))
		}
		return "unknown command\n"
	})
}

// TestSplit: parts never sum up to more than the room, nobody who can have one
// goes without, more demand never means less, and what is left over goes round.
func TestSplit(t *testing.T) {
	for room := 0; room < 40; room++ {
		for turn := 0; turn < 5; turn++ {
			w := func(n float64) map[string]float64 { return map[string]float64{"g": n} }
			ds := []Demand{{"a", w(0)}, {"b", w(3)}, {"c", w(30)}, {"d", w(3)}, {"e", w(1)}}
			s := Split(room, nil, 1, ds, turn)
			sum := 0
			for _, d := range ds {
				sum += s[d.Proxy]
				if room >= len(ds) && s[d.Proxy] == 0 {
					t.Fatalf("room %d: %s has none: %v", room, d.Proxy, s)
				}
			}
			if sum > room || room >= len(ds) && sum != room {
				t.Fatalf("room %d shared as %v", room, s)
			}
			if s["c"] < s["b"] || s["b"] < s["a"] && room >= len(ds) {
				t.Fatalf("room %d: more demand, less room: %v", room, s)
			}
		}
	}
	got, one := map[string]int{}, map[string]float64{"g": 1}
	for turn := 0; turn < 300; turn++ {
		for p, n := range Split(1, nil, 1, []Demand{{"a", one}, {"b", one}, {"c", one}}, turn) {
			got[p] += n
		}
	}
	if got["a"] < 98 || got["b"] < 98 || got["c"] < 98 {
		t.Fatalf("a single place goes round as %v", got)
	}
}

// TestSplitByGroups: a group that floods one proxy takes no room from a group of
// another proxy that stays within its share, and gets all that is left.
func TestSplitByGroups(t *testing.T) {
	ds := []Demand{{"a", map[string]float64{"flood": 500}}, {"b", map[string]float64{"desk": 12}}, {"c", map[string]float64{"desk": 6}}}
	for turn := 0; turn < 4; turn++ {
		s := Split(24, map[string]float64{"flood": 1, "desk": 4}, 1, ds, turn)
		if s["a"] != 6 || s["b"] != 12 || s["c"] != 6 {
			t.Fatalf("%v", s)
		}
		// The same demand goes to two engines: half of it is this one's.
		if s := Split(24, map[string]float64{"flood": 1, "desk": 4}, 2, ds, turn); s["a"] != 15 || s["b"] != 6 || s["c"] != 3 {
			t.Fatalf("%v", s)
		}
	}
}
