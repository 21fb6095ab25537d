package fairqueue

// noCapacityWaitUS is the wait that EstimateWait returns without any capacity.
const noCapacityWaitUS = 1 << 40

// EstimateWait estimates for how many microseconds an item with that deadline would wait
// in its group, with capacity for so many runs at once in all groups.
func (q *Queue) EstimateWait(groupName string, deadline int64, capacity int) int64 {
	if capacity <= 0 {
		return noCapacityWaitUS
	}
	group := q.group(groupName)
	var costAhead int64
	for _, item := range group.items {
		if item.Deadline <= deadline {
			costAhead += item.Cost
		}
	}
	if q.waiting == 0 && q.totalRunning() < capacity {
		return 0
	}
	return int64(float64(costAhead) / q.serviceRate(group, capacity))
}

func (q *Queue) totalRunning() (running int) {
	for _, group := range q.groups {
		running += group.running
	}
	return running
}

// serviceRate is the capacity that a group may count on: its share among the groups that
// wait or run now, or, while no other group waits, what the others leave if that is more.
func (q *Queue) serviceRate(group *groupQueue, capacity int) float64 {
	shares, othersRunning, othersWait := group.share, 0, false
	for _, name := range q.names {
		other := q.groups[name]
		if other == group || len(other.items) == 0 && other.running == 0 {
			continue
		}
		shares += other.share
		othersRunning += other.running
		othersWait = othersWait || len(other.items) > 0
	}
	rate := float64(capacity) * group.share / shares
	if !othersWait {
		rate = max(rate, float64(capacity-othersRunning))
	}
	return rate
}

// Infeasible lists the waiting items that can't be served by their deadlines with capacity
// for so many runs at once. An item waits only for the feasible ones before it.
func (q *Queue) Infeasible(now int64, capacity int) (ids []string) {
	if capacity <= 0 {
		return nil
	}
	for _, name := range q.names {
		group := q.groups[name]
		if len(group.items) == 0 {
			continue
		}
		rate, costAhead := q.serviceRate(group, capacity), 0.0
		for _, item := range group.items {
			if now+int64(costAhead/rate)+item.Cost > item.Deadline {
				ids = append(ids, item.ID)
				continue
			}
			costAhead += float64(item.Cost)
		}
	}
	return ids
}
