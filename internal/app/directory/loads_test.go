package directory

import (
	"testing"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/placement"
	"violetthread/schema/fb"
)

// tellLoads is a report that a proxy makes by itself.
func tellLoads(name string, sequence uint64, loads []*fb.EngineLoadT, reads ...*fb.CacheUpdateT) *fb.FrameT {
	report := &fb.ProxyLoadT{Name: name, Sequence: sequence, Loads: loads, Updates: reads}
	return &fb.FrameT{LoadUpdate: &fb.LoadUpdateT{Proxies: []*fb.ProxyLoadT{report}, Direct: true}}
}

// loadsOf is what a proxy that knows a revision of loads is told.
func loadsOf(d *Directory, name string, since uint64) *fb.MapResponseT {
	return d.respond(&fb.MapRequestT{Node: &fb.NodeT{Name: name}, Incarnation: d.incarnation, LoadsSince: since}, clock.Now())
}

// TestPromptLoads: what a proxy reports by itself reaches the others with their next question,
// as a change; a question that overtook it does not undo it.
func TestPromptLoads(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	d.Handle(t.Context(), tellLoads("p1", 2, []*fb.EngineLoadT{{Node: 7, Active: 1, PrefillTokens: 900}}))
	first := loadsOf(d, "p2", 0)
	if len(first.Loads) != 1 || first.Loads[0].PrefillTokens != 900 || first.LoadsChangedOnly {
		t.Fatalf("%+v", first)
	}
	d.recordProxy(clock.Now(), &fb.MapRequestT{Node: &fb.NodeT{Name: "p1"}, LoadsSequence: 1})
	if got := loadsOf(d, "p2", first.LoadsRevision); len(got.Loads) != 0 || !got.LoadsChangedOnly {
		t.Errorf("an older question changed %+v", got.Loads)
	}
	d.Handle(t.Context(), tellLoads("p1", 3, nil))
	if got := loadsOf(d, "p2", first.LoadsRevision); len(got.Loads) != 1 || got.Loads[0].Active != 0 || !got.LoadsChangedOnly {
		t.Errorf("the end of a request: %+v", got.Loads)
	}
	if got := loadsOf(d, "p1", 0); len(got.Loads) != 0 {
		t.Errorf("a proxy is told its own loads: %+v", got.Loads)
	}
}

// TestLoadsBroadcast: the other core machines get what changed since the last broadcast, and
// everything once a second; what they hear is not sent on.
func TestLoadsBroadcast(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	now := clock.Now() + fullLoadsInterval
	d.adoptList(clock.Now(), []Engine{{ID: "i-7"}, {ID: "i-8"}, {ID: "i-9"}})
	seven, eight, nine := placement.EngineHolderID("i-7"), placement.EngineHolderID("i-8"), placement.EngineHolderID("i-9")
	d.Handle(t.Context(), tellLoads("p1", 1, []*fb.EngineLoadT{{Node: seven, Active: 1}, {Node: eight, Active: 1}}))
	d.mergeLoads(now, &fb.LoadUpdateT{Proxies: []*fb.ProxyLoadT{{Name: "far", Sequence: 1, Loads: []*fb.EngineLoadT{{Node: nine, Active: 1}}}}})
	full := d.nextBroadcast(now)
	if len(full.Proxies) != 1 || len(full.Proxies[0].Loads) != 2 || full.Proxies[0].ChangedOnly {
		t.Fatalf("%+v", full)
	}
	if again := d.nextBroadcast(now + loadsInterval); len(again.Proxies) != 0 {
		t.Errorf("nothing changed: %+v", again)
	}
	d.Handle(t.Context(), tellLoads("p1", 2, []*fb.EngineLoadT{{Node: seven, Active: 1}}))
	changed := d.nextBroadcast(now + 2*loadsInterval)
	if len(changed.Proxies) != 1 || !changed.Proxies[0].ChangedOnly || len(changed.Proxies[0].Loads) != 1 || changed.Proxies[0].Loads[0].Node != eight {
		t.Errorf("%+v", changed)
	}
	if later := d.nextBroadcast(now + 3*fullLoadsInterval); len(later.Proxies) != 0 || len(d.loads.byProxy) != 0 {
		t.Errorf("proxies that were not heard of for long are told: %+v", later)
	}
}

// TestReportedReads: what proxies say that engines read or have read reaches proxies as updates
// and the other core machines once; nothing is noted of engines that are not followed, nor twice.
func TestReportedReads(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	engine := placement.EngineHolderID("i-1")
	d.cachedBlocks[engine] = map[cacheindex.Key]bool{}
	read := func(op cacheindex.UpdateOp, holder uint64) *fb.CacheUpdateT {
		return &fb.CacheUpdateT{Hi: 1, Lo: 2, Check: 3, Holder: holder, Op: byte(op)}
	}
	for i, update := range []*fb.CacheUpdateT{
		read(cacheindex.OpComputing, engine),
		read(cacheindex.OpComputing, engine+1), // not followed
		read(cacheindex.OpAdd, engine),
		read(cacheindex.OpAdd, engine),
		read(cacheindex.OpComputing, engine), // late
		read(cacheindex.OpRemove, engine),    // only its own events say that
	} {
		d.Handle(t.Context(), tellLoads("p1", uint64(i+1), nil, update))
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
		t.Errorf("told twice: %+v", update)
	}
}

// TestLoadsOfARestartedProxy: a proxy that starts again while its former incarnation is still
// remembered counts its reports from 1. They are taken at once, whichever way they come, and the
// former loads are gone; a late word of the former incarnation changes nothing.
func TestLoadsOfARestartedProxy(t *testing.T) {
	const former, present = 11, 12
	requestsOf := func(d *Directory) uint32 {
		sum := uint32(0)
		for _, engineLoad := range loadsOf(d, "other", 0).Loads {
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
		d.mergeLoads(now, report(former, 500, 40, 0, direct))
		d.mergeLoads(now+1000, report(present, 1, 3, 0, direct))
		if got := requestsOf(d); got != 3 {
			t.Errorf("direct %v: %d requests are reported of a proxy that has 3", direct, got)
		}
		d.mergeLoads(now+2000, report(former, 501, 40, 3000, false))
		d.mergeLoads(now+3000, report(present, 2, 4, 0, direct))
		d.forgetSilentProxies(now + loadsLifetime)
		if got := requestsOf(d); got != 4 {
			t.Errorf("direct %v: %d requests are reported of a proxy that has 4", direct, got)
		}
	}
}
