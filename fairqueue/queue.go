package fairqueue

import (
	"slices"
	"sort"
)

// Item is a waiting request.
type Item struct {
	ID       string
	Deadline int64 // monotonic, in microseconds
	Cost     int64 // expected duration of its run, in microseconds
}

// Queue is a start-time fair queue over groups. While two groups have waiting items, they are
// served in proportion to their shares, measured by cost. A group accumulates no credit while it
// is idle.
type Queue struct {
	groups      map[string]*groupQueue
	names       []string // of groups, sorted, since floating-point sums depend on the order
	virtualTime float64
	waiting     int // items in all groups
}

// groupQueue is the state of one group in a Queue.
type groupQueue struct {
	share        float64
	virtualStart float64 // of the item served next
	items        []Item  // by deadline
	running      int     // dequeued and not released
}

// NewQueue creates an empty queue.
func NewQueue() *Queue { return &Queue{groups: map[string]*groupQueue{}} }

// group returns the state of a group, creating it on first use.
func (q *Queue) group(name string) *groupQueue {
	if group := q.groups[name]; group != nil {
		return group
	}
	group := &groupQueue{share: 1}
	q.groups[name] = group
	at, _ := slices.BinarySearch(q.names, name)
	q.names = slices.Insert(q.names, at, name)
	return group
}

// SetShare sets a group's share, which is 1 by default. Shares that are not positive are ignored.
func (q *Queue) SetShare(group string, share float64) {
	if share > 0 {
		q.group(group).share = share
	}
}

// Len returns the number of waiting items of all groups.
func (q *Queue) Len() int { return q.waiting }

// Waiting returns the number of waiting items of a group.
func (q *Queue) Waiting(group string) int { return len(q.group(group).items) }

// Running returns the number of a group's items that were dequeued and not yet released.
func (q *Queue) Running(group string) int { return q.group(group).running }

// DemandByGroup returns the number of waiting and running items of each group. Groups without any
// are left out.
func (q *Queue) DemandByGroup() map[string]int {
	demand := map[string]int{}
	for name, group := range q.groups {
		if n := len(group.items) + group.running; n > 0 {
			demand[name] = n
		}
	}
	return demand
}

// Push adds an item to its group, behind all items whose deadlines are not later.
func (q *Queue) Push(groupName string, item Item) {
	group := q.group(groupName)
	if len(group.items) == 0 && group.virtualStart < q.virtualTime {
		group.virtualStart = q.virtualTime // no credit for idle time
	}
	at := sort.Search(len(group.items), func(i int) bool { return group.items[i].Deadline > item.Deadline })
	group.items = slices.Insert(group.items, at, item)
	q.waiting++
}

// Next returns the item to serve next, without removing it, among the groups for which mayServe
// returns true; running is the number of running items of the group.
func (q *Queue) Next(mayServe func(group string, running int) bool) (groupName string, item Item, found bool) {
	var next *groupQueue
	for _, name := range q.names {
		group := q.groups[name]
		if len(group.items) == 0 || !mayServe(name, group.running) {
			continue
		}
		if next == nil || group.virtualStart < next.virtualStart {
			next, groupName = group, name
		}
	}
	if next == nil {
		return "", Item{}, false
	}
	return groupName, next.items[0], true
}

// Dequeue removes an item to be served, charges its cost to the group, and counts it as running
// until Release. It reports whether the item was in the queue.
func (q *Queue) Dequeue(groupName, id string) bool {
	group := q.group(groupName)
	item, found := q.extract(group, id)
	if !found {
		return false
	}
	if group.virtualStart > q.virtualTime {
		q.virtualTime = group.virtualStart
	}
	group.virtualStart += float64(max(item.Cost, 1)) / group.share
	group.running++
	return true
}

// Remove removes an item without serving it, and reports whether it was in the queue.
func (q *Queue) Remove(groupName, id string) bool {
	_, found := q.extract(q.group(groupName), id)
	return found
}

// extract removes an item from its group and returns it.
func (q *Queue) extract(group *groupQueue, id string) (Item, bool) {
	at := slices.IndexFunc(group.items, func(item Item) bool { return item.ID == id })
	if at < 0 {
		return Item{}, false
	}
	item := group.items[at]
	group.items = slices.Delete(group.items, at, at+1)
	q.waiting--
	return item, true
}

// Release stops counting one item that was dequeued as running.
func (q *Queue) Release(groupName string) {
	if group := q.group(groupName); group.running > 0 {
		group.running--
	}
}
