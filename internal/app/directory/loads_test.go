package directory

import (
	"testing"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/placement"
	"violetthread/schema/fb"
)

// loadReport returns a report that a proxy sends between two polls.
func loadReport(name string, sequence uint64, loads []*fb.EngineLoadT, reads ...*fb.CacheUpdateT) *fb.FrameT {
	report := &fb.ProxyLoadT{Name: name, Sequence: sequence, Loads: loads, Updates: reads}
	return &fb.FrameT{LoadUpdate: &fb.LoadUpdateT{Proxies: []*fb.ProxyLoadT{report}, Direct: true}}
}

// mapResponseFor returns the response to a poll of a proxy that knows a revision of the loads.
func mapResponseFor(d *Directory, name string, since uint64) *fb.MapResponseT {
	return d.respond(&fb.MapRequestT{Node: &fb.NodeT{Name: name}, Incarnation: d.incarnation, LoadsSince: since}, clock.Now())
}

// TestLoadReportBetweenPolls: loads that a proxy reports between two polls reach the other proxies
// with their next poll, as a change. An older poll that arrives later must not undo the report.
func TestLoadReportBetweenPolls(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	d.Handle(t.Context(), loadReport("p1", 2, []*fb.EngineLoadT{{Node: 7, Active: 1, PrefillTokens: 900}}))
	first := mapResponseFor(d, "p2", 0)
	if len(first.Loads) != 1 || first.Loads[0].PrefillTokens != 900 || first.LoadsChangedOnly {
		t.Fatalf("%+v", first)
	}
	d.recordProxy(clock.Now(), &fb.MapRequestT{Node: &fb.NodeT{Name: "p1"}, LoadsSequence: 1})
	if got := mapResponseFor(d, "p2", first.LoadsRevision); len(got.Loads) != 0 || !got.LoadsChangedOnly {
		t.Errorf("an older poll changed %+v", got.Loads)
	}
	d.Handle(t.Context(), loadReport("p1", 3, nil))
	if got := mapResponseFor(d, "p2", first.LoadsRevision); len(got.Loads) != 1 || got.Loads[0].Active != 0 || !got.LoadsChangedOnly {
		t.Errorf("loads after the end of a request: %+v", got.Loads)
	}
	if got := mapResponseFor(d, "p1", 0); len(got.Loads) != 0 {
		t.Errorf("a proxy receives its own loads: %+v", got.Loads)
	}
}

// TestLoadsBroadcast: the other core machines receive the changes since the last broadcast, and a
// full broadcast once a second. Loads received from another core machine are not broadcast again.
func TestLoadsBroadcast(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	now := clock.Now() + fullLoadsInterval
	d.adoptList(clock.Now(), []Engine{{ID: "i-7"}, {ID: "i-8"}, {ID: "i-9"}})
	seven, eight, nine := placement.EngineHolderID("i-7"), placement.EngineHolderID("i-8"), placement.EngineHolderID("i-9")
	d.Handle(t.Context(), loadReport("p1", 1, []*fb.EngineLoadT{{Node: seven, Active: 1}, {Node: eight, Active: 1}}))
	d.mergeLoads(now, &fb.LoadUpdateT{Proxies: []*fb.ProxyLoadT{{Name: "far", Sequence: 1, Loads: []*fb.EngineLoadT{{Node: nine, Active: 1}}}}})
	full := d.nextBroadcast(now)
	if len(full.Proxies) != 1 || len(full.Proxies[0].Loads) != 2 || full.Proxies[0].ChangedOnly {
		t.Fatalf("%+v", full)
	}
	if again := d.nextBroadcast(now + loadsInterval); len(again.Proxies) != 0 {
		t.Errorf("broadcast although nothing changed: %+v", again)
	}
	d.Handle(t.Context(), loadReport("p1", 2, []*fb.EngineLoadT{{Node: seven, Active: 1}}))
	changed := d.nextBroadcast(now + 2*loadsInterval)
	if len(changed.Proxies) != 1 || !changed.Proxies[0].ChangedOnly || len(changed.Proxies[0].Loads) != 1 || changed.Proxies[0].Loads[0].Node != eight {
		t.Errorf("%+v", changed)
	}
	if later := d.nextBroadcast(now + 3*fullLoadsInterval); len(later.Proxies) != 0 || len(d.loads.byProxy) != 0 {
		t.Errorf("expired proxies are still broadcast: %+v", later)
	}
}

