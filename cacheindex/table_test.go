package cacheindex

import (
	"fmt"
	"math/rand"
	"testing"
)

// testKey makes keys that differ in hash and have one check.
func testKey(i int) Key {
	return Key{uint64(i) * 0x9e3779b97f4a7c15, uint64(i) * 0xbf58476d1ce4e5b9, 7}
}

// TestTable: a hint is found under its complete key only, the entry of a set that was
// written first goes first, and a full table stays within its size.
func TestTable(t *testing.T) {
	table := NewTable(64)
	for i := 1; i <= 1000; i++ {
		table.Put(testKey(i), uint64(i))
		if node, found := table.Get(testKey(i)); !found || node != uint64(i) {
			t.Fatalf("just written %d: %d %v", i, node, found)
		}
	}
	if table.Len() > table.Cap() || table.Cap() != 64 {
		t.Fatalf("%d of %d entries", table.Len(), table.Cap())
	}
	key := testKey(1000)
	for _, other := range []Key{{key.Hi + 1, key.Lo, key.Check}, {key.Hi, key.Lo + 1, key.Check}, {key.Hi, key.Lo, key.Check + 1}} {
		if _, found := table.Get(other); found {
			t.Fatalf("%v was found as %v", other, key)
		}
	}
	if table.Remove(key, 1) || !table.Remove(key, 1000) {
		t.Fatal("a removal must name the hinted node")
	}
	oneSet := NewTable(4)
	for i := 1; i <= 5; i++ {
		oneSet.Put(testKey(i), uint64(i))
	}
	if _, found := oneSet.Get(testKey(1)); found || oneSet.Len() != 4 {
		t.Fatal("the oldest of a full set stayed")
	}
}

// TestTableRace reads while one goroutine writes: a reader sees a node that was written for
// that very key, or none.
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

// readUntil reads keys at random, and returns the first wrong answer or "".
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
			return fmt.Sprintf("key %d names %d", i, node)
		}
	}
}
