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

func (h *History) add(o observedOperation) {
	if v, ok := h.values[o.revision]; ok && v != o.value {
		h.world.Violation("two values", "%s revision %d was %q and %q", h.key, o.revision, v, o.value)
	}
	h.values[o.revision] = o.value
	for _, earlier := range h.operations {
		switch {
		case earlier.returned < o.invoked && (o.revision < earlier.revision || o.write && o.revision == earlier.revision):
			h.world.Violation("went back", "%s: revision %d at %d..%d after %d was seen at %d..%d", h.key, o.revision, o.invoked, o.returned, earlier.revision, earlier.invoked, earlier.returned)
		case o.returned < earlier.invoked && (earlier.revision < o.revision || earlier.write && o.revision == earlier.revision):
			h.world.Violation("went back", "%s: revision %d after %d", h.key, earlier.revision, o.revision)
		case o.write && earlier.write && o.revision == earlier.revision:
			h.world.Violation("two changes", "%s: revision %d was given twice", h.key, o.revision)
		}
	}
	h.operations = append(h.operations, o)
	if o.write {
		h.Acknowledged++
	}
}
