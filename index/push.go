package index

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"violetthread/hint"
)

// PushFeed answers an index node that owns engines in a site with the parts
// worth fetching there ahead of need.
func (k *Keeper) PushFeed(site string, inc, since uint64) (hint.Batch, []Place) {
	return k.dir.PushBox(site).Since(inc, since, 256), k.known()
}

// known lists the holders that the shards' feeds named.
func (k *Keeper) known() []Place {
	var ps []Place
	for _, p := range k.placed {
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(a, b Place) int { return strings.Compare(a.Engine, b.Engine) })
	return ps
}

// PushSites lists the sites of the engines owned here, if parts are to be pushed.
func (k *Keeper) PushSites(now int64) []string {
	if k.plan == nil || k.plan.Limits.Push == "none" {
		return nil
	}
	in := map[string]bool{}
	for n, e := range k.engines {
		if _, ok := k.Holds(now, EngineDuty(n)); ok && !e.Store {
			in[e.Site] = true
		}
	}
	var out []string
	for s := range in {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}

// Push is an order to fetch a part ahead of need.
type Push struct {
	Engine, Addr, From, Weights string
	Epoch                       uint64
	Part                        hint.Key
}

// Pushes turns a push feed into orders for the engines owned here. Every index
// node picks the same engines of a site by rendezvous; each orders its own.
func (k *Keeper) Pushes(now int64, site string, b hint.Batch, ps []Place) []Push {
	if k.plan == nil {
		return nil
	}
	from := map[uint64]string{}
	for _, p := range ps {
		from[p.ID] = k.listing[p.Engine].Addr
	}
	var here []string
	for n, l := range k.listing {
		if l.Site == site && !l.Store && !l.Leaving {
			here = append(here, n)
		}
	}
	n := map[string]int{"one": 1, "half": (len(here) + 1) / 2, "all": len(here)}[k.plan.Limits.Push]
	var out []Push
	for _, w := range b.News {
		key := strconv.FormatUint(w.Key.Hi, 16)
		sort.Slice(here, func(i, j int) bool { return score(key, here[i]) > score(key, here[j]) })
		for _, name := range here[:min(n, len(here))] {
			e := k.engines[name]
			ep, ok := k.Holds(now, EngineDuty(name))
			if e == nil || !ok || e.keeps[w.Key] || from[w.Node] == "" || e.id == w.Node {
				continue
			}
			out = append(out, Push{name, e.Addr, from[w.Node], e.weights, ep, w.Key})
			k.Counts.Pushes++
		}
	}
	return out
}
