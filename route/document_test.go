package route

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/samber/lo"
)

var words = FieldNames{Name: "id", Version: "v", Upsert: "set", Remove: "drop"}

// plain reads a configuration with words of its own: pools only.
func plain(text []byte) (c Config, fs []Finding) {
	var x struct {
		V     uint64 `json:"v"`
		Pools []struct {
			ID string `json:"id"`
		} `json:"pools"`
	}
	if err := json.Unmarshal(text, &x); err != nil {
		return c, []Finding{{"", "unreadable", err.Error()}}
	}
	return Config{Version: x.V, Pools: lo.Map(x.Pools, func(p struct {
		ID string `json:"id"`
	}, _ int) Pool {
		return Pool{Name: p.ID}
	})}, nil
}

func whole(base uint64, body string) Change {
	return Change{Replace: true, Base: base, HasBase: true, Body: []byte(body)}
}

func patch(base uint64, body string) Change {
	return Change{Base: base, HasBase: true, Body: []byte(body)}
}

func TestChanges(t *testing.T) {
	// Each line: a change, its outcome, the version current afterwards.
	var cur *Document
	for i, s := range []struct {
		c       Change
		want    Outcome
		version uint64
	}{
		{patch(0, `{"v":1,"drop":{}}`), Accepted, 1}, // of nothing; plain asks for no parts
		{whole(0, `{"v":3,"pools":[]}`), Stale, 1},
		{whole(1, `{"v":5,"pools":[{"id":"a"}]}`), Accepted, 5},
		{whole(1, `{"v":5,"pools":[{"id":"a"}]}`), Duplicate, 5},
		{whole(1, `{"v":5,"pools":[{"id":"a"}] }`), Stale, 5}, // not exactly that one
		{whole(0, `{"v":5,"pools":[{"id":"a"}]}`), Stale, 5},
		{whole(5, `{"v":5,"pools":[{"id":"a"}]}`), Invalid, 5}, // the version does not rise
		{patch(1, `{"v":5,"pools":[{"id":"a"}]}`), Stale, 5},   // another method
		{whole(5, `{"v":4,"pools":[]}`), Invalid, 5},
		{whole(5, `{"v":9,"pools":[{"id":"a"},{"id":"a"}]}`), Invalid, 5},
		{whole(5, `{"v":9,"pools":[`), Invalid, 5},
		{whole(5, `{"v":9} {}`), Invalid, 5},
		{whole(5, `{"v":9,"v":10}`), Invalid, 5},
		{whole(5, ``), Invalid, 5},
		{whole(5, `[]`), Invalid, 5},
		{Change{Replace: true, Body: []byte(`{"v":9}`)}, Invalid, 5},
		{patch(5, `{"v":9,"set":{"pools":[{"id":"b"}]}}`), Accepted, 9},
		{patch(5, `{"v":9,"set":{"pools":[{"id":"b"}]}}`), Duplicate, 9},
		{patch(5, `{"v":8,"set":{"pools":[{"id":"c"}]}}`), Stale, 9}, // lost the race, lower number
		{patch(5, `{"v":10,"set":{"pools":[{"id":"c"}]}}`), Stale, 9},
		{patch(9, `{"v":9,"set":{"pools":[{"id":"c"}]}}`), Invalid, 9},
		{patch(9, `{"set":{"pools":[{"id":"c"}]}}`), Invalid, 9},
		{whole(9, `{"v":20}`), Accepted, 20},
		{whole(1, `{"v":5,"pools":[{"id":"a"}]}`), Duplicate, 20}, // superseded since
		{patch(5, `{"v":9,"set":{"pools":[{"id":"b"}]}}`), Duplicate, 20},
		{Change{Body: []byte(`{"v":9,"set":{"pools":[{"id":"b"}]}}`)}, Invalid, 20},
	} {
		next, out, fs := s.c.Apply(cur, plain, words)
		if out != s.want || (next != nil) != (out == Accepted) || (len(fs) > 0) != (out == Invalid) {
			t.Fatalf("step %d: %v, next %v, findings %v; want %v", i, out, next, fs, s.want)
		}
		if next != nil {
			// What is decided on is what a register gives back.
			back, err := DecodeDocument(next.Encode())
			if err != nil || !reflect.DeepEqual(back, next) {
				t.Fatalf("step %d: %v, %v came back of %v", i, err, back, next)
			}
			cur = back
			if s.c.Replace && !bytes.Equal(cur.Text, s.c.Body) {
				t.Fatalf("step %d: %s is held", i, cur.Text)
			}
		}
		if cur.Version != s.version {
			t.Fatalf("step %d: version %d is current, not %d", i, cur.Version, s.version)
		}
	}
}

// Of two changes on one base exactly one is accepted, whatever the order, and both
// senders learn the same when they send again.
func TestRaceOfChanges(t *testing.T) {
	first, _, _ := whole(0, `{"v":1}`).Apply(nil, plain, words)
	cs := []Change{whole(1, `{"v":2,"pools":[{"id":"a"}]}`), patch(1, `{"v":3,"set":{"pools":[{"id":"b"}]}}`), whole(1, `{"v":4}`)}
	for i, win := range cs {
		cur, out, _ := win.Apply(first, plain, words)
		if out != Accepted {
			t.Fatalf("change %d is %v", i, out)
		}
		for j, c := range cs {
			want := lo.Ternary(i == j, Duplicate, Stale)
			if _, out, _ = c.Apply(cur, plain, words); out != want {
				t.Errorf("after %d, change %d is %v, not %v", i, j, out, want)
			}
		}
	}
}

