package directory

import (
	"context"
	"maps"
	"slices"
	"sort"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	// listStagger is how much longer each node waits for a list than the node before it in the
	// order of listPosition, before it asks the platform itself.
	listStagger       = 300_000
	listTimeout       = 900_000 // for the platform's response
	listSourceTimeout = 400_000 // for the response of the first node
)

// refreshList updates the list of engines. Calls to the platform are expensive, so that only the
// first node calls it; the others ask the first node, and call the platform only if that has no
// fresh list. The list is pulled because a node that resumes after a pause, or whose link recovers,
// would take a pushed list for new (design §3); its age counts from the request.
func (d *Directory) refreshList(ctx context.Context) {
	now := clock.Now()
	if now-d.listReadTime() < d.settings.ListIntervalUS {
		return
	}
	position, first := listPosition(d.control.VoterAddrs(), d.settings.ControlAddr)
	if position > 0 && now-d.listSourceAskedAt >= d.settings.ListIntervalUS/2 {
		d.listSourceAskedAt = now
		d.copyListFrom(ctx, first)
		now = clock.Now()
	}
	if now-d.listReadTime() < d.settings.ListIntervalUS+position*listStagger {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(listTimeout))
	defer cancel()
	if engines, err := d.platform.ListEngines(ctx); err == nil {
		d.adoptList(now, engines)
	}
}

// listReadTime returns when the current list was requested.
func (d *Directory) listReadTime() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listReadAt
}

// listPosition returns a node's position among the voters in the order of their addresses, which
// is the order in which they ask the platform, and the address of the first.
func listPosition(voters []string, self string) (position int64, first string) {
	if len(voters) == 0 {
		return 0, ""
	}
	ordered := slices.Sorted(slices.Values(voters))
	return int64(max(0, slices.Index(ordered, self))), ordered[0]
}

// copyListFrom copies the list of another core machine.
func (d *Directory) copyListFrom(ctx context.Context, addr string) {
	askedAt := clock.Now()
	// UpdatesIncarnation has no effect here: without Node the response holds no events, and without
	// Hold it is not delayed.
	request := &fb.MapRequestT{Incarnation: d.listSourceIncarnation, HaveMap: d.listSourceRevision, UpdatesIncarnation: 1}
	response, err := d.control.Call(ctx, addr, &fb.FrameT{MapRequest: request}, listSourceTimeout)
	if err != nil || response.MapResponse == nil {
		return
	}
	mapResponse := response.MapResponse
	d.mu.Lock()
	d.announcements.Merge(codec.UnpackVersionAges(mapResponse, askedAt))
	d.mu.Unlock()
	if !mapResponse.FullMap { // the list is unchanged since it was last copied
		d.mu.Lock()
		d.listReadAt = max(d.listReadAt, askedAt-mapResponse.ListAge)
		d.mu.Unlock()
		return
	}
	if d.adoptList(askedAt-mapResponse.ListAge, unpackEngines(mapResponse.Engines)) {
		d.listSourceIncarnation, d.listSourceRevision = mapResponse.Incarnation, mapResponse.Map
	}
}

// unpackEngines returns the engines of a map, without its stores.
func unpackEngines(packed []*fb.MapEngineT) (engines []Engine) {
	for _, engine := range packed {
		if engine.Store {
			continue
		}
		engines = append(engines, Engine{
			ID:       engine.Id,
			Pool:     engine.Pool,
			Addr:     engine.Addr,
			Zone:     engine.Zone,
			Draining: engine.Draining,
			Slots:    int(engine.Slots),
			Weights:  codec.UnpackWeights(engine.Weights),
		})
	}
	return engines
}

// adoptList replaces the list of engines with one that was requested at askedAt. It returns false
// if the current list is as recent or newer.
func (d *Directory) adoptList(askedAt int64, engines []Engine) bool {
	sort.Slice(engines, func(i, j int) bool { return engines[i].ID < engines[j].ID })
	d.mu.Lock()
	defer d.mu.Unlock()
	if askedAt <= d.listReadAt {
		return false
	}
	d.listReadAt, d.listSourceIncarnation = askedAt, 0
	if !slices.EqualFunc(engines, d.listedEngines, sameEngine) {
		d.listedEngines = engines
		d.mapRevision++
		d.notify()
	}
	d.syncReaders()
	return true
}

// sameEngine reports whether two engines are equal in every field that can change and is visible
// to proxies.
func sameEngine(a, b Engine) bool {
	return a.ID == b.ID && a.Addr == b.Addr && a.Pool == b.Pool && a.Draining == b.Draining && maps.Equal(a.Weights, b.Weights)
}
