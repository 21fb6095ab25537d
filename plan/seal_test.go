package plan

import (
	"fmt"
	"strings"
	"testing"
)

// TestSealMoves: a domain changes when a wall of it moves or its weights are
// named anew, for whom it must and for nobody else. Plans are written as weights
// and groups, walled ones with a bar.
func TestSealMoves(t *testing.T) {
	var val []byte
	var rev uint64
	var last *Compiled
	step := func(words string) {
		t.Helper()
		f := strings.Fields(words)
		var gs []string
		for _, g := range f[1:] {
			n, wall := strings.CutSuffix(g, "|")
			gs = append(gs, fmt.Sprintf("%q:{\"share\":1,\"wall\":%v,\"keys\":[]}", n, wall))
		}
		raw := fmt.Sprintf(`{"weights":%q,"kinds":{"k":{"due_us":1000000}},"groups":{%s}}`, f[0], strings.Join(gs, ","))
		v, err := Encode(val, []byte(raw), rev+1)
		if err != nil {
			t.Fatal(err)
		}
		rev, val = rev+1, v
		if _, r, err := Decode(val); err != nil || string(r) != raw {
			t.Fatalf("%q came back as %q, %v", raw, r, err)
		}
		if last, err = Load(val, rev); err != nil {
			t.Fatal(err)
		}
	}
	of := func(g string) string { return last.CacheDomain(g, last.Weights) }
	moved := func(why, g, was string, want bool) {
		t.Helper()
		if (of(g) != was) != want {
			t.Errorf("%s: the domain of %s is %s after %s", why, g, of(g), was)
		}
	}
	step("w1 a b c|")
	a, c := of("a"), of("c")
	if a != of("b") || a == c {
		t.Fatalf("%s %s %s", a, of("b"), c)
	}
	step("w1 a b c| d")
	moved("another group came", "a", a, false)
	moved("another group came", "c", c, false)
	step("w1 a b| c| d")
	moved("b was walled off", "a", a, true)
	moved("b was walled off", "c", c, false)
	if of("b") == of("a") || of("a") != of("d") {
		t.Error("b is not apart, or d is")
	}
	a, b := of("a"), of("b")
	step("w1 a b| c| d e|")
	moved("a newcomer behind a wall", "a", a, false)
	step("w1 a b c| d e|")
	moved("b was opened", "a", a, true)
	step("w1 a b| c| d e|")
	moved("b was walled off again", "b", b, true)
	b = of("b")
	step("w1 a c| d e|")
	step("w1 a b| c| d e|")
	moved("b was removed and made again", "b", b, true)
	moved("b was removed and made again", "c", c, false)
	step("w1 a b| c| d")
	a = of("a")
	step("w1 a b| c|")
	moved("d went", "a", a, false)
	step("w1 a b| c| d|")
	moved("d shared, went, and came behind a wall", "a", a, true)
	a, c = of("a"), of("c")
	step("w2 a b| c| d|")
	moved("weights", "c", c, true)
	if last.CacheDomain("a", "w1") != a {
		t.Error("engines that still run w1 find nothing kept")
	}
	step("w1 a b| c| d|")
	moved("weights that come back", "a", a, true)
	if _, _, err := Decode(val[:8]); err == nil {
		t.Error("a cut seal was read")
	}
}