func TestAcceptedIsBounded(t *testing.T) {
	var cur *Document
	at := func(v uint64) Change { return whole(v-1, fmt.Sprintf(`{"v":%d}`, v)) }
	const n = MaxAccepted + 10
	for v := uint64(1); v <= n; v++ {
		next, out, _ := at(v).Apply(cur, plain, words)
		if out != Accepted {
			t.Fatalf("version %d is %v", v, out)
		}
		cur = next
	}
	if len(cur.Accepted) != MaxAccepted {
		t.Fatalf("%d changes are remembered", len(cur.Accepted))
	}
	for v, want := range map[uint64]Outcome{n: Duplicate, n - MaxAccepted + 1: Duplicate, n - MaxAccepted: Undecidable, 1: Undecidable} {
		if _, out, _ := at(v).Apply(cur, plain, words); out != want {
			t.Errorf("version %d again is %v, not %v", v, out, want)
		}
	}
}

// Hundreds of changes, whole ones and patches, each with a rival on the same base, some
// under the same number. Whatever was accepted is never rejected when it is sent again,
// however many came after it, also if it could not be accepted any more; a rival is never
// acknowledged.
func TestResendAfterHundredsOfChanges(t *testing.T) {
	var cur *Document
	var accepted, rivals []Change
	for v := uint64(1); v <= MaxAccepted+200; v++ {
		change := whole(v-1, fmt.Sprintf(`{"v":%d,"pools":[{"id":"a%d"},{"id":"gone"}]}`, v, v))
		rival := whole(v-1, fmt.Sprintf(`{"v":%d,"pools":[]}`, v))
		if v%2 == 0 {
			change = patch(v-1, fmt.Sprintf(`{"v":%d,"drop":{"pools":["gone"]},"set":{"pools":[{"id":"b%d"}]}}`, v, v))
			rival = patch(v-1, fmt.Sprintf(`{"v":%d,"set":{"pools":[{"id":"c"}]}}`, v+1))
		}
		next, outcome, findings := change.Apply(cur, plain, words)
		if outcome != Accepted {
			t.Fatalf("version %d is %v, %v", v, outcome, findings)
		}
		cur = next
		accepted, rivals = append(accepted, change), append(rivals, rival)
	}
	counts := map[Outcome]int{}
	for i := range accepted {
		_, outcome, _ := accepted[i].Apply(cur, plain, words)
		if outcome != Duplicate && outcome != Undecidable {
			t.Fatalf("version %d, which was accepted, is %v when it is sent again", i+1, outcome)
		}
		counts[outcome]++
		if _, outcome, _ = rivals[i].Apply(cur, plain, words); outcome != Stale && outcome != Undecidable {
			t.Fatalf("the rival of version %d is %v", i+1, outcome)
		}
	}
	if counts[Duplicate] != MaxAccepted {
		t.Errorf("%d are known as accepted, not %d", counts[Duplicate], MaxAccepted)
	}
}

// A decision must leave the document that it was made on alone: a lost race
// decides anew on another.
func TestApplyKeepsCurrent(t *testing.T) {
	cur, _, _ := whole(0, `{"v":1,"pools":[{"id":"a"},{"id":"b"}]}`).Apply(nil, plain, words)
	was := cur.Encode()
	for _, c := range []Change{patch(1, `{"v":2,"set":{"pools":[{"id":"a","x":1}]},"drop":{"pools":["b"]}}`), whole(1, `{"v":2}`)} {
		if _, out, _ := c.Apply(cur, plain, words); out != Accepted || !bytes.Equal(cur.Encode(), was) {
			t.Fatalf("%v left %s", out, cur.Text)
		}
	}
}

func TestDecodeDocumentRefuses(t *testing.T) {
	d := Document{Version: 7, Text: []byte(strings.Repeat(`{"v":7}`, 50)), Accepted: []AcceptedChange{{Version: 7, Base: 5}}}
	b := d.Encode()
	for i := range b {
		if _, err := DecodeDocument(b[:i]); err == nil {
			t.Errorf("%d of %d bytes were accepted for a document", i, len(b))
		}
		c := slices.Clone(b)
		c[i] ^= 1
		if _, err := DecodeDocument(c); err == nil {
			t.Errorf("a document with byte %d changed was accepted", i)
		}
	}
	if _, err := DecodeDocument((&WeightVersions{}).Encode()); err == nil {
		t.Error("weights were accepted for a document")
	}
}

func FuzzDecodeDocument(f *testing.F) {
	d := Document{Version: 7, Text: []byte(`{"v":7}`), Accepted: []AcceptedChange{{Version: 5, Base: 0}, {Version: 7, Base: 5}}}
	b := d.Encode()
	f.Add(b[1 : len(b)-4])
	f.Add([]byte{})
	f.Add([]byte{1, 0, 0, 3, 0})
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = DecodeDocument(body)
		x, err := DecodeDocument(encodeFrame(formatDocument, body)) // past the checksum
		if err != nil {
			return
		}
		y, err := DecodeDocument(x.Encode())
		if err != nil || y.Version != x.Version || !bytes.Equal(y.Text, x.Text) || !slices.Equal(y.Accepted, x.Accepted) {
			t.Fatalf("%v became %v, %v", x, y, err)
		}
	})
}
