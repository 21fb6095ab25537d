package cacheindex

import (
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// TestPartKeyBounds: where one word ends and the next begins matters.
func TestPartKeyBounds(t *testing.T) {
	text := "ab.1m0c"
	seen := map[Key]string{}
	for i := 0; i <= len(text); i++ {
		for j := i; j <= len(text); j++ {
			name := text[:i] + "|" + text[i:j] + "|" + text[j:]
			k := BlockKey(text[:i], text[i:j], text[j:])
			if o, ok := seen[k]; ok {
				t.Fatalf("%s and %s have one key", o, name)
			}
			seen[k] = name
		}
	}
	for _, s := range []string{"", "\x00", "\x01\x00a", "a\x00", strings.Repeat("s", 300)} {
		for _, m := range []string{"", "\x00", "\x00\x00", "m\x00"} {
			for _, id := range []string{"", "\x00", "0"} {
				k := BlockKey(s, m, id)
				if _, ok := seen[k]; ok {
					t.Fatalf("%q %q %q has another's key", s, m, id)
				}
				seen[k] = s
				if k != BlockKey(s, m, id) {
					t.Fatal("one part has two keys")
				}
			}
		}
	}
	// The check tells salt and model apart without the part.
	if BlockKey("a", "m", "1").Check != BlockKey("a", "m", "2").Check || BlockKey("a", "m", "1").Check == BlockKey("b", "m", "1").Check || BlockKey("a", "m", "1").Check == BlockKey("a", "n", "1").Check {
		t.Fatal("the check is not one of salt and model")
	}
}

func holders(h *HolderTable, k Key) []uint64 {
	l := h.Get(k, nil)
	slices.Sort(l)
	return l
}

// TestHoldersMost: sixteen are kept of a part; another takes the place of one of them.
func TestHoldersMost(t *testing.T) {
	h := NewHolderTable(1 << 12)
	k, o := BlockKey("s", "m", "1"), BlockKey("s", "m", "2")
	h.Put(o, 99)
	for n := uint64(1); n <= maxHolders; n++ {
		h.Put(k, n)
		h.Put(k, n)
		if l := holders(h, k); len(l) != int(n) {
			t.Fatalf("%d were put, %v are held", n, l)
		}
	}
	h.Put(k, 500)
	l := holders(h, k)
	if len(l) != maxHolders || !slices.Contains(l, 500) || slices.Contains(l, 99) {
		t.Fatalf("after one too many: %v", l)
	}
	h.Remove(k, 77)
	if len(holders(h, k)) != maxHolders {
		t.Fatal("a drop of a stranger dropped another")
	}
	h.Remove(k, 500)
	if l := holders(h, k); len(l) != maxHolders-1 || slices.Contains(l, 500) {
		t.Fatalf("after a drop: %v", l)
	}
	if l := holders(h, o); !slices.Equal(l, []uint64{99}) {
		t.Fatalf("the other part has %v", l)
	}
	h.Put(o, l[0])
	if n := h.RemoveNode(l[0]); n != 2 {
		t.Fatalf("one holder was forgotten at %d parts, not at 2", n)
	}
	if slices.Contains(holders(h, k), l[0]) || slices.Contains(holders(h, o), l[0]) {
		t.Fatal("it still holds something")
	}
	if h.Clear(); h.Len() != 0 || len(holders(h, k))+len(holders(h, o)) != 0 {
		t.Fatal("something is left")
	}
}

// TestHoldersAgainstSets: with room enough the table says what sets would.
func TestHoldersAgainstSets(t *testing.T) {
	rnd := rand.New(rand.NewSource(7))
	h := NewHolderTable(1 << 14)
	var ks []Key
	for i := range 24 {
		ks = append(ks, BlockKey([]string{"s1", "s2"}[i%2], "m", string(rune('a'+i/2))))
	}
	sets := map[Key]map[uint64]bool{}
	for _, k := range ks {
		sets[k] = map[uint64]bool{}
	}
	for step := range 20_000 {
		k, n := ks[rnd.Intn(len(ks))], uint64(1+rnd.Intn(maxHolders))
		switch x := rnd.Intn(100); {
		case x < 60:
			h.Put(k, n)
			sets[k][n] = true
		case x < 99:
			h.Remove(k, n)
			delete(sets[k], n)
		default:
			h.RemoveNode(n)
			for _, s := range sets {
				delete(s, n)
			}
		}
		all := 0
		for _, k := range ks {
			all += len(sets[k])
		}
		if h.Len() != all {
			t.Fatalf("step %d: %d entries, not %d", step, h.Len(), all)
		}
		var want []uint64
		for x := range sets[k] {
			want = append(want, x)
		}
		slices.Sort(want)
		if got := holders(h, k); !slices.Equal(got, want) {
			t.Fatalf("step %d: %v, not %v", step, got, want)
		}
	}
	each := 0
	h.Each(func(Key, uint64) { each++ })
	if each != h.Len() {
		t.Fatalf("%d were listed, %d are there", each, h.Len())
	}
}
