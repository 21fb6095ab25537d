package plan

import (
	"fmt"
	"testing"
)

// TestCached checks that ages count from the time of the request, and that the revision never
// decreases.
func TestCached(t *testing.T) {
	raw := func(n int) []byte { return fmt.Appendf(nil, `{"weights":"w%d"}`, n) }
	var cached Cached
	for _, step := range []struct {
		name         string
		update       Update
		requestedAt  int64
		wantChanged  bool
		wantKnown    bool
		wantRevision uint64
		now, wantAge int64 // Age(now) must be wantAge
	}{
		{"an unconfirmed update is ignored", Update{Revision: 3, Age: 5}, 100, false, false, 0, 100, neverConfirmedAge},
		{"the age counts from the request", Update{Revision: 3, Age: 40, Raw: raw(3), Confirmed: true}, 100, true, true, 3, 110, 50},
		{"an older revision is ignored and confirms nothing", Update{Revision: 2, Age: 0, Raw: raw(2), Confirmed: true}, 200, false, true, 3, 200, 140},
		{"a newer revision without its text confirms nothing", Update{Revision: 4, Age: 0, Confirmed: true}, 200, false, true, 3, 200, 140},
		{"the same revision is confirmed", Update{Revision: 3, Age: 10, Confirmed: true}, 300, false, true, 3, 300, 10},
		{"a delayed response does not increase the age", Update{Revision: 3, Age: 90, Confirmed: true}, 310, false, true, 3, 300, 10},
	} {
		next, changed, err := cached.Apply(step.update, step.requestedAt)
		if err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		cached = next
		if changed != step.wantChanged || cached.Known != step.wantKnown || cached.Revision != step.wantRevision {
			t.Errorf("%s: changed %v, %+v", step.name, changed, cached)
		}
		if age := cached.Age(step.now); age != step.wantAge {
			t.Errorf("%s: age %d, want %d", step.name, age, step.wantAge)
		}
	}
}
