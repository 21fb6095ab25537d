// Package fairqueue shares room: between groups at a proxy, and between proxies
// at an engine's owner (design §8). It is pure.
package fairqueue

import "sort"

// Item is a waiting ticket. Cost is what its run is expected to take.
type Item struct {
	ID       string
	Deadline int64
	Cost     int64
}

// Queue is a start-time fair queue over groups: a group with twice the share
// gets twice the cost served while both wait, and an idle one saves nothing up.
type Queue struct {
	groups      map[string]*groupQueue
	names       []string // sorted, so that sums come out alike every time
	virtualTime float64
	waiting     int
}

type groupQueue struct {
	share        float64
	virtualStart float64
	items        []Item
	waitingCost  int64
	running      int
}

// NewQueue makes an empty queue.
func NewQueue() *Queue { return &Queue{groups: map[string]*groupQueue{}} }

func (q *Queue) group(g string) *groupQueue {
	l := q.groups[g]
	if l == nil {
		l = &groupQueue{share: 1}
		q.groups[g] = l
		i := sort.SearchStrings(q.names, g)
		q.names = append(q.names, "")
		copy(q.names[i+1:], q.names[i:])
		q.names[i] = g
	}
	return l
}

// Share sets a group's share.
func (q *Queue) SetShare(g string, s float64) {
	if s > 0 {
		q.group(g).share = s
	}
}

// Len counts the waiting items, Waiting those of one group.
func (q *Queue) Len() int { return q.waiting }

// Waiting counts the waiting items of a group.
func (q *Queue) Waiting(g string) int { return len(q.group(g).items) }

// Wants is what each group has waiting and running.
func (q *Queue) DemandByGroup() map[string]int {
	out := map[string]int{}
	for g, l := range q.groups {
		if n := len(l.items) + l.running; n > 0 {
			out[g] = n
		}
	}
	return out
}

// Busy counts a group's items that were taken and not yet released.
func (q *Queue) Running(g string) int { return q.group(g).running }

// Push lines an item up, by due within its group.
func (q *Queue) Push(g string, it Item) {
	l := q.group(g)
	if len(l.items) == 0 && l.virtualStart < q.virtualTime {
		l.virtualStart = q.virtualTime
	}
	i := sort.Search(len(l.items), func(i int) bool { return l.items[i].Deadline > it.Deadline })
	l.items = append(l.items, Item{})
	copy(l.items[i+1:], l.items[i:])
	l.items[i] = it
	l.waitingCost += it.Cost
	q.waiting++
}

// Next picks the item to serve next among groups that ok lets through.
func (q *Queue) Next(ok func(group string, busy int) bool) (g string, it Item, found bool) {
	var best *groupQueue
	for _, n := range q.names {
		l := q.groups[n]
		if len(l.items) == 0 || !ok(n, l.running) {
			continue
		}
		if best == nil || l.virtualStart < best.virtualStart {
			best, g = l, n
		}
	}
	if best == nil {
		return "", Item{}, false
	}
	return g, best.items[0], true
}

// Take removes a group's item and counts it as served.
func (q *Queue) Dequeue(g, id string) bool {
	l := q.group(g)
	it, ok := q.remove(l, id)
	if ok {
		if l.virtualStart > q.virtualTime {
			q.virtualTime = l.virtualStart
		}
		l.virtualStart += float64(max(it.Cost, 1)) / l.share
		l.running++
	}
	return ok
}

// Remove drops an item that is not to be served.
func (q *Queue) Remove(g, id string) bool {
	_, ok := q.remove(q.group(g), id)
	return ok
}

func (q *Queue) remove(l *groupQueue, id string) (Item, bool) {
	for i, it := range l.items {
		if it.ID == id {
			l.items = append(l.items[:i], l.items[i+1:]...)
			l.waitingCost -= it.Cost
			q.waiting--
			return it, true
		}
	}
	return Item{}, false
}

// Release ends what Take counted.
func (q *Queue) Release(g string) {
	if l := q.group(g); l.running > 0 {
		l.running--
	}
}

// Ahead estimates how long an item of that due would wait in its group's line,
// with so much room in all: the group gets its share of the room among the
// groups that are active now, or what the others leave, if that is more.
func (q *Queue) EstimateWait(g string, due int64, room int) int64 {
	if room <= 0 {
		return 1 << 40
	}
	l := q.group(g)
	var cost int64
	for _, it := range l.items {
		if it.Deadline <= due {
			cost += it.Cost
		}
	}
	if q.waiting == 0 && q.totalRunning() < room {
		return 0
	}
	return int64(float64(cost) / q.rate(l, room))
}

func (q *Queue) totalRunning() (n int) {
	for _, l := range q.groups {
		n += l.running
	}
	return n
}

// rate is the room that a group's line may count on: its share among the groups
// that are active now, or what the others leave, if that is more.
func (q *Queue) rate(l *groupQueue, room int) float64 {
	sum, others, wait := l.share, 0, false
	for _, n := range q.names {
		o := q.groups[n]
		if o != l && (len(o.items) > 0 || o.running > 0) {
			sum += o.share
			others += o.running
			wait = wait || len(o.items) > 0
		}
	}
	get := float64(room) * l.share / sum
	if !wait {
		get = max(get, float64(room-others))
	}
	return get
}

// Hopeless lists the waiting items that can't be served by their due with so much
// room, counting for each only what comes before it and is not hopeless itself.
func (q *Queue) Infeasible(now int64, room int) (ids []string) {
	if room <= 0 {
		return nil
	}
	for _, n := range q.names {
		l := q.groups[n]
		if len(l.items) == 0 {
			continue
		}
		get, ahead := q.rate(l, room), 0.0
		for _, it := range l.items {
			if now+int64(ahead/get)+it.Cost > it.Deadline {
				ids = append(ids, it.ID)
				continue
			}
			ahead += float64(it.Cost)
		}
	}
	return ids
}