// TestReportedReads: reads that proxies report reach other proxies as cache updates, without
// duplicates and only for engines that are polled, and the other core machines exactly once.
func TestReportedReads(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	engine := placement.EngineHolderID("i-1")
	d.cachedBlocks[engine] = map[cacheindex.Key]bool{}
	read := func(op cacheindex.UpdateOp, holder uint64) *fb.CacheUpdateT {
		return &fb.CacheUpdateT{Hi: 1, Lo: 2, Check: 3, Holder: holder, Op: byte(op)}
	}
	for i, update := range []*fb.CacheUpdateT{
		read(cacheindex.OpComputing, engine),
		read(cacheindex.OpComputing, engine+1), // an engine that is not polled
		read(cacheindex.OpAdd, engine),
		read(cacheindex.OpAdd, engine),
		read(cacheindex.OpComputing, engine), // after the block was computed
		read(cacheindex.OpRemove, engine),    // accepted only from the engine's own events
	} {
		d.Handle(t.Context(), loadReport("p1", uint64(i+1), nil, update))
	}
	batch := d.events.Since(d.incarnation, 1, 100)
	want := []cacheindex.UpdateOp{cacheindex.OpComputing, cacheindex.OpAdd}
	if len(batch.Updates) != len(want) {
		t.Fatalf("%+v", batch.Updates)
	}
	for i, update := range batch.Updates {
		if update.Op != want[i] || update.Node != engine {
			t.Errorf("update %d: %+v", i, update)
		}
	}
	now := clock.Now() + fullLoadsInterval
	if update := d.nextBroadcast(now); len(update.Proxies) != 1 || len(update.Proxies[0].Updates) != 6 {
		t.Errorf("%+v", update)
	}
	if update := d.nextBroadcast(now + 1); len(update.Proxies) != 0 {
		t.Errorf("broadcast a second time: %+v", update)
	}
}

// TestLoadsOfARestartedProxy: a proxy that restarts while its previous incarnation is still known
// starts its sequence numbers at 1 again. Its reports must be accepted immediately, both directly
// and from another core machine, and replace the previous loads; a late report of the previous
// incarnation must change nothing.
func TestLoadsOfARestartedProxy(t *testing.T) {
	const previous, current = 11, 12
	requestsOf := func(d *Directory) uint32 {
		sum := uint32(0)
		for _, engineLoad := range mapResponseFor(d, "other", 0).Loads {
			sum += engineLoad.Active
		}
		return sum
	}
	report := func(incarnation, sequence uint64, active uint32, age int64, direct bool) *fb.LoadUpdateT {
		loads := []*fb.EngineLoadT{{Node: 7, Active: active}}
		return &fb.LoadUpdateT{Direct: direct, Proxies: []*fb.ProxyLoadT{{Name: "p1", Incarnation: incarnation, Sequence: sequence, Loads: loads, Age: age}}}
	}
	for _, direct := range []bool{true, false} {
		d, _, _ := newTestDirectory(t)
		now := clock.Now()
		d.mergeLoads(now, report(previous, 500, 40, 0, direct))
		d.mergeLoads(now+1000, report(current, 1, 3, 0, direct))
		if got := requestsOf(d); got != 3 {
			t.Errorf("direct %v: %d requests are reported of a proxy that has 3", direct, got)
		}
		d.mergeLoads(now+2000, report(previous, 501, 40, 3000, false))
		d.mergeLoads(now+3000, report(current, 2, 4, 0, direct))
		d.expireProxies(now + maxLoadAge)
		if got := requestsOf(d); got != 4 {
			t.Errorf("direct %v: %d requests are reported of a proxy that has 4", direct, got)
		}
	}
}
