package control

// stallTicks is how many ticks of the voter one write and sync may take. A tick is a quarter of
// quorum's default heartbeat interval (see startLoops), which makes this two seconds.
const stallTicks = 80

// stallWatch counts ticks of the voter during one disk operation. It counts ticks rather than
// time, so that the time during which the whole process is suspended does not count as a disk
// stall.
type stallWatch struct {
	operation int64
	ticks     int
}

// stalled is called on each tick and reports whether the current operation has taken too long.
func (s *stallWatch) stalled(operation int64) bool {
	if operation == 0 || operation != s.operation {
		s.operation, s.ticks = operation, 0
		return false
	}
	s.ticks++
	return s.ticks >= stallTicks
}
