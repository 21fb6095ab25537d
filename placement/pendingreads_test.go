package placement

import (
	"testing"

	"violetthread/cacheindex"
)

// TestPendingReadDraws checks that a request is sent to the engine that is computing a block of
// its prompt, and that the block counts as cached there. If that engine has a long backlog,
// another engine is selected, which is not told to fetch the block from the first. After the
// entry has expired without a hint, the block counts as not cached.
func TestPendingReadDraws(t *testing.T) {
	now := int64(10_000_000)
	f := newTestFleet(6)
	f.stores = nil
	f.updateFleet()
	first, ok := f.Pick(now, request("a", "own1"))
	if !ok || len(first.NewBlocks) != 1 {
		t.Fatalf("first choice: %v %+v", ok, first)
	}
	f.RequestSent(now, &first)
	second, _ := f.Pick(now+10_000, request("a", "own2"))
	if second.Engine != first.Engine || second.CachedTokens != 1000 || len(second.NewBlocks) != 0 {
		t.Errorf("%s is computing the block, but %s was selected: %+v", first.Engine.ID, second.Engine.ID, second)
	}
	f.SetOtherLoads(now, map[uint64]Load{EngineHolderID(first.Engine.ID): {PrefillTokens: 200_000}}, false)
	if third, _ := f.Pick(now+10_000, request("a", "own3")); third.Engine == first.Engine || third.Source == first.Engine.Addr {
		t.Errorf("the computing engine is overloaded, but was selected or named as the source: %+v", third)
	}
	f.SetOtherLoads(now, nil, false)
	if last, _ := f.Pick(now+pendingPrefillTTLUS+1, request("a", "own4")); len(last.NewBlocks) != 1 {
		t.Errorf("the pending prefill has expired, but still counts: %+v", last)
	}
}

// TestPendingReadsBounded checks that the number of pending prefills stays within its bound.
func TestPendingReadsBounded(t *testing.T) {
	f := newTestFleet(1)
	for i := range 5 * maxPendingPrefills {
		f.BlockPrefillStarted(int64(i)*100, cacheindex.Key{Hi: uint64(i)}, 1)
		if len(f.pendingPrefills) > maxPendingPrefills {
			t.Fatalf("%d pending prefills", len(f.pendingPrefills))
		}
	}
}
