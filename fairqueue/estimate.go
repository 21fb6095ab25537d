package fairqueue

// noCapacityWaitUS is the wait that EstimateWait returns if there is no capacity.
const noCapacityWaitUS = 1 << 40

// EstimateWait estimates the time in microseconds for which a new item with the given deadline
// would wait in a group. capacity is the number of concurrent runs of all groups.
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

// totalRunning returns the number of running items of all groups.
func (q *Queue) totalRunning() (running int) {
	for _, group := range q.groups {
		running += group.running
	}
	return running
}

// serviceRate returns the capacity that is available to a group: its share among the groups with
// waiting or running items, or, if no other group has waiting items, the capacity not used by
// other groups if that is more.
func (q *Queue) serviceRate(group *groupQueue, capacity int) float64 {
	shares, othersRunning, othersWaiting := group.share, 0, false
	for _, name := range q.names {
		other := q.groups[name]
		if other == group || len(other.items) == 0 && other.running == 0 {
			continue
		}
		shares += other.share
		othersRunning += other.running
		othersWaiting = othersWaiting || len(other.items) > 0
	}
	rate := float64(capacity) * group.share / shares
	if !othersWaiting {
		rate = max(rate, float64(capacity-othersRunning))
	}
	return rate
}

// Infeasible returns the IDs of the waiting items that can't be served by their deadlines.
// capacity is the number of concurrent runs of all groups. Infeasible items do not add to the
// estimated wait of the items behind them.
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
