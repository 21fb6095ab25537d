package placement

import (
	"testing"

	"violetthread/cacheindex"
)

// TestPendingReadDraws: a request goes where a block of its prompt is being read, counts it as
// cached there, and is never told to fetch it from there; when the read is over without a hint
// it goes anywhere, and when the reader is busy for long it is read twice.
func TestPendingReadDraws(t *testing.T) {
	now := int64(10_000_000)
	f := newTestFleet(6)
	f.stores = nil
	f.remap()
	first, ok := f.Pick(now, request("a", "own1"))
	if !ok || len(first.NewBlocks) != 1 {
		t.Fatalf("%v %+v", ok, first)
	}
	f.RequestSent(now, &first)
	second, _ := f.Pick(now+10_000, request("a", "own2"))
	if second.Engine != first.Engine || second.CachedTokens != 1000 || len(second.NewBlocks) != 0 {
		t.Errorf("the block is read at %s; chosen was %s, %+v", first.Engine.ID, second.Engine.ID, second)
	}
	f.SetOtherLoads(now, map[uint64]Load{EngineHolderID(first.Engine.ID): {PrefillTokens: 200_000}}, false)
	if third, _ := f.Pick(now+10_000, request("a", "own3")); third.Engine == first.Engine || third.Source == first.Engine.Addr {
		t.Errorf("the reader is busy, and is chosen or asked for the block: %+v", third)
	}
	f.SetOtherLoads(now, nil, false)
	if last, _ := f.Pick(now+pendingReadUS+1, request("a", "own4")); len(last.NewBlocks) != 1 {
		t.Errorf("the read never ended, and is waited for: %+v", last)
	}
}

// TestPendingReadsBounded: however many reads are told, the table stays within its bound.
func TestPendingReadsBounded(t *testing.T) {
	f := newTestFleet(1)
	for i := range 5 * maxPendingReads {
		f.BlockPrefillStarted(int64(i)*100, cacheindex.Key{Hi: uint64(i)}, 1)
		if len(f.pendingReads) > maxPendingReads {
			t.Fatalf("%d entries", len(f.pendingReads))
		}
	}
}
