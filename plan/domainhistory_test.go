package plan

import (
	"fmt"
	"strings"
	"testing"
)

// planRegister is a register whose plan is changed step by step.
type planRegister struct {
	t        *testing.T
	value    []byte
	revision uint64
	current  *Compiled
}

// put writes a plan that is described by the name of its weights and its groups; "|" marks
// a group as isolated.
func (r *planRegister) put(description string) {
	r.t.Helper()
	words := strings.Fields(description)
	weights := words[0]
	var groups []string
	for _, word := range words[1:] {
		name, isolated := strings.CutSuffix(word, "|")
		groups = append(groups, fmt.Sprintf("%q:{\"share\":1,\"wall\":%v,\"keys\":[]}", name, isolated))
	}
	raw := fmt.Sprintf(`{"weights":%q,"kinds":{"k":{"due_us":1000000}},"groups":{%s}}`, weights, strings.Join(groups, ","))
	value, err := Encode(r.value, []byte(raw), r.revision+1)
	if err != nil {
		r.t.Fatal(err)
	}
	r.revision, r.value = r.revision+1, value
	if _, decoded, err := Decode(value); err != nil || string(decoded) != raw {
		r.t.Fatalf("%q was decoded as %q, %v", raw, decoded, err)
	}
	if r.current, err = Load(value, r.revision); err != nil {
		r.t.Fatal(err)
	}
}

// domain is the cache domain of a group for the weights in force.
func (r *planRegister) domain(group string) string {
	return r.current.CacheDomain(group, r.current.Weights)
}

// checkChanged checks whether the domain of a group has changed.
func (r *planRegister) checkChanged(change, group, before string, want bool) {
	r.t.Helper()
	if now := r.domain(group); (now != before) != want {
		r.t.Errorf("%s: the domain of %s is %s, it was %s", change, group, now, before)
	}
}

// TestSealMoves checks that a cache domain changes when one of its groups is isolated or no
// longer isolated, and when the weights change, and that the domains of other groups don't.
func TestSealMoves(t *testing.T) {
	r := &planRegister{t: t}
	r.put("w1 a b c|")
	a, c := r.domain("a"), r.domain("c")
	if a != r.domain("b") || a == c {
		t.Fatalf("%s %s %s", a, r.domain("b"), c)
	}
	r.put("w1 a b c| d")
	r.checkChanged("another group was added", "a", a, false)
	r.checkChanged("another group was added", "c", c, false)
	r.put("w1 a b| c| d")
	r.checkChanged("b was isolated", "a", a, true)
	r.checkChanged("b was isolated", "c", c, false)
	if r.domain("b") == r.domain("a") || r.domain("a") != r.domain("d") {
		t.Error("b is not isolated, or d is")
	}
	a, b := r.domain("a"), r.domain("b")
	r.put("w1 a b| c| d e|")
	r.checkChanged("an isolated group was added", "a", a, false)
	r.put("w1 a b c| d e|")
	r.checkChanged("b was no longer isolated", "a", a, true)
	r.put("w1 a b| c| d e|")
	r.checkChanged("b was isolated again", "b", b, true)
	b = r.domain("b")
	r.put("w1 a c| d e|")
	r.put("w1 a b| c| d e|")
	r.checkChanged("b was removed and added again", "b", b, true)
	r.checkChanged("b was removed and added again", "c", c, false)
	r.put("w1 a b| c| d")
	a = r.domain("a")
	r.put("w1 a b| c|")
	r.checkChanged("d was removed", "a", a, false)
	r.put("w1 a b| c| d|")
	r.checkChanged("d shared, was removed, and was added again isolated", "a", a, true)
	a, c = r.domain("a"), r.domain("c")
	r.put("w2 a b| c| d|")
	r.checkChanged("weights", "c", c, true)
	if r.current.CacheDomain("a", "w1") != a {
		t.Error("engines that still run w1 find nothing cached")
	}
	r.put("w1 a b| c| d|")
	r.checkChanged("earlier weights again", "a", a, true)
}

// TestDecodeTruncatedHistory checks that a value which ends within its domain history is not
// decoded as a plan.
func TestDecodeTruncatedHistory(t *testing.T) {
	r := &planRegister{t: t}
	r.put("w1 a")
	if _, _, err := Decode(r.value[:8]); err == nil {
		t.Error("a truncated domain history was decoded")
	}
}
