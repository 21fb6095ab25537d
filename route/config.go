package route

// Semantics tells what may be done again with the requests of a route.
type Semantics uint8

// The semantics of a route's requests.
const (
	AtMostOnce  Semantics = iota + 1 // each attempt id of a caller runs once at most
	Idempotent                       // may run again
	EventStream                      // a series of events; AtMostOnce unless the route is Resumable
)

// Route is what one host and path prefix lead to.
type Route struct {
	Name, Host, Prefix string // Prefix begins and ends with a slash
	Semantics          Semantics
	TimeoutUS          int64          // microseconds for the whole request, above 0
	LatencyTargetUS    int64          // microseconds within which an answer, or its first event, is in time; 0 for none
	EventGapUS         int64          // longest pause between events that is in time, in microseconds; 0 for none; read, and not used
	Priority           int            // 0 is the highest
	Split              []WeightedPool // where its requests go
	MaxEngines         int            // engines that one request may be sent to, at the most
	Public             bool           // needs no key
	Resumable          bool           // its streams can go on at another engine after the last event
	DescribesPrompt    bool           // its requests name their model, tokens and prompt blocks; read, and not used
}

// WeightedPool is a pool's part of a route's requests: Weight of the sum of all weights.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Pool is a service: engines that take requests, or a store of cached prompt blocks.
type Pool struct {
	Name            string
	MaxConnections  int     // read, and not enforced; 0 sets no bound
	StoreAddr       string  // IP:port, if this is a store; empty for engines
	Zone            string  // of the store
	CacheTokens     int64   // tokens that an engine's memory holds; 0 if not known
	BytesPerToken   int64   // of cached prompt blocks; 0 if not known
	LinkMbps        float64 // megabits a second of the link of the store, or of each engine; 0 if not known
	Slots           int     // requests that an engine runs at one time
	MaxEventReaders int     // readers of cache events that an engine serves at one time; read, and not used
	Models          []string
}

// Tenant is a customer, known by keys.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int  // 0 is the highest
	Isolated bool // shares no cached prompt blocks with others
}

// Limits bound what a caller may send; 0 sets no bound, or leaves the proxy's default.
type Limits struct {
	HeaderBytes, BodyBytes int64 // of one request
	HeaderUS               int64 // microseconds for a request's head to arrive
	IdleUS                 int64 // microseconds that a connection may rest between requests
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
	Path   string `json:"path"`   // of the field, as in routes[0].host
	Reason string `json:"reason"` // a short name that programs may match
	Remedy string `json:"remedy"` // what the operator can do
}
