// Package route is the configuration of a fleet that passes callers' requests
// through unopened: which pool a request's host and path lead to and on what
// terms, whose key it carries, and within which wall its prompt may be kept. It
// is pure, and knows no platform's words: an adapter translates an operator's
// text into a Config (design §12).
package route

// Kind tells what may be done again with the requests of a route.
type Semantics uint8

// Once requests run once at most for each try of a caller. Repeatable ones may
// run again. A Stream is a series of events, to be treated as Once unless its
// route is Resumable.
const (
	AtMostOnce Semantics = iota + 1
	Idempotent
	EventStream
)

// Route is what one host and path prefix lead to. Times are microseconds.
type Route struct {
	Name, Host, Prefix string
	Semantics          Semantics
	TimeoutUS          int64
	LatencyTargetUS    int64 // within which an answer, or its first event, is in time
	EventGapUS         int64 // longest pause between events that is in time
	Priority           int   // 0 is the highest
	Split              []WeightedPool
	MaxEngines         int  // engines that one try may be sent to, at the most
	Public             bool // needs no key
	Resumable          bool
	DescribesPrompt    bool // names its model, tokens and prompt parts
}

// Share is a pool's part of a route's requests.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Pool is a service: engines that take requests, or a store of kept parts.
type Pool struct {
	Name            string
	MaxConnections  int    // of all callers together, at each engine
	StoreAddr       string // address, if this is a store
	Zone            string // of the store
	CacheTokens     int64  // room for kept parts
	BytesPerToken   int64
	LinkMbps        float64
	Slots           int
	MaxEventReaders int // calls for cache news that an engine holds at one time
	Models          []string
}

// Tenant holds keys.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int
	Isolated bool
}

// Limits bound what a caller may send. Times are microseconds; 0 sets no bound.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderUS, IdleUS       int64
}

// Config is a whole configuration under the operator's own rising version.
type Config struct {
	Version uint64
	Routes  []Route
	Pools   []Pool
	Tenants []Tenant
	Limits  Limits
}

// Finding is something wrong with a configuration.
type Finding struct {
	Path   string `json:"path"`
	Reason string `json:"reason"`
	Remedy string `json:"remedy"`
}
