package codec

import (
	"math"

	"violetthread/route"
	"violetthread/schema/fb"
)

// AgeNeverRead is the age of what a control node has not read yet, in microseconds. It is
// longer than any machine runs.
const AgeNeverRead = 1 << 50

// UnpackVersionAges reads when weights were announced. sentAt is a time of the reader,
// microseconds, that is no later than the answer's departure, so that no age is taken for
// less than it is.
func UnpackVersionAges(t *fb.MapResponseT, sentAt int64) *route.Announcements {
	announcements := &route.Announcements{}
	announcements.StartTerm(t.AnnouncedTerm, math.MinInt64)
	for _, v := range t.Announced {
		announcements.ObserveInTerm(v.Model, v.Version, sentAt-v.Age, sentAt-max(v.Age, v.TotalAge))
	}
	return announcements
}

// UnpackWeights reads the version of each model that an engine of the map runs.
func UnpackWeights(models []*fb.ModelVersionT) map[string]uint64 {
	weights := map[string]uint64{}
	for _, m := range models {
		weights[m.Model] = m.Version
	}
	return weights
}
