package control

// stallTicks is how many ticks of the voter one write and sync may take: two seconds, at a
// quarter of quorum's default heartbeat interval each (see startLoops).
const stallTicks = 80

// stallWatch counts ticks of the voter during one operation of the disk. It counts ticks
// and not time: a frozen process does not wait for its disk.
type stallWatch struct {
	operation int64
	ticks     int
}

// stalled tells whether the operation under way has taken too long.
func (s *stallWatch) stalled(operation int64) bool {
	if operation == 0 || operation != s.operation {
		s.operation, s.ticks = operation, 0
		return false
	}
	s.ticks++
	return s.ticks >= stallTicks
}
