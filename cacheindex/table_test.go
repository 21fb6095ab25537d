package cacheindex

import (
	"fmt"
	"math/rand"
	"testing"
)

// testKey returns keys with different hashes and the same check.
func testKey(i int) Key {
	return Key{uint64(i) * 0x9e3779b97f4a7c15, uint64(i) * 0xbf58476d1ce4e5b9, 7}
}

// TestTable checks that a hint is found only under its complete key, that a full set evicts the
// entry written first, and that a full table stays within its capacity.
func TestTable(t *testing.T) {
	table := NewTable(64)
	for i := 1; i <= 1000; i++ {
		table.Put(testKey(i), uint64(i))
		if node, found := table.Get(testKey(i)); !found || node != uint64(i) {
			t.Fatalf("key %d not found after Put: %d %v", i, node, found)
		}
	}
	if table.Len() > table.Cap() || table.Cap() != 64 {
		t.Fatalf("%d entries in use, capacity %d", table.Len(), table.Cap())
	}
	key := testKey(1000)
	for _, other := range []Key{{key.Hi + 1, key.Lo, key.Check}, {key.Hi, key.Lo + 1, key.Check}, {key.Hi, key.Lo, key.Check + 1}} {
		if _, found := table.Get(other); found {
			t.Fatalf("%v found, although only %v was written", other, key)
		}
	}
	if table.Remove(key, 1) || !table.Remove(key, 1000) {
		t.Fatal("Remove must succeed only for the node of the hint")
	}
	oneSet := NewTable(4)
	for i := 1; i <= 5; i++ {
		oneSet.Put(testKey(i), uint64(i))
	}
	if _, found := oneSet.Get(testKey(1)); found || oneSet.Len() != 4 {
		t.Fatal("the oldest entry of a full set was not evicted")
	}
}

// TestLongestPrefix checks that the longest known prefix with an accepted node is found.
func TestLongestPrefix(t *testing.T) {
	table := NewTable(64)
	keys := []Key{testKey(1), testKey(2), testKey(3), testKey(4)}
	table.Put(keys[0], 10)
	table.Put(keys[1], 20)
	table.Put(keys[2], 30)
	tests := []struct {
		name   string
		keys   []Key
		accept func(uint64) bool
		want   Hint
		found  bool
	}{
		{"any node", keys, func(uint64) bool { return true }, Hint{Block: 2, Node: 30}, true},
		{"not the longest's node", keys, func(node uint64) bool { return node != 30 }, Hint{Block: 1, Node: 20}, true},
		{"only the shortest's node", keys, func(node uint64) bool { return node == 10 }, Hint{Block: 0, Node: 10}, true},
		{"no node accepted", keys, func(uint64) bool { return false }, Hint{}, false},
		{"nothing known", keys[3:], func(uint64) bool { return true }, Hint{}, false},
		{"no keys", nil, func(uint64) bool { return true }, Hint{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if hint, found := table.LongestPrefix(test.keys, test.accept); hint != test.want || found != test.found {
				t.Errorf("got %+v %v, want %+v %v", hint, found, test.want, test.found)
			}
		})
	}
}

// TestTableRace reads while one goroutine writes: a reader sees a node that was written for the
// same key, or none.
func TestTableRace(t *testing.T) {
	const readers = 3
	table := NewTable(256)
	stop := make(chan struct{})
	results := make(chan string, readers+1)
	for reader := range readers {
		go func() { results <- readUntil(stop, table, int64(reader)) }()
	}
	rng := rand.New(rand.NewSource(9))
	for range 60_000 {
		i := 1 + rng.Intn(600)
		if rng.Intn(3) == 0 {
			table.Remove(testKey(i), 0)
		} else {
			table.Put(testKey(i), uint64(i+1000*rng.Intn(50)))
		}
	}
	close(stop)
	for range readers {
		if wrong := <-results; wrong != "" {
			t.Fatal(wrong)
		}
	}
}

// readUntil reads random keys until stop is closed, and describes the first wrong result, or
// returns "" if there is none.
func readUntil(stop chan struct{}, table *Table, seed int64) string {
	rng := rand.New(rand.NewSource(seed))
	for {
		select {
		case <-stop:
			return ""
		default:
		}
		i := 1 + rng.Intn(600)
		if node, found := table.Get(testKey(i)); found && node%1000 != uint64(i) {
			return fmt.Sprintf("Get of key %d returned node %d", i, node)
		}
	}
}
