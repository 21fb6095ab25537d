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

// TestHolderTableBound: sixteen holders are kept of a block; another takes the place of one
// of them.
func TestHolderTableBound(t *testing.T) {
	table := NewHolderTable(1 << 12)
	key, other := BlockKey("s", "m", "1"), BlockKey("s", "m", "2")
	table.Put(other, 99)
	for node := uint64(1); node <= maxHolders; node++ {
		table.Put(key, node)
		table.Put(key, node)
		if holders := sortedHolders(table, key); len(holders) != int(node) {
			t.Fatalf("%d were put, %v are there", node, holders)
		}
	}
	table.Put(key, 500)
	holders := sortedHolders(table, key)
	if len(holders) != maxHolders || !slices.Contains(holders, 500) || slices.Contains(holders, 99) {
		t.Fatalf("after one too many: %v", holders)
	}
	table.Remove(key, 77)
	if len(sortedHolders(table, key)) != maxHolders {
		t.Fatal("the removal of a stranger removed another")
	}
	table.Remove(key, 500)
	if holders := sortedHolders(table, key); len(holders) != maxHolders-1 || slices.Contains(holders, 500) {
		t.Fatalf("after a removal: %v", holders)
	}
	if holders := sortedHolders(table, other); !slices.Equal(holders, []uint64{99}) {
		t.Fatalf("the other block has %v", holders)
	}
	table.Put(other, holders[0])
	if removed := table.RemoveNode(holders[0]); removed != 2 {
		t.Fatalf("one holder was removed from %d blocks, not from 2", removed)
	}
	if slices.Contains(sortedHolders(table, key), holders[0]) || slices.Contains(sortedHolders(table, other), holders[0]) {
		t.Fatal("it still has something")
	}
	if table.Clear(); table.Len() != 0 || len(sortedHolders(table, key))+len(sortedHolders(table, other)) != 0 {
		t.Fatal("something is left")
	}
}

// TestHolderTableAgainstSets: with enough entries the table says what sets would.
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
			t.Fatalf("step %d: %d entries, not %d", step, table.Len(), total)
		}
		want := lo.Keys(sets[key])
		slices.Sort(want)
		if got := sortedHolders(table, key); !slices.Equal(got, want) {
			t.Fatalf("step %d: %v, not %v", step, got, want)
		}
	}
	visited := 0
	table.Each(func(Key, uint64) { visited++ })
	if visited != table.Len() {
		t.Fatalf("%d were visited, %d are there", visited, table.Len())
	}
}
