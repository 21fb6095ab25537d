package cacheindex

import (
	"slices"
	"sort"
)

// Sizes of the update logs of each zone, in updates.
const (
	zoneLogSize     = 1 << 14
	prefetchLogSize = 1 << 12
)

// Location is the location of a node that caches blocks.
type Location struct {
	Zone  string
	Store bool // the node is a store, which is used only if no engine has a block
}

// Directory records all holders of each block in the shards of one owner. It sends each zone
// only the changes to the holder nearest to that zone.
type Directory struct {
	locations    map[uint64]Location
	holders      map[Key][]uint64 // in the order in which they were added
	zoneLogs     map[string]*UpdateLog
	prefetchLogs map[string]*UpdateLog
	incarnation  uint64
	maxBlocks    int
	// Changes is the number of applied updates that had an effect. Multiplied by the number of
	// nodes it is the number of updates that a broadcast to all nodes would have sent.
	Changes uint64
}

// NewDirectory creates a directory of at most maxBlocks blocks; further blocks are ignored.
func NewDirectory(incarnation uint64, maxBlocks int) *Directory {
	return &Directory{
		locations:    map[uint64]Location{},
		holders:      map[Key][]uint64{},
		zoneLogs:     map[string]*UpdateLog{},
		prefetchLogs: map[string]*UpdateLog{},
		incarnation:  incarnation,
		maxBlocks:    maxBlocks,
	}
}

// ZoneLog returns the log of changes to the nearest holders as seen from a zone, creating it on
// first use.
func (d *Directory) ZoneLog(zone string) *UpdateLog {
	log := d.zoneLogs[zone]
	if log == nil {
		log = NewUpdateLog(d.incarnation, zoneLogSize, func() []Update { return d.zoneSnapshot(zone) })
		d.zoneLogs[zone] = log
	}
	return log
}

// zoneSnapshot returns updates that add the nearest holder of each block as seen from a zone.
func (d *Directory) zoneSnapshot(zone string) []Update {
	var updates []Update
	for key := range d.holders {
		if node := d.nearest(key, zone); node != 0 {
			updates = append(updates, Update{key, node, OpAdd})
		}
	}
	sort.Slice(updates, func(i, j int) bool { return updates[i].Key.Hi < updates[j].Key.Hi })
	return updates
}

// PrefetchLog returns the log of blocks that a zone may prefetch, creating it on first use. Its
// snapshot is empty, so that a follower does not receive suggestions that it missed.
func (d *Directory) PrefetchLog(zone string) *UpdateLog {
	log := d.prefetchLogs[zone]
	if log == nil {
		log = NewUpdateLog(d.incarnation, prefetchLogSize, func() []Update { return nil })
		d.prefetchLogs[zone] = log
	}
	return log
}

// suggestPrefetch is called when node gets a copy of a block. If engines of exactly two zones have
// the block then, it suggests the block to all other zones, with node as the source: a block that
// two subtrees fetched is likely to be requested in others (the paper's "push shared").
func (d *Directory) suggestPrefetch(key Key, node uint64) {
	zones := map[string]bool{}
	for _, holder := range d.holders[key] {
		if location, known := d.locations[holder]; known && !location.Store {
			zones[location.Zone] = true
		}
	}
	if location := d.locations[node]; len(zones) != 2 || location.Store || !zones[location.Zone] {
		return
	}
	for zone, log := range d.prefetchLogs {
		if !zones[zone] {
			log.Append(Update{key, node, OpPrefetch})
		}
	}
}

// SetLocation sets the location of a node. A node without a location is never the nearest holder.
func (d *Directory) SetLocation(node uint64, location Location) { d.locations[node] = location }

// Len returns the number of blocks.
func (d *Directory) Len() int { return len(d.holders) }

// UpdatesSent returns the number of updates appended to the zone logs of all zones.
func (d *Directory) UpdatesSent() uint64 {
	var sent uint64
	for _, log := range d.zoneLogs {
		sent += log.Appended
	}
	return sent
}

// Distances of a holder from a zone, in ascending order.
const (
	sameZone = iota
	otherZone
	store
	unknownLocation
)

func (d *Directory) distance(node uint64, zone string) int {
	location, known := d.locations[node]
	switch {
	case !known:
		return unknownLocation
	case location.Store:
		return store
	case location.Zone == zone:
		return sameZone
	default:
		return otherZone
	}
}

// nearest returns the nearest holder of a block as seen from a zone, the one added first among
// several, or 0 if there is none with a known location.
func (d *Directory) nearest(key Key, zone string) uint64 {
	var nearest uint64
	nearestDistance := unknownLocation
	for _, holder := range d.holders[key] {
		if distance := d.distance(holder, zone); distance < nearestDistance {
			nearest, nearestDistance = holder, distance
		}
	}
	return nearest
}

// Apply applies an update to the directory, and appends an update to the log of each zone whose
// nearest holder changes.
func (d *Directory) Apply(update Update) {
	holders, present := d.holders[update.Key]
	at := slices.Index(holders, update.Node)
	switch {
	case update.Op == OpAdd && at >= 0, update.Op == OpRemove && at < 0:
		return // no change
	case update.Op == OpAdd && !present && len(d.holders) >= d.maxBlocks:
		return // full
	}
	d.Changes++
	before := map[string]uint64{}
	for zone := range d.zoneLogs {
		before[zone] = d.nearest(update.Key, zone)
	}
	if update.Op == OpAdd {
		d.holders[update.Key] = append(holders, update.Node)
		d.suggestPrefetch(update.Key, update.Node)
	} else {
		d.removeHolder(update.Key, at)
	}
	for zone, previous := range before {
		d.logNearest(zone, update.Key, previous)
	}
}

func (d *Directory) removeHolder(key Key, at int) {
	holders := d.holders[key]
	if len(holders) == 1 {
		delete(d.holders, key)
		return
	}
	d.holders[key] = slices.Delete(holders, at, at+1)
}

// logNearest appends the nearest holder of a block to a zone's log if it is another than before.
func (d *Directory) logNearest(zone string, key Key, before uint64) {
	switch nearest := d.nearest(key, zone); {
	case nearest == before:
	case nearest != 0:
		d.zoneLogs[zone].Append(Update{key, nearest, OpAdd})
	default:
		d.zoneLogs[zone].Append(Update{key, before, OpRemove})
	}
}

// RemoveIf removes the holders for which gone returns true.
func (d *Directory) RemoveIf(gone func(key Key, node uint64) bool) {
	var updates []Update
	for key, holders := range d.holders {
		for _, node := range holders {
			if gone(key, node) {
				updates = append(updates, Update{key, node, OpRemove})
			}
		}
	}
	for _, update := range updates {
		d.Apply(update)
	}
}

// RetainKeys drops the blocks whose shard has another owner now. It appends no updates to the
// zone logs, since the new owner of the shard announces the blocks.
func (d *Directory) RetainKeys(keep func(Key) bool) {
	for key := range d.holders {
		if !keep(key) {
			delete(d.holders, key)
		}
	}
}
