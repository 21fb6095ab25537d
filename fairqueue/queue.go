// Package fairqueue shares room: between groups at a proxy, and between proxies
// at an engine's owner (design §8). It is pure.
package fairqueue

import "sort"

// Item is a waiting ticket. Cost is what its run is expected to take.
type Item struct {
	ID   string
	Due  int64
	Cost int64
}

// Queue is a start-time fair queue over groups: a group with twice the share
// gets twice the cost served while both wait, and an idle one saves nothing up.
type Queue struct {
	groups map[string]*line
	names  []string // sorted, so that sums come out alike every time
	v      float64
	n      int
}

type line struct {
	share float64
	start float64
	items []Item
	cost  int64
	busy  int
}

// NewQueue makes an empty queue.
func NewQueue() *Queue { return &Queue{groups: map[string]*line{}} }

func (q *Queue) line(g string) *line {
	l := q.groups[g]
	if l == nil {
		l = &line{share: 1}
		q.groups[g] = l
		i := sort.SearchStrings(q.names, g)
		q.names = append(q.names, "")
		copy(q.names[i+1:], q.names[i:])
		q.names[i] = g
	}
	return l
}

// Share sets a group's share.
func (q *Queue) Share(g string, s float64) {
	if s > 0 {
		q.line(g).share = s
	}
}

// Len counts the waiting items, Waiting those of one group.
func (q *Queue) Len() int { return q.n }

// Waiting counts the waiting items of a group.
func (q *Queue) Waiting(g string) int { return len(q.line(g).items) }

// Wants is what each group has waiting and running.
func (q *Queue) Wants() map[string]int {
	out := map[string]int{}
	for g, l := range q.groups {
		if n := len(l.items) + l.busy; n > 0 {
			out[g] = n
		}
	}
	return out
}

// Busy counts a group's items that were taken and not yet released.
func (q *Queue) Busy(g string) int { return q.line(g).busy }

// Push lines an item up, by due within its group.
func (q *Queue) Push(g string, it Item) {
	l := q.line(g)
	if len(l.items) == 0 && l.start < q.v {
		l.start = q.v
	}
	i := sort.Search(len(l.items), func(i int) bool { return l.items[i].Due > it.Due })
	l.items = append(l.items, Item{})
	copy(l.items[i+1:], l.items[i:])
	l.items[i] = it
	l.cost += it.Cost
	q.n++
}

// Next picks the item to serve next among groups that ok lets through.
func (q *Queue) Next(ok func(group string, busy int) bool) (g string, it Item, found bool) {
	var best *line
	for _, n := range q.names {
		l := q.groups[n]
		if len(l.items) == 0 || !ok(n, l.busy) {
			continue
		}
		if best == nil || l.start < best.start {
			best, g = l, n
		}
	}
	if best == nil {
		return "", Item{}, false
	}
	return g, best.items[0], true
}

// Take removes a group's item and counts it as served.
func (q *Queue) Take(g, id string) bool {
	l := q.line(g)
	it, ok := q.remove(l, id)
	if ok {
		if l.start > q.v {
			q.v = l.start
		}
		l.start += float64(max(it.Cost, 1)) / l.share
		l.busy++
	}
	return ok
}

// Remove drops an item that is not to be served.
func (q *Queue) Remove(g, id string) bool {
	_, ok := q.remove(q.line(g), id)
	return ok
}

func (q *Queue) remove(l *line, id string) (Item, bool) {
	for i, it := range l.items {
		if it.ID == id {
			l.items = append(l.items[:i], l.items[i+1:]...)
			l.cost -= it.Cost
			q.n--
			return it, true
		}
	}
	return Item{}, false
}

// Release ends what Take counted.
func (q *Queue) Release(g string) {
	if l := q.line(g); l.busy > 0 {
		l.busy--
	}
}

// Ahead estimates how long an item of that due would wait in its group's line,
// with so much room in all: the group gets its share of the room among the
// groups that are active now, or what the others leave, if that is more.
func (q *Queue) Ahead(g string, due int64, room int) int64 {
	if room <= 0 {
		return 1 << 40
	}
	l := q.line(g)
	var cost int64
	for _, it := range l.items {
		if it.Due <= due {
			cost += it.Cost
		}
	}
	if q.n == 0 && q.busy() < room {
		return 0
	}
	return int64(float64(cost) / q.rate(l, room))
}

func (q *Queue) busy() (n int) {
	for _, l := range q.groups {
		n += l.busy
	}
	return n
}

// rate is the room that a group's line may count on: its share among the groups
// that are active now, or what the others leave, if that is more.
func (q *Queue) rate(l *line, room int) float64 {
	sum, others, wait := l.share, 0, false
	for _, n := range q.names {
		o := q.groups[n]
		if o != l && (len(o.items) > 0 || o.busy > 0) {
			sum += o.share
			others += o.busy
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
func (q *Queue) Hopeless(now int64, room int) (ids []string) {
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
			if now+int64(ahead/get)+it.Cost > it.Due {
				ids = append(ids, it.ID)
				continue
			}
			ahead += float64(it.Cost)
		}
	}
	return ids
}
