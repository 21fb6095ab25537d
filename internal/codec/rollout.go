package codec

import (
	"math"

	"violetthread/route"
	"violetthread/schema/fb"
)

// AgeNeverRead is the age, in microseconds, that stands for state that a control node has not
// read yet. It is longer than the uptime of any machine.
const AgeNeverRead = 1 << 50

// UnpackVersionAges converts the ages of announced versions in a response to times of the
// reader's clock. sentAt must be a time of that clock, in microseconds, no later than the
// sending of the response; the transit time can then only make a version appear older than it
// is, never newer.
func UnpackVersionAges(t *fb.MapResponseT, sentAt int64) *route.Announcements {
	announcements := &route.Announcements{}
	announcements.StartTerm(t.AnnouncedTerm, math.MinInt64)
	for _, v := range t.Announced {
		announcements.ObserveInTerm(v.Model, v.Version, sentAt-v.Age, sentAt-max(v.Age, v.TotalAge))
	}
	return announcements
}

// UnpackWeights returns the version of each model that an engine of the map runs.
func UnpackWeights(models []*fb.ModelVersionT) map[string]uint64 {
	weights := map[string]uint64{}
	for _, m := range models {
		weights[m.Model] = m.Version
	}
	return weights
}
