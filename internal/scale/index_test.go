package scale

import (
	"fmt"
	"runtime"
	"testing"

	"violetthread/cacheindex"
	"violetthread/internal/codec"
	"violetthread/schema/fb"
)

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

const indexed = 400_000

func indexKey(i int) cacheindex.Key {
	return cacheindex.BlockKey("salt", "model", fmt.Sprintf("part-%020d", i))
}

// BenchmarkDirectory is a shard's owner of docs/CAPACITY.md: what a part takes, and an
// event whose update goes to each zone whose nearest holder it changes.
func BenchmarkDirectory(b *testing.B) {
	for _, sites := range []int{0, 5, 13} {
		b.Run(fmt.Sprintf("sites-%d", sites), func(b *testing.B) {
			was := heap()
			d := cacheindex.NewDirectory(1, 1<<30)
			for i := range sites {
				d.ZoneLog(fmt.Sprint("zone", i))
			}
			for n := range 1400 {
				d.SetLocation(uint64(n+1), cacheindex.Location{Zone: fmt.Sprint("zone", n%13)})
			}
			ks := make([]cacheindex.Key, indexed)
			for i := range ks {
				ks[i] = indexKey(i)
			}
			was += float64(len(ks) * 24)
			for i, k := range ks {
				d.Apply(cacheindex.Update{Key: k, Node: uint64(i%1400 + 1), Op: cacheindex.OpAdd})
			}
			each := (heap() - was) / indexed
			sent := d.UpdatesSent()
			b.ResetTimer()
			for i := range b.N {
				j := i % indexed
				op := cacheindex.OpRemove
				if i/indexed%2 == 1 {
					op = cacheindex.OpAdd
				}
				d.Apply(cacheindex.Update{Key: ks[j], Node: uint64(j%1400 + 1), Op: op})
			}
			b.ReportMetric(each, "B/part")
			b.ReportMetric(float64(d.UpdatesSent()-sent)/float64(b.N), "news/event")
			runtime.KeepAlive(d)
		})
	}
}

// BenchmarkHolders is the table of fixed entries that proxies have.
func BenchmarkHolders(b *testing.B) {
	ks := make([]cacheindex.Key, indexed)
	for i := range ks {
		ks[i] = indexKey(i)
	}
	was := heap()
	h := cacheindex.NewHolderTable(1 << 19)
	each := (heap() - was) / (1 << 19)
	b.ResetTimer()
	for i := range b.N {
		h.Put(ks[i%indexed], uint64(i%1400+1))
	}
	b.ReportMetric(each, "B/entry")
}

// BenchmarkLookup is a question for a prompt of 64 parts of which half are known.
func BenchmarkLookup(b *testing.B) {
	h := cacheindex.NewHolderTable(1 << 19)
	ks := make([]cacheindex.Key, indexed)
	for i := range ks {
		ks[i] = indexKey(i)
		if i%2 == 0 {
			h.Put(ks[i], uint64(i%1400+1))
		}
	}
	var out []uint64
	b.ResetTimer()
	for i := range b.N {
		out = out[:0]
		for j := range 64 {
			out = h.Get(ks[(i*64+j)%indexed], out)
		}
	}
}

// BenchmarkSnapshot packs, and BenchmarkTake unpacks, all updates of an index as one answer.
func BenchmarkSnapshot(b *testing.B) {
	f := snapshot()
	b.ResetTimer()
	for range b.N {
		_ = codec.Encode(f)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/snapshotUpdates, "ns/news")
	b.ReportMetric(float64(len(codec.Encode(f)))/snapshotUpdates, "B/news")
}

func BenchmarkTake(b *testing.B) {
	d := codec.Encode(snapshot())[8:]
	b.ResetTimer()
	for range b.N {
		if _, err := codec.Decode(d); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/snapshotUpdates, "ns/news")
}

const snapshotUpdates = 20_000

func snapshot() *fb.FrameT {
	t := &fb.MapResponseT{UpdatesReset: true}
	for i := range snapshotUpdates {
		k := indexKey(i)
		t.Updates = append(t.Updates, &fb.CacheUpdateT{Hi: k.Hi, Lo: k.Lo, Check: k.Check, Holder: uint64(i%1400+1) * 0x9e3779b97f4a7c15, Op: 1})
	}
	return &fb.FrameT{MapResponse: t}
}
