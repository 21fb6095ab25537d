package cacheindex

import "testing"

// TestUpdateLog checks that a follower that keeps up receives every update once, and that one
// that fell behind or followed another incarnation is reset.
func TestUpdateLog(t *testing.T) {
	const incarnation = 3
	snapshot := []Update{{testKey(77), 1, OpAdd}}
	log := NewUpdateLog(incarnation, 10, func() []Update { return snapshot })
	batch := log.Since(0, 0, 5)
	if !batch.Reset || len(batch.Updates) != 1 {
		t.Fatalf("first batch of a new follower: %+v", batch)
	}
	got := 0
	for i := 1; i <= 50; i++ {
		log.Append(Update{testKey(i), 1, OpAdd})
		next := log.Since(incarnation, batch.Next, 5)
		if next.Reset {
			t.Fatal("a follower that keeps up was reset")
		}
		got, batch = got+len(next.Updates), next
	}
	if got != 50 {
		t.Fatalf("%d of 50 updates received", got)
	}
	for i := range 40 {
		log.Append(Update{testKey(i), 2, OpAdd})
	}
	if !log.Since(incarnation, batch.Next, 5).Reset {
		t.Fatal("a follower that fell behind was not reset")
	}
	if !log.Since(incarnation+1, batch.Next, 5).Reset {
		t.Fatal("a follower of another incarnation was not reset")
	}
}
