package sim

// observedOperation is one operation on a key as its client saw it, in true time.
type observedOperation struct {
	invoked, returned int64
	revision          uint64
	value             string
	write             bool
}

// History checks the operations on one key as they return. Since every answer carries a
// revision, they are linearizable if revisions never go back in real time, a write gets a
// revision above all those that returned before it was invoked, and a revision has only one
// value. Package lincheck checks linearizability afterwards without relying on revisions.
type History struct {
	Acknowledged int // number of acknowledged writes

	world      *World
	key        string
	operations []observedOperation
	values     map[uint64]string // by revision
}

// NewHistory creates the history of a key.
func NewHistory(world *World, key string) *History {
	return &History{world: world, key: key, values: map[uint64]string{}}
}

func (h *History) add(operation observedOperation) {
	if value, ok := h.values[operation.revision]; ok && value != operation.value {
		h.world.Violation("two values", "%s: revision %d was %q and %q", h.key, operation.revision, value, operation.value)
	}
	h.values[operation.revision] = operation.value
	for _, earlier := range h.operations {
		h.compare(earlier, operation)
	}
	h.operations = append(h.operations, operation)
	if operation.write {
		h.Acknowledged++
	}
}

// compare checks the order of two operations.
func (h *History) compare(earlier, operation observedOperation) {
	same := operation.revision == earlier.revision
	switch {
	case earlier.returned < operation.invoked && (operation.revision < earlier.revision || operation.write && same):
		h.world.Violation("went back", "%s: revision %d at %d..%d after %d at %d..%d",
			h.key, operation.revision, operation.invoked, operation.returned, earlier.revision, earlier.invoked, earlier.returned)
	case operation.returned < earlier.invoked && (earlier.revision < operation.revision || earlier.write && same):
		h.world.Violation("went back", "%s: revision %d after %d", h.key, earlier.revision, operation.revision)
	case operation.write && earlier.write && same:
		h.world.Violation("one revision for two writes", "%s: revision %d was assigned twice", h.key, operation.revision)
	}
}
