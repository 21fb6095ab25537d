package cacheindex

import (
	"math/rand"
	"slices"
	"testing"

	"github.com/samber/lo"
)

func sortedHolders(table *HolderTable, key Key) []uint64 {
	holders := table.Get(key, nil)
	slices.Sort(holders)
	return holders
}

// TestHolderTableBound checks that a block keeps up to sixteen holders, and that a further one
// replaces one of them.
func TestHolderTableBound(t *testing.T) {
	table := NewHolderTable(1 << 12)
	key, other := BlockKey("s", "m", "1"), BlockKey("s", "m", "2")
	table.Put(other, 99)
	for node := uint64(1); node <= maxHolders; node++ {
		table.Put(key, node)
		table.Put(key, node)
		if holders := sortedHolders(table, key); len(holders) != int(node) {
			t.Fatalf("after adding %d holders: %v", node, holders)
		}
	}
	table.Put(key, 500)
	holders := sortedHolders(table, key)
	if len(holders) != maxHolders || !slices.Contains(holders, 500) || slices.Contains(holders, 99) {
		t.Fatalf("after adding a 17th holder: %v", holders)
	}
	table.Remove(key, 77)
	if len(sortedHolders(table, key)) != maxHolders {
		t.Fatal("removing a node that is not a holder removed a holder")
	}
	table.Remove(key, 500)
	if holders := sortedHolders(table, key); len(holders) != maxHolders-1 || slices.Contains(holders, 500) {
		t.Fatalf("after removing a holder: %v", holders)
	}
	if holders := sortedHolders(table, other); !slices.Equal(holders, []uint64{99}) {
		t.Fatalf("holders of the other block: %v", holders)
	}
	table.Put(other, holders[0])
	if removed := table.RemoveNode(holders[0]); removed != 2 {
		t.Fatalf("RemoveNode removed %d entries, want 2", removed)
	}
	if slices.Contains(sortedHolders(table, key), holders[0]) || slices.Contains(sortedHolders(table, other), holders[0]) {
		t.Fatal("removed node is still a holder")
	}
	if table.Clear(); table.Len() != 0 || len(sortedHolders(table, key))+len(sortedHolders(table, other)) != 0 {
		t.Fatal("entries left after Clear")
	}
}

// TestHolderTableAgainstSets compares a sufficiently large table with sets under random
// operations.
func TestHolderTableAgainstSets(t *testing.T) {
	rng := rand.New(rand.NewSource(7))
	table := NewHolderTable(1 << 14)
	var keys []Key
	sets := map[Key]map[uint64]bool{}
	for i := range 24 {
		key := BlockKey([]string{"s1", "s2"}[i%2], "m", string(rune('a'+i/2)))
		keys = append(keys, key)
		sets[key] = map[uint64]bool{}
	}
	for step := range 20_000 {
		key, node := keys[rng.Intn(len(keys))], uint64(1+rng.Intn(maxHolders))
		switch x := rng.Intn(100); {
		case x < 60:
			table.Put(key, node)
			sets[key][node] = true
		case x < 99:
			table.Remove(key, node)
			delete(sets[key], node)
		default:
			table.RemoveNode(node)
			for _, set := range sets {
				delete(set, node)
			}
		}
		total := 0
		for _, set := range sets {
			total += len(set)
		}
		if table.Len() != total {
			t.Fatalf("step %d: %d entries, want %d", step, table.Len(), total)
		}
		want := lo.Keys(sets[key])
		slices.Sort(want)
		if got := sortedHolders(table, key); !slices.Equal(got, want) {
			t.Fatalf("step %d: holders %v, want %v", step, got, want)
		}
	}
	visited := 0
	table.Each(func(Key, uint64) { visited++ })
	if visited != table.Len() {
		t.Fatalf("%d entries visited, want %d", visited, table.Len())
	}
}
