package cacheindex

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

func TestChain(t *testing.T) {
	p := strings.Repeat("x", 3*BlockBytes) + "tail"
	a := PrefixKeys("commons", "w1", p)
	if len(a) != 3 {
		t.Fatalf("%d parts of three blocks and a tail", len(a))
	}
	if b := PrefixKeys("commons", "w1", p[:2*BlockBytes]+"other"); b[0] != a[0] || b[1] != a[1] || len(b) != 2 {
		t.Fatal("a shared prefix has other keys")
	}
	seen := map[Key]string{}
	for _, x := range [][2]string{{"commons", "w1"}, {"commons", "w2"}, {"wall:a", "w1"}, {"wall:a", "w"}, {"wall:aw", "1"}} {
		k := PrefixKeys(x[0], x[1], p)[0]
		if o := seen[k]; o != "" || k.Check != DomainCheck(x[0], x[1]) {
			t.Fatalf("%v has the key of %s", x, o)
		}
		seen[k] = fmt.Sprint(x)
	}
}

func key(i int) Key { return Key{uint64(i) * 0x9e3779b97f4a7c15, uint64(i) * 0xbf58476d1ce4e5b9, 7} }

// TestTable: a hint is found under its whole key only, the oldest written entry
// of a set goes first, and a full table stays within its size.
func TestTable(t *testing.T) {
	tb := NewTable(64)
	for i := 1; i <= 1000; i++ {
		tb.Put(key(i), uint64(i))
		if n, ok := tb.Get(key(i)); !ok || n != uint64(i) {
			t.Fatalf("just written %d: %d %v", i, n, ok)
		}
	}
	if tb.Len() > tb.Cap() || tb.Cap() != 64 {
		t.Fatalf("%d of %d entries", tb.Len(), tb.Cap())
	}
	k := key(1000)
	for _, o := range []Key{{k.Hi + 1, k.Lo, k.Check}, {k.Hi, k.Lo + 1, k.Check}, {k.Hi, k.Lo, k.Check + 1}} {
		if _, ok := tb.Get(o); ok {
			t.Fatalf("%v was found as %v", o, k)
		}
	}
	if tb.Remove(k, 1) || !tb.Remove(k, 1000) {
		t.Fatal("a drop must name the hinted holder")
	}
	set := NewTable(4)
	for i := 1; i <= 5; i++ {
		set.Put(key(i), uint64(i))
	}
	if _, ok := set.Get(key(1)); ok || set.Len() != 4 {
		t.Fatal("the oldest of a full set stayed")
	}
}

// TestTableRace reads while one writes: a reader sees a holder that was written
// for that very key, or none.
func TestTableRace(t *testing.T) {
	tb := NewTable(256)
	stop := make(chan struct{})
	bad := make(chan string, 4)
	for r := 0; r < 3; r++ {
		go func(seed int64) {
			rng := rand.New(rand.NewSource(seed))
			for {
				select {
				case <-stop:
					bad <- ""
					return
				default:
				}
				i := 1 + rng.Intn(600)
				if n, ok := tb.Get(key(i)); ok && n%1000 != uint64(i) {
					bad <- fmt.Sprintf("key %d names %d", i, n)
					return
				}
			}
		}(int64(r))
	}
	rng := rand.New(rand.NewSource(9))
	for j := 0; j < 60_000; j++ {
		i := 1 + rng.Intn(600)
		if rng.Intn(3) == 0 {
			tb.Remove(key(i), 0)
		} else {
			tb.Put(key(i), uint64(i+1000*rng.Intn(50)))
		}
	}
	close(stop)
	for r := 0; r < 3; r++ {
		if s := <-bad; s != "" {
			t.Fatal(s)
		}
	}
}

// TestDirectory drives a shard's directory by testdata/directory: holders e1 and
// e2 stand north, e3 east, s is the store; the answer is the news per site.
func TestDirectory(t *testing.T) {
	ids := map[string]uint64{"e1": 1, "e2": 2, "e3": 3, "s": 9}
	d := NewDirectory(5, 100)
	next := map[string]uint64{}
	datadriven.RunTest(t, "testdata/directory", func(_ *testing.T, c *datadriven.TestData) string {
		switch c.Cmd {
		case "new":
			d = NewDirectory(5, 100)
			d.SetLocation(1, Location{Zone: "north"})
			d.SetLocation(2, Location{Zone: "north"})
			d.SetLocation(3, Location{Zone: "east"})
			d.SetLocation(9, Location{Zone: "north", Store: true})
			for _, s := range []string{"north", "east", "west"} {
				next[s] = d.ZoneLog(s).Since(0, 0, 10).Next
				d.PrefetchLog(s)
			}
		case "load", "drop":
			op := map[string]UpdateOp{"load": OpAdd, "drop": OpRemove}[c.Cmd]
			d.Apply(Update{key(1), ids[c.CmdArgs[0].Key], op})
		}
		var out []string
		for _, s := range []string{"north", "east", "west"} {
			b := d.ZoneLog(s).Since(5, next[s], 10)
			next[s] = b.Next
			for _, n := range b.Updates {
				for name, id := range ids {
					if id == n.Node {
						out = append(out, fmt.Sprintf("%s: %s %s", s, map[UpdateOp]string{OpAdd: "load", OpRemove: "drop"}[n.Op], name))
					}
				}
			}
		}
		if len(out) == 0 {
			return "nothing\n"
		}
		return strings.Join(out, "\n") + "\n"
	})
}

// TestOutbox: a follower that keeps up gets every piece once, one that fell
// behind or followed another life starts anew.
func TestOutbox(t *testing.T) {
	full := []Update{{key(77), 1, OpAdd}}
	o := NewUpdateLog(3, 10, func() []Update { return full })
	b := o.Since(0, 0, 5)
	if !b.Reset || len(b.Updates) != 1 {
		t.Fatalf("a new follower got %+v", b)
	}
	got := 0
	for i := 1; i <= 50; i++ {
		o.Append(Update{key(i), 1, OpAdd})
		n := o.Since(3, b.Next, 5)
		if n.Reset {
			t.Fatal("a follower that keeps up was reset")
		}
		got, b = got+len(n.Updates), n
	}
	if got != 50 {
		t.Fatalf("%d of 50", got)
	}
	for i := 0; i < 40; i++ {
		o.Append(Update{key(i), 2, OpAdd})
	}
	if x := o.Since(3, b.Next, 5); !x.Reset {
		t.Fatal("a follower far behind was not reset")
	}
	if x := o.Since(4, b.Next, 5); !x.Reset {
		t.Fatal("a follower of another life was not reset")
	}
}

// TestGrades: a link that fails is left at once, probed sparingly, and comes back.
func TestGrades(t *testing.T) {
	g := NewTransferScores()
	now := int64(0)
	if !UsableScore(g.Score(now, 1)) {
		t.Fatal("an unknown link must be tried")
	}
	g.Record(now, 1, false)
	g.Record(now, 1, false)
	if UsableScore(g.Score(now, 1)) {
		t.Fatal("two failures in a row and still used")
	}
	probes := 0
	for ; now < 120_000_000; now += 100_000 {
		if UsableScore(g.Score(now, 1)) {
			probes++
			g.Record(now, 1, false)
		}
	}
	if probes < 3 || probes > 10 {
		t.Fatalf("%d probes in two minutes", probes)
	}
	for i := 0; i < 4; i++ {
		g.Record(now, 1, true)
	}
	if !UsableScore(g.Score(now, 1)) {
		t.Fatal("a mended link stays unused")
	}
}
