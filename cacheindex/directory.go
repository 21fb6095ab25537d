package cacheindex

import (
	"slices"
	"sort"
)

// Sizes of the logs of a zone, in updates.
const (
	zoneLogSize     = 1 << 14
	prefetchLogSize = 1 << 12
)

// Location is where a node that has blocks stands.
type Location struct {
	Zone  string
	Store bool // the store, which is asked only when no engine has a block
}

// Directory is what the owner of shards knows: all nodes that have each block of its
// shards. It tells each zone only what changes the nearest of them.
type Directory struct {
	locations    map[uint64]Location
	holders      map[Key][]uint64 // in the order in which they came to have the block
	zoneLogs     map[string]*UpdateLog
	prefetchLogs map[string]*UpdateLog
	incarnation  uint64
	maxBlocks    int
	// Changes counts the updates applied that changed anything. Updates sent to every node
	// would have been Changes times the number of nodes.
	Changes uint64
}

// NewDirectory makes a directory of maxBlocks blocks at most; further ones are left out.
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

// ZoneLog returns the log of the nearest holders as seen from a zone. It is made when it is
// first asked for.
func (d *Directory) ZoneLog(zone string) *UpdateLog {
	log := d.zoneLogs[zone]
	if log == nil {
		log = NewUpdateLog(d.incarnation, zoneLogSize, func() []Update { return d.zoneSnapshot(zone) })
		d.zoneLogs[zone] = log
	}
	return log
}

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

// PrefetchLog returns the log of the blocks that a zone may fetch ahead of need. It is made
// when it is first asked for; what a follower missed is not said again.
func (d *Directory) PrefetchLog(zone string) *UpdateLog {
	log := d.prefetchLogs[zone]
	if log == nil {
		log = NewUpdateLog(d.incarnation, prefetchLogSize, func() []Update { return nil })
		d.prefetchLogs[zone] = log
	}
	return log
}

// suggestPrefetch tells the zones that lack a block of it once a second zone has it, with
// the node that got it last: what two subtrees fetched, others will want (the paper's "push
// shared").
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

// SetLocation sets where a node stands; without a location it is nobody's nearest.
func (d *Directory) SetLocation(node uint64, location Location) { d.locations[node] = location }

// Len counts blocks.
func (d *Directory) Len() int { return len(d.holders) }

// UpdatesSent counts the updates appended to the logs of all zones.
func (d *Directory) UpdatesSent() uint64 {
	var sent uint64
	for _, log := range d.zoneLogs {
		sent += log.Appended
	}
	return sent
}

// Distances of a holder from a zone.
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

// nearest is the nearest holder of a block, the earliest one of several, or 0.
func (d *Directory) nearest(key Key, zone string) uint64 {
	var nearest uint64
	least := unknownLocation
	for _, holder := range d.holders[key] {
		if distance := d.distance(holder, zone); distance < least {
			nearest, least = holder, distance
		}
	}
	return nearest
}

// Apply takes an update in and passes on what changes the nearest holder of a zone.
func (d *Directory) Apply(update Update) {
	holders, there := d.holders[update.Key]
	at := slices.Index(holders, update.Node)
	switch {
	case update.Op == OpAdd && at >= 0, update.Op == OpRemove && at < 0:
		return // known already
	case update.Op == OpAdd && !there && len(d.holders) >= d.maxBlocks:
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
	for zone, was := range before {
		d.logNearest(zone, update.Key, was)
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

// logNearest tells a zone of the nearest holder of a block if it is another than before.
func (d *Directory) logNearest(zone string, key Key, before uint64) {
	switch nearest := d.nearest(key, zone); {
	case nearest == before:
	case nearest != 0:
		d.zoneLogs[zone].Append(Update{key, nearest, OpAdd})
	default:
		d.zoneLogs[zone].Append(Update{key, before, OpRemove})
	}
}

// RemoveIf removes the holders for which gone is true.
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

// RetainKeys drops the blocks that no longer belong here. No zone is told: the new owner of
// their shard tells of them.
func (d *Directory) RetainKeys(keep func(Key) bool) {
	for key := range d.holders {
		if !keep(key) {
			delete(d.holders, key)
		}
	}
}
