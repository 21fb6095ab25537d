package directory

import (
	"context"
	"maps"
	"slices"
	"sort"

	"violetthread/internal/clock"
	"violetthread/internal/wire"
	"violetthread/schema/fb"
)

// list brings the list of engines up to date. The first node in line asks the
// platform, whose calls are dear; the others ask that one, and the platform only if it
// has nothing fresh to tell. A list that was pushed would be taken for new by whoever
// thaws or whose wire heals (design §3), so it is asked for, and its age counts from then.
func (t *Directory) list(ctx context.Context) {
	now := clock.Now()
	t.mu.Lock()
	at := t.listAt
	t.mu.Unlock()
	if now-at < t.settings.ListEvery {
		return
	}
	place, first := placeInLine(t.control.Voters(), t.settings.Wire)
	if place > 0 && now-t.askedFirst >= t.settings.ListEvery/2 {
		t.askedFirst = now
		t.listFrom(ctx, first)
		now = clock.Now()
	}
	t.mu.Lock()
	at = t.listAt
	t.mu.Unlock()
	if now-at < t.settings.ListEvery+place*listTurn {
		return
	}
	ctx, stop := context.WithTimeout(ctx, clock.Micros(900_000))
	defer stop()
	if l, err := t.platform.List(ctx); err == nil {
		t.takeList(now, l)
	}
}

// listTurn is how much longer than the one before it a node goes without a list
// before it asks the platform itself.
const listTurn = 300_000

// placeInLine is a node's place in line for asking the platform, and who is first.
func placeInLine(voters []string, self string) (place int64, first string) {
	if len(voters) == 0 {
		return 0, ""
	}
	line := slices.Sorted(slices.Values(voters))
	return int64(max(0, slices.Index(line, self))), line[0]
}

// listFrom takes over the list that another node has.
func (t *Directory) listFrom(ctx context.Context, addr string) {
	at := clock.Now()
	f, err := t.control.Ask(ctx, addr, &fb.FrameT{MapAsk: &fb.MapAskT{Inc: t.firstInc, Map: t.firstMap, NewsInc: 1}}, 400_000)
	if err != nil || f.MapTell == nil {
		return
	}
	a := f.MapTell
	t.mu.Lock()
	t.namings.Merge(wire.Namings(a, at))
	t.mu.Unlock()
	if !a.Whole {
		t.mu.Lock()
		t.listAt = max(t.listAt, at-a.ListAge) // it stands
		t.mu.Unlock()
		return
	}
	var l []Listed
	for _, e := range a.Engines {
		if e.Store {
			continue
		}
		l = append(l, Listed{ID: e.Id, Pool: e.Pool, Addr: e.Addr, Site: e.Site, Draining: e.Draining,
			Slots: int(e.Slots), Weights: wire.Weights(e.Weights)})
	}
	if t.takeList(at-a.ListAge, l) {
		t.firstInc, t.firstMap = a.Inc, a.Map
	}
}

// takeList puts a list in force that was asked for at time at.
func (t *Directory) takeList(at int64, l []Listed) bool {
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	t.mu.Lock()
	defer t.mu.Unlock()
	if at <= t.listAt {
		return false
	}
	t.listAt, t.firstInc = at, 0
	if !slices.EqualFunc(l, t.listed, func(a, b Listed) bool {
		return a.ID == b.ID && a.Addr == b.Addr && a.Pool == b.Pool && a.Draining == b.Draining && maps.Equal(a.Weights, b.Weights)
	}) {
		t.listed = l
		t.mapRev++
		t.notify()
	}
	t.followHolders()
	return true
}
