package sim

import (
	"cmp"
	"slices"
	"strings"

	"violetthread/index"
	"violetthread/schema/fb"
)

// An index node iterates over maps where the order does not matter to it: over the blocks in a
// full feed, the locations of holders, and the roles that it releases. These methods sort the
// results, so that an observed day is the same every time. On other days the order is left as
// it is.

// sortUpdates sorts updates by block. Updates of one block keep their order, unless the feed
// is a full one.
func (w *World) sortUpdates(updates []*fb.CacheUpdateT, restated bool) {
	if w.observer == nil {
		return
	}
	slices.SortStableFunc(updates, func(a, b *fb.CacheUpdateT) int {
		order := cmp.Or(cmp.Compare(a.Hi, b.Hi), cmp.Compare(a.Lo, b.Lo), cmp.Compare(a.Check, b.Check))
		if restated {
			order = cmp.Or(order, cmp.Compare(a.Holder, b.Holder))
		}
		return order
	})
}

// sortLocations sorts the locations of holders by their ID.
func (w *World) sortLocations(locations []*fb.HolderLocationT) {
	if w.observer != nil {
		slices.SortFunc(locations, func(a, b *fb.HolderLocationT) int { return cmp.Compare(a.Id, b.Id) })
	}
}

// sortLeaseOps sorts the releases, which precede the requests for leases.
func (w *World) sortLeaseOps(ops []index.LeaseOp) {
	if w.observer == nil {
		return
	}
	releases := ops[:0:0]
	for _, op := range ops {
		if !op.Release {
			break
		}
		releases = append(releases, op)
	}
	slices.SortFunc(releases, func(a, b index.LeaseOp) int { return strings.Compare(a.Key, b.Key) })
	copy(ops, releases)
}
