package codec

import (
	"math"

	"violetthread/route"
	"violetthread/schema/fb"
)

// NeverRead is the age of what a directory node has not read yet, in microseconds. It is
// longer than any machine runs.
const AgeNeverRead = 1 << 50

// Namings reads the ages of weights that a directory node tells. It left that node no
// sooner than at, in the reader's time, so that no age is taken for less than it is.
func UnpackVersionAges(t *fb.MapResponseT, at int64) *route.Announcements {
	n := &route.Announcements{}
	n.StartTerm(t.AnnouncedTerm, math.MinInt64)
	for _, named := range t.Announced {
		n.Observe(named.Model, named.Version, at-named.Age)
	}
	return n
}

// Weights reads the version of each model that a map tells of an engine.
func UnpackWeights(told []*fb.ModelVersionT) map[string]uint64 {
	weights := map[string]uint64{}
	for _, m := range told {
		weights[m.Model] = m.Version
	}
	return weights
}
