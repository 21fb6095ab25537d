package rollout

import "testing"

func TestLeasePermits(t *testing.T) {
	lease := Lease{Fence: 7, Until: 5_000_000}
	for _, c := range []struct {
		name  string
		now   int64
		fence uint64
		want  bool
	}{
		{"fresh", 1_000_000, 7, true},
		{"just in time", 5_000_000 - OrderTime - 1, 7, true},
		{"too late to arrive", 5_000_000 - OrderTime, 7, false},
		{"run out", 5_000_001, 7, false},
		{"paused for long", 25_000_000, 7, false},
		{"decided under an earlier hold", 1_000_000, 6, false},
		{"decided under a later hold", 1_000_000, 8, false},
	} {
		if err := lease.Permit(c.now, c.fence); (err == nil) != c.want {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if (Lease{Fence: 7}).Permit(1, 7) == nil {
		t.Error("a lease that was given back permits")
	}
}
