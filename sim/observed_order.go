package sim

import (
	"cmp"
	"slices"
	"strings"

	"violetthread/index"
	"violetthread/schema/fb"
)

// An index node iterates over maps where no order matters to it: over the parts that a
// feed restates, over where holders lie, and over duties that it gives back. These put
// what comes of it into one order, so that an observed day is the same each time. In
// other days the order stays as it comes.

// orderNews sorts hint news by part. What befell one part stays in its order, unless the
// feed restates everything.
func (w *World) orderUpdates(news []*fb.CacheUpdateT, restated bool) {
	if w.observer == nil {
		return
	}
	slices.SortStableFunc(news, func(a, b *fb.CacheUpdateT) int {
		order := cmp.Or(cmp.Compare(a.Hi, b.Hi), cmp.Compare(a.Lo, b.Lo), cmp.Compare(a.Check, b.Check))
		if restated {
			order = cmp.Or(order, cmp.Compare(a.Holder, b.Holder))
		}
		return order
	})
}

// orderPlaces sorts where holders lie.
func (w *World) orderLocations(places []*fb.HolderLocationT) {
	if w.observer != nil {
		slices.SortFunc(places, func(a, b *fb.HolderLocationT) int { return cmp.Compare(a.Id, b.Id) })
	}
}

// orderDuties sorts the duties that are given back, which come before those asked for.
func (w *World) orderLeaseOps(asks []index.LeaseOp) {
	if w.observer == nil {
		return
	}
	back := asks[:0:0]
	for _, leaseOp := range asks {
		if !leaseOp.Release {
			break
		}
		back = append(back, leaseOp)
	}
	slices.SortFunc(back, func(leaseOp, b index.LeaseOp) int { return strings.Compare(leaseOp.Key, b.Key) })
	copy(asks, back)
}
