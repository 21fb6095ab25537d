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

// testFields are the field names of the configurations in these tests.
var testFields = FieldNames{Name: "id", Version: "v", Upsert: "set", Remove: "drop"}

// parsePools parses a configuration in the format of these tests, which has only pools.
func parsePools(text []byte) (c Config, findings []Finding) {
	var parsed struct {
		V     uint64 `json:"v"`
		Pools []struct {
			ID string `json:"id"`
		} `json:"pools"`
	}
	if err := json.Unmarshal(text, &parsed); err != nil {
		return c, []Finding{{"", "unreadable", err.Error()}}
	}
	return Config{Version: parsed.V, Pools: lo.Map(parsed.Pools, func(p struct {
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
	// Each line: a change, its outcome, and the current version afterwards.
	var current *Document
	for i, step := range []struct {
		change  Change
		want    Outcome
		version uint64
	}{
		{patch(0, `{"v":1,"drop":{}}`), Accepted, 1}, // a patch to no configuration; parsePools requires no sections
		{whole(0, `{"v":3,"pools":[]}`), Stale, 1},
		{whole(1, `{"v":5,"pools":[{"id":"a"}]}`), Accepted, 5},
		{whole(1, `{"v":5,"pools":[{"id":"a"}]}`), Duplicate, 5},
		{whole(1, `{"v":5,"pools":[{"id":"a"}] }`), Stale, 5}, // differs from the accepted one by a space
		{whole(0, `{"v":5,"pools":[{"id":"a"}]}`), Stale, 5},
		{whole(5, `{"v":5,"pools":[{"id":"a"}]}`), Invalid, 5}, // the version does not increase
		{patch(1, `{"v":5,"pools":[{"id":"a"}]}`), Stale, 5},   // a patch, not a whole configuration
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
		{patch(5, `{"v":8,"set":{"pools":[{"id":"c"}]}}`), Stale, 9}, // lost the race, with a lower version number
		{patch(5, `{"v":10,"set":{"pools":[{"id":"c"}]}}`), Stale, 9},
		{patch(9, `{"v":9,"set":{"pools":[{"id":"c"}]}}`), Invalid, 9},
		{patch(9, `{"set":{"pools":[{"id":"c"}]}}`), Invalid, 9},
		{whole(9, `{"v":20}`), Accepted, 20},
		{whole(1, `{"v":5,"pools":[{"id":"a"}]}`), Duplicate, 20}, // superseded since
		{patch(5, `{"v":9,"set":{"pools":[{"id":"b"}]}}`), Duplicate, 20},
		{Change{Body: []byte(`{"v":9,"set":{"pools":[{"id":"b"}]}}`)}, Invalid, 20},
	} {
		next, outcome, findings := step.change.Apply(current, parsePools, testFields)
		if outcome != step.want || (next != nil) != (outcome == Accepted) || (len(findings) > 0) != (outcome == Invalid) {
			t.Fatalf("step %d: got %v, next %v, findings %v; want %v", i, outcome, next, findings, step.want)
		}
		if next != nil {
			// The following changes are decided against the document as the register returns it.
			decoded, err := DecodeDocument(next.Encode())
			if err != nil || !reflect.DeepEqual(decoded, next) {
				t.Fatalf("step %d: %v, decoded %v, encoded %v", i, err, decoded, next)
			}
			current = decoded
			if step.change.Replace && !bytes.Equal(current.Text, step.change.Body) {
				t.Fatalf("step %d: stored text is %s", i, current.Text)
			}
		}
		if current.Version != step.version {
			t.Fatalf("step %d: current version is %d, want %d", i, current.Version, step.version)
		}
	}
}

// TestRaceOfChanges: of several changes to one base exactly one is accepted, whichever comes
// first, and every sender that sends its change again gets an answer that agrees with that.
func TestRaceOfChanges(t *testing.T) {
	first, _, _ := whole(0, `{"v":1}`).Apply(nil, parsePools, testFields)
	changes := []Change{whole(1, `{"v":2,"pools":[{"id":"a"}]}`), patch(1, `{"v":3,"set":{"pools":[{"id":"b"}]}}`), whole(1, `{"v":4}`)}
	for i, winner := range changes {
		current, outcome, _ := winner.Apply(first, parsePools, testFields)
		if outcome != Accepted {
			t.Fatalf("change %d is %v", i, outcome)
		}
		for j, change := range changes {
			want := lo.Ternary(i == j, Duplicate, Stale)
			if _, outcome, _ = change.Apply(current, parsePools, testFields); outcome != want {
				t.Errorf("after change %d, change %d is %v, want %v", i, j, outcome, want)
			}
		}
	}
}

func TestAcceptedIsBounded(t *testing.T) {
	var current *Document
	changeTo := func(version uint64) Change { return whole(version-1, fmt.Sprintf(`{"v":%d}`, version)) }
	const last = MaxAccepted + 10
	for version := uint64(1); version <= last; version++ {
		next, outcome, _ := changeTo(version).Apply(current, parsePools, testFields)
		if outcome != Accepted {
			t.Fatalf("version %d is %v", version, outcome)
		}
		current = next
	}
	if len(current.Accepted) != MaxAccepted {
		t.Fatalf("%d changes are recorded", len(current.Accepted))
	}
	for version, want := range map[uint64]Outcome{last: Duplicate, last - MaxAccepted + 1: Duplicate, last - MaxAccepted: Undecidable, 1: Undecidable} {
		if _, outcome, _ := changeTo(version).Apply(current, parsePools, testFields); outcome != want {
			t.Errorf("version %d sent again is %v, want %v", version, outcome, want)
		}
	}
}

// TestResendAfterHundredsOfChanges sends more than MaxAccepted changes, whole configurations and
// patches, each with a competing change to the same base, some with the same version number.
// An accepted change that is sent again is never rejected, however many changes followed it and
// even if it would not be valid any more; a competing change is never acknowledged.
func TestResendAfterHundredsOfChanges(t *testing.T) {
	var current *Document
	var accepted, rivals []Change
	for v := uint64(1); v <= MaxAccepted+200; v++ {
		change := whole(v-1, fmt.Sprintf(`{"v":%d,"pools":[{"id":"a%d"},{"id":"gone"}]}`, v, v))
		rival := whole(v-1, fmt.Sprintf(`{"v":%d,"pools":[]}`, v))
		if v%2 == 0 {
			change = patch(v-1, fmt.Sprintf(`{"v":%d,"drop":{"pools":["gone"]},"set":{"pools":[{"id":"b%d"}]}}`, v, v))
			rival = patch(v-1, fmt.Sprintf(`{"v":%d,"set":{"pools":[{"id":"c"}]}}`, v+1))
		}
		next, outcome, findings := change.Apply(current, parsePools, testFields)
		if outcome != Accepted {
			t.Fatalf("version %d is %v, %v", v, outcome, findings)
		}
		current = next
		accepted, rivals = append(accepted, change), append(rivals, rival)
	}
	counts := map[Outcome]int{}
	for i := range accepted {
		_, outcome, _ := accepted[i].Apply(current, parsePools, testFields)
		if outcome != Duplicate && outcome != Undecidable {
			t.Fatalf("version %d was accepted, but is %v when sent again", i+1, outcome)
		}
		counts[outcome]++
		if _, outcome, _ = rivals[i].Apply(current, parsePools, testFields); outcome != Stale && outcome != Undecidable {
			t.Fatalf("the change that competed with version %d is %v", i+1, outcome)
		}
	}
	if counts[Duplicate] != MaxAccepted {
		t.Errorf("%d changes are recognised as accepted, want %d", counts[Duplicate], MaxAccepted)
	}
}

// TestApplyKeepsCurrent: Apply must not modify the document that it decides against, because
// the caller may lose the race to write the result, and then decides again on another document.
func TestApplyKeepsCurrent(t *testing.T) {
	current, _, _ := whole(0, `{"v":1,"pools":[{"id":"a"},{"id":"b"}]}`).Apply(nil, parsePools, testFields)
	before := current.Encode()
	for _, change := range []Change{patch(1, `{"v":2,"set":{"pools":[{"id":"a","x":1}]},"drop":{"pools":["b"]}}`), whole(1, `{"v":2}`)} {
		if _, outcome, _ := change.Apply(current, parsePools, testFields); outcome != Accepted || !bytes.Equal(current.Encode(), before) {
			t.Fatalf("outcome %v, document is now %s", outcome, current.Text)
		}
	}
}

func TestDecodeDocumentRefuses(t *testing.T) {
	d := Document{Version: 7, Text: []byte(strings.Repeat(`{"v":7}`, 50)), Accepted: []AcceptedChange{{Version: 7, Base: 5}}}
	encoded := d.Encode()
	for i := range encoded {
		if _, err := DecodeDocument(encoded[:i]); err == nil {
			t.Errorf("a document truncated to %d of %d bytes was decoded", i, len(encoded))
		}
		corrupt := slices.Clone(encoded)
		corrupt[i] ^= 1
		if _, err := DecodeDocument(corrupt); err == nil {
			t.Errorf("a document with a bit of byte %d flipped was decoded", i)
		}
	}
	if _, err := DecodeDocument((&WeightVersions{}).Encode()); err == nil {
		t.Error("a register of weights was decoded as a document")
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
		first, err := DecodeDocument(encodeFrame(formatDocument, body)) // with a valid checksum
		if err != nil {
			return
		}
		second, err := DecodeDocument(first.Encode())
		if err != nil || second.Version != first.Version || !bytes.Equal(second.Text, first.Text) || !slices.Equal(second.Accepted, first.Accepted) {
			t.Fatalf("%v encoded and decoded gives %v, %v", first, second, err)
		}
	})
}

// TestDocumentKeepsKeysRequired guards against a configuration without a list of tenants that opens
// its routes again when the register is read back, and against a change of the format of all others.
func TestDocumentKeepsKeysRequired(t *testing.T) {
	parse := func(text []byte) (Config, []Finding) {
		config, findings := parsePools(text)
		config.KeysRequired = bytes.Contains(text, []byte(`"tenants"`))
		return config, findings
	}
	var current *Document
	for i, step := range []struct {
		body   string
		format byte
	}{
		{`{"v":1}`, formatDocument},
		{`{"v":2,"tenants":[]}`, formatDocument},
		{`{"v":3}`, formatDocumentKeysRequired},
		{`{"v":4}`, formatDocumentKeysRequired},
		{`{"v":5,"tenants":[]}`, formatDocument},
	} {
		next, outcome, findings := whole(uint64(i), step.body).Apply(current, parse, testFields)
		if outcome != Accepted {
			t.Fatalf("step %d is %v: %v", i, outcome, findings)
		}
		value := next.Encode()
		decoded, err := DecodeDocument(value)
		if err != nil || value[0] != step.format || !reflect.DeepEqual(decoded, next) {
			t.Fatalf("step %d: format %x, want %x, decoded %+v, %v", i, value[0], step.format, decoded, err)
		}
		current = decoded
	}
}
