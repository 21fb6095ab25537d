package callers

// group is a tenant's group of callers.
type group struct {
	name         string
	weight       int // share of the requests, relative to the other groups' weights
	sharedBlocks int // length of the prompt prefix that its callers share, in blocks
}

// kind is a kind of request.
type kind struct {
	name         string
	weight       int // share of the requests, relative to the other kinds' weights
	onceOnly     bool
	dueUS        int64
	ownBytes     int  // length of the part of the prompt that differs for each request
	sharesPrefix bool // the prompt begins with the group's shared prefix
}

// scenario describes the callers of one deployment. The largest group is first.
type scenario struct {
	groups []group
	kinds  []kind
}

// scenarios by name, as Settings.Scenario selects them.
var scenarios = map[string]scenario{
	"selat": {
		groups: []group{
			{"dealing-desk", 30, 12}, {"remisier-east", 20, 12}, {"remisier-west", 20, 12}, {"mandates", 10, 16},
			{"settlement", 8, 8}, {"research", 6, 8}, {"branch-north", 3, 6}, {"branch-south", 3, 6},
		},
		kinds: []kind{
			{"mandate-check", 3, false, 10_000_000, 1500, true},
			{"confirmation", 4, true, 8_000_000, 900, true},
			{"instruction-tag", 5, true, 5_000_000, 300, false},
		},
	},
	"subtitulos": {
		groups: []group{
			{"editors-es", 30, 24}, {"editors-pt", 20, 24}, {"editors-ca", 15, 24}, {"timing-team", 12, 16},
			{"glossary", 10, 4}, {"festival", 6, 16}, {"school", 4, 8}, {"archive", 3, 8},
		},
		kinds: []kind{
			{"segmentation", 3, true, 10_000_000, 3000, true},
			{"timing-review", 4, false, 8_000_000, 1200, true},
			{"glossary-lookup", 5, false, 5_000_000, 200, false},
		},
	},
}

// CallerKey returns the API key of a group's callers in the example plans.
func CallerKey(group string) string { return "key-of-" + group }
