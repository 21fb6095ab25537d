package plan

import (
	"fmt"
	"strings"
	"testing"
)

// sealHistory is a register with a plan that is changed step by step.
type sealHistory struct {
	t        *testing.T
	value    []byte
	revision uint64
	last     *Compiled
}

// put writes a plan, given as the name of the weights and the groups; isolated groups end
// with a bar.
func (h *sealHistory) put(description string) {
	h.t.Helper()
	words := strings.Fields(description)
	weights := words[0]
	var groups []string
	for _, word := range words[1:] {
		name, isolated := strings.CutSuffix(word, "|")
		groups = append(groups, fmt.Sprintf("%q:{\"share\":1,\"wall\":%v,\"keys\":[]}", name, isolated))
	}
	raw := fmt.Sprintf(`{"weights":%q,"kinds":{"k":{"due_us":1000000}},"groups":{%s}}`, weights, strings.Join(groups, ","))
	value, err := Encode(h.value, []byte(raw), h.revision+1)
	if err != nil {
		h.t.Fatal(err)
	}
	h.revision, h.value = h.revision+1, value
	if _, decoded, err := Decode(value); err != nil || string(decoded) != raw {
		h.t.Fatalf("%q came back as %q, %v", raw, decoded, err)
	}
	if h.last, err = Load(value, h.revision); err != nil {
		h.t.Fatal(err)
	}
}

// domain is the cache domain of a group under the weights in force.
func (h *sealHistory) domain(group string) string { return h.last.CacheDomain(group, h.last.Weights) }

// wantMoved checks whether the domain of a group is another than before.
func (h *sealHistory) wantMoved(why, group, before string, want bool) {
	h.t.Helper()
	if now := h.domain(group); (now != before) != want {
		h.t.Errorf("%s: the domain of %s is %s after %s", why, group, now, before)
	}
}

// TestSealMoves: a domain changes when one of its groups begins or ends to be isolated, or
// when its weights are named anew, for whom it must and for nobody else.
func TestSealMoves(t *testing.T) {
	h := &sealHistory{t: t}
	h.put("w1 a b c|")
	a, c := h.domain("a"), h.domain("c")
	if a != h.domain("b") || a == c {
		t.Fatalf("%s %s %s", a, h.domain("b"), c)
	}
	h.put("w1 a b c| d")
	h.wantMoved("another group came", "a", a, false)
	h.wantMoved("another group came", "c", c, false)
	h.put("w1 a b| c| d")
	h.wantMoved("b was isolated", "a", a, true)
	h.wantMoved("b was isolated", "c", c, false)
	if h.domain("b") == h.domain("a") || h.domain("a") != h.domain("d") {
		t.Error("b is not apart, or d is")
	}
	a, b := h.domain("a"), h.domain("b")
	h.put("w1 a b| c| d e|")
	h.wantMoved("an isolated group came", "a", a, false)
	h.put("w1 a b c| d e|")
	h.wantMoved("b was opened", "a", a, true)
	h.put("w1 a b| c| d e|")
	h.wantMoved("b was isolated again", "b", b, true)
	b = h.domain("b")
	h.put("w1 a c| d e|")
	h.put("w1 a b| c| d e|")
	h.wantMoved("b was removed and made again", "b", b, true)
	h.wantMoved("b was removed and made again", "c", c, false)
	h.put("w1 a b| c| d")
	a = h.domain("a")
	h.put("w1 a b| c|")
	h.wantMoved("d went", "a", a, false)
	h.put("w1 a b| c| d|")
	h.wantMoved("d shared, went, and came back isolated", "a", a, true)
	a, c = h.domain("a"), h.domain("c")
	h.put("w2 a b| c| d|")
	h.wantMoved("weights", "c", c, true)
	if h.last.CacheDomain("a", "w1") != a {
		t.Error("engines that still run w1 find nothing cached")
	}
	h.put("w1 a b| c| d|")
	h.wantMoved("weights that come back", "a", a, true)
}

// TestDecodeOfACutSeal: a value that ends within its seal is not read as a plan.
func TestDecodeOfACutSeal(t *testing.T) {
	h := &sealHistory{t: t}
	h.put("w1 a")
	if _, _, err := Decode(h.value[:8]); err == nil {
		t.Error("a cut seal was read")
	}
}
