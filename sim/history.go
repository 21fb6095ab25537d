package sim

// observedOperation is one operation on a key as its client saw it, in true time.
type observedOperation struct {
	invoked, returned int64
	revision          uint64
	value             string
	write             bool
}

// History judges the operations on one key: with a revision on every answer,
// linearizable means that revisions never go back in real time, that a change
// gets a revision above all that ended before it began, and that a revision has
// one value.
type History struct {
	world        *World
	key          string
	operations   []observedOperation
	values       map[uint64]string
	Acknowledged int
}

// NewHistory starts a history of a key.
func NewHistory(world *World, key string) *History {
	return &History{world: world, key: key, values: map[uint64]string{}}
}

func (h *History) add(operation observedOperation) {
	if v, ok := h.values[operation.revision]; ok && v != operation.value {
		h.world.Violation("two values", "%s revision %d was %q and %q", h.key, operation.revision, v, operation.value)
	}
	h.values[operation.revision] = operation.value
	for _, earlier := range h.operations {
		switch {
		case earlier.returned < operation.invoked && (operation.revision < earlier.revision || operation.write && operation.revision == earlier.revision):
			h.world.Violation("went back", "%s: revision %d at %d..%d after %d was seen at %d..%d", h.key, operation.revision, operation.invoked, operation.returned, earlier.revision, earlier.invoked, earlier.returned)
		case operation.returned < earlier.invoked && (earlier.revision < operation.revision || earlier.write && operation.revision == earlier.revision):
			h.world.Violation("went back", "%s: revision %d after %d", h.key, earlier.revision, operation.revision)
		case operation.write && earlier.write && operation.revision == earlier.revision:
			h.world.Violation("two changes", "%s: revision %d was given twice", h.key, operation.revision)
		}
	}
	h.operations = append(h.operations, operation)
	if operation.write {
		h.Acknowledged++
	}
}
