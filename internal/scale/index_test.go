package scale

import (
	"fmt"
	"runtime"
	"testing"

	"violetthread/cacheindex"
	"violetthread/internal/codec"
	"violetthread/schema/fb"
)

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

const indexedKeys = 400_000

func indexKey(i int) cacheindex.Key {
	return cacheindex.BlockKey("salt", "model", fmt.Sprintf("part-%020d", i))
}

// BenchmarkDirectory is a shard's owner of docs/CAPACITY.md: what a part takes, and an
// event whose update goes to each zone whose nearest holder it changes.
func BenchmarkDirectory(b *testing.B) {
	for _, zones := range []int{0, 5, 13} {
		b.Run(fmt.Sprintf("sites-%d", zones), func(b *testing.B) {
			heapBefore := heapBytes()
			directory := cacheindex.NewDirectory(1, 1<<30)
			for i := range zones {
				directory.ZoneLog(fmt.Sprint("zone", i))
			}
			for n := range 1400 {
				directory.SetLocation(uint64(n+1), cacheindex.Location{Zone: fmt.Sprint("zone", n%13)})
			}
			keys := make([]cacheindex.Key, indexedKeys)
			for i := range keys {
				keys[i] = indexKey(i)
			}
			heapBefore += float64(len(keys) * 24)
			for i, k := range keys {
				directory.Apply(cacheindex.Update{Key: k, Node: uint64(i%1400 + 1), Op: cacheindex.OpAdd})
			}
			each := (heapBytes() - heapBefore) / indexedKeys
			sent := directory.UpdatesSent()
			b.ResetTimer()
			for i := range b.N {
				j := i % indexedKeys
				op := cacheindex.OpRemove
				if i/indexedKeys%2 == 1 {
					op = cacheindex.OpAdd
				}
				directory.Apply(cacheindex.Update{Key: keys[j], Node: uint64(j%1400 + 1), Op: op})
			}
			b.ReportMetric(each, "B/part")
			b.ReportMetric(float64(directory.UpdatesSent()-sent)/float64(b.N), "news/event")
			runtime.KeepAlive(directory)
		})
	}
}

// BenchmarkHolders is the table of fixed entries that proxies have.
func BenchmarkHolders(b *testing.B) {
	keys := make([]cacheindex.Key, indexedKeys)
	for i := range keys {
		keys[i] = indexKey(i)
	}
	heapBefore := heapBytes()
	table := cacheindex.NewHolderTable(1 << 19)
	each := (heapBytes() - heapBefore) / (1 << 19)
	b.ResetTimer()
	for i := range b.N {
		table.Put(keys[i%indexedKeys], uint64(i%1400+1))
	}
	b.ReportMetric(each, "B/entry")
}

// BenchmarkLookup is a question for a prompt of 64 parts of which half are known.
func BenchmarkLookup(b *testing.B) {
	table := cacheindex.NewHolderTable(1 << 19)
	keys := make([]cacheindex.Key, indexedKeys)
	for i := range keys {
		keys[i] = indexKey(i)
		if i%2 == 0 {
			table.Put(keys[i], uint64(i%1400+1))
		}
	}
	var holders []uint64
	b.ResetTimer()
	for i := range b.N {
		holders = holders[:0]
		for j := range 64 {
			holders = table.Get(keys[(i*64+j)%indexedKeys], holders)
		}
	}
}

// BenchmarkSnapshot packs, and BenchmarkDecodeSnapshot unpacks, all updates of an index as one answer.
func BenchmarkSnapshot(b *testing.B) {
	frame := snapshotFrame()
	b.ResetTimer()
	for range b.N {
		_ = codec.Encode(frame)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/snapshotUpdates, "ns/news")
	b.ReportMetric(float64(len(codec.Encode(frame)))/snapshotUpdates, "B/news")
}

func BenchmarkDecodeSnapshot(b *testing.B) {
	encoded := codec.Encode(snapshotFrame())[8:]
	b.ResetTimer()
	for range b.N {
		if _, err := codec.Decode(encoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/snapshotUpdates, "ns/news")
}

const snapshotUpdates = 20_000

func snapshotFrame() *fb.FrameT {
	response := &fb.MapResponseT{UpdatesReset: true}
	for i := range snapshotUpdates {
		key := indexKey(i)
		response.Updates = append(response.Updates, &fb.CacheUpdateT{Hi: key.Hi, Lo: key.Lo, Check: key.Check, Holder: uint64(i%1400+1) * 0x9e3779b97f4a7c15, Op: 1})
	}
	return &fb.FrameT{MapResponse: response}
}
