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

// list brings the list of engines up to date. The first node in line asks the
// platform, whose calls are dear; the others ask that one, and the platform only if it
// has nothing fresh to tell. A list that was pushed would be taken for new by whoever
// thaws or whose wire heals (design §3), so it is asked for, and its age counts from then.
func (d *Directory) refreshList(ctx context.Context) {
	now := clock.Now()
	d.mu.Lock()
	at := d.listReadAt
	d.mu.Unlock()
	if now-at < d.settings.ListInterval {
		return
	}
	place, first := listPosition(d.control.VoterAddrs(), d.settings.ControlAddr)
	if place > 0 && now-d.firstAskedAt >= d.settings.ListInterval/2 {
		d.firstAskedAt = now
		d.copyListFrom(ctx, first)
		now = clock.Now()
	}
	d.mu.Lock()
	at = d.listReadAt
	d.mu.Unlock()
	if now-at < d.settings.ListInterval+place*listStagger {
		return
	}
	ctx, stop := context.WithTimeout(ctx, clock.Duration(900_000))
	defer stop()
	if l, err := d.platform.ListEngines(ctx); err == nil {
		d.adoptList(now, l)
	}
}

// listTurn is how much longer than the one before it a node goes without a list
// before it asks the platform itself.
const listStagger = 300_000

// placeInLine is a node's place in line for asking the platform, and who is first.
func listPosition(voters []string, self string) (place int64, first string) {
	if len(voters) == 0 {
		return 0, ""
	}
	line := slices.Sorted(slices.Values(voters))
	return int64(max(0, slices.Index(line, self))), line[0]
}

// listFrom takes over the list that another node has.
func (d *Directory) copyListFrom(ctx context.Context, addr string) {
	at := clock.Now()
	f, err := d.control.Call(ctx, addr, &fb.FrameT{MapAsk: &fb.MapAskT{Inc: d.firstIncarnation, Map: d.firstRevision, NewsInc: 1}}, 400_000)
	if err != nil || f.MapTell == nil {
		return
	}
	a := f.MapTell
	d.mu.Lock()
	d.namings.Merge(codec.UnpackVersionAges(a, at))
	d.mu.Unlock()
	if !a.Whole {
		d.mu.Lock()
		d.listReadAt = max(d.listReadAt, at-a.ListAge) // it stands
		d.mu.Unlock()
		return
	}
	var l []Engine
	for _, e := range a.Engines {
		if e.Store {
			continue
		}
		l = append(l, Engine{ID: e.Id, Pool: e.Pool, Addr: e.Addr, Zone: e.Site, Draining: e.Draining,
			Slots: int(e.Slots), Weights: codec.UnpackWeights(e.Weights)})
	}
	if d.adoptList(at-a.ListAge, l) {
		d.firstIncarnation, d.firstRevision = a.Inc, a.Map
	}
}

// takeList puts a list in force that was asked for at time at.
func (d *Directory) adoptList(at int64, l []Engine) bool {
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	d.mu.Lock()
	defer d.mu.Unlock()
	if at <= d.listReadAt {
		return false
	}
	d.listReadAt, d.firstIncarnation = at, 0
	if !slices.EqualFunc(l, d.listedEngines, func(a, b Engine) bool {
		return a.ID == b.ID && a.Addr == b.Addr && a.Pool == b.Pool && a.Draining == b.Draining && maps.Equal(a.Weights, b.Weights)
	}) {
		d.listedEngines = l
		d.mapRevision++
		d.notify()
	}
	d.syncReaders()
	return true
}
