package sim

type event struct {
	time     int64
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].time < q[j].time || q[i].time == q[j].time && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event, for the heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event off, for the heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
