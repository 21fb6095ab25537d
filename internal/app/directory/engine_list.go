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
	// listStagger is how much longer than the one before it in line a node goes without a
	// list before it asks the platform itself.
	listStagger       = 300_000
	listTimeout       = 900_000 // for the platform's answer
	listSourceTimeout = 400_000 // for that of the first node in line
)

// refreshList brings the list of engines up to date. The first node in line asks the
// platform, whose calls are expensive; the others ask that one, and the platform only if
// it has nothing fresh. A list that was pushed would be taken for new by whoever thaws or
// whose link heals (design §3), so it is asked for, and its age counts from then.
func (d *Directory) refreshList(ctx context.Context) {
	now := clock.Now()
	if now-d.listTime() < d.settings.ListIntervalUS {
		return
	}
	position, first := listPosition(d.control.VoterAddrs(), d.settings.ControlAddr)
	if position > 0 && now-d.listSourceAskedAt >= d.settings.ListIntervalUS/2 {
		d.listSourceAskedAt = now
		d.copyListFrom(ctx, first)
		now = clock.Now()
	}
	if now-d.listTime() < d.settings.ListIntervalUS+position*listStagger {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(listTimeout))
	defer cancel()
	if engines, err := d.platform.ListEngines(ctx); err == nil {
		d.adoptList(now, engines)
	}
}

// listTime is when the list in force was asked for.
func (d *Directory) listTime() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listReadAt
}

// listPosition is a node's position in line for asking the platform, and who is first.
func listPosition(voters []string, self string) (position int64, first string) {
	if len(voters) == 0 {
		return 0, ""
	}
	ordered := slices.Sorted(slices.Values(voters))
	return int64(max(0, slices.Index(ordered, self))), ordered[0]
}

// copyListFrom takes over the list that another core machine has.
func (d *Directory) copyListFrom(ctx context.Context, addr string) {
	askedAt := clock.Now()
	// UpdatesIncarnation has no effect here: without Node no events come, and without Hold the
	// response is not delayed.
	request := &fb.MapRequestT{Incarnation: d.listSourceIncarnation, HaveMap: d.listSourceRevision, UpdatesIncarnation: 1}
	response, err := d.control.Call(ctx, addr, &fb.FrameT{MapRequest: request}, listSourceTimeout)
	if err != nil || response.MapResponse == nil {
		return
	}
	mapResponse := response.MapResponse
	d.mu.Lock()
	d.announcements.Merge(codec.UnpackVersionAges(mapResponse, askedAt))
	d.mu.Unlock()
	if !mapResponse.FullMap { // the list is still the one that was taken over last
		d.mu.Lock()
		d.listReadAt = max(d.listReadAt, askedAt-mapResponse.ListAge)
		d.mu.Unlock()
		return
	}
	if d.adoptList(askedAt-mapResponse.ListAge, unpackEngines(mapResponse.Engines)) {
		d.listSourceIncarnation, d.listSourceRevision = mapResponse.Incarnation, mapResponse.Map
	}
}

// unpackEngines reads the engines of a map, without its stores.
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

// adoptList puts a list in force that was asked for at a time; false if the one in force
// is newer.
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

// sameEngine reports whether two engines differ in nothing that proxies see change.
func sameEngine(a, b Engine) bool {
	return a.ID == b.ID && a.Addr == b.Addr && a.Pool == b.Pool && a.Draining == b.Draining && maps.Equal(a.Weights, b.Weights)
}
