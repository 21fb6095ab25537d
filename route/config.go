package route

// Semantics is whether the requests of a route may be repeated.
type Semantics uint8

// The semantics of a route's requests.
const (
	AtMostOnce  Semantics = iota + 1 // each attempt id of a caller runs at most once
	Idempotent                       // may run more than once
	EventStream                      // responds with a stream of events; AtMostOnce unless the route is Resumable
)

// Route is the routing rule for one host and path prefix.
type Route struct {
	Name, Host, Prefix string // Prefix begins and ends with a slash
	Semantics          Semantics
	TimeoutUS          int64          // microseconds for the whole request, above 0
	LatencyTargetUS    int64          // target latency of the response, or of its first event, in microseconds; 0 for none
	EventGapUS         int64          // target for the longest gap between events, in microseconds; 0 for none; parsed but not used
	Priority           int            // 0 is the highest
	Split              []WeightedPool // pools that its requests are sent to
	MaxEngines         int            // maximum number of engines that one request may be sent to
	Public             bool           // needs no API key
	Resumable          bool           // another engine can continue its streams after the last event
	DescribesPrompt    bool           // its requests name their model, tokens and prompt blocks; parsed but not used
}

// WeightedPool is a pool's share of a route's requests: Weight out of the sum of all weights.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Pool is a service: engines that process requests, or a store of cached prompt blocks.
type Pool struct {
	Name            string
	MaxConnections  int     // parsed but not enforced; 0 for no limit
	StoreAddr       string  // IP:port, if this is a store; empty for engines
	Zone            string  // of the store
	CacheTokens     int64   // cached tokens that fit into an engine's memory; 0 if unknown
	BytesPerToken   int64   // of cached prompt blocks; 0 if unknown
	LinkMbps        float64 // network bandwidth of the store, or of each engine, in Mbit/s; 0 if unknown
	Slots           int     // requests that an engine runs concurrently
	MaxEventReaders int     // concurrent readers of cache events that an engine serves; parsed but not used
	Models          []string
}

// Tenant is a customer, identified by API keys.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int  // 0 is the highest
	Isolated bool // shares no cached prompt blocks with others
}

// Limits limit what a caller may send; 0 means no limit, or the proxy's default.
type Limits struct {
	HeaderBytes, BodyBytes int64 // of one request
	HeaderUS               int64 // time-out for receiving a request head, in microseconds
	IdleUS                 int64 // time that a connection may be idle between requests, in microseconds
}

// Config is a whole configuration. Its Version is chosen by the operator and must increase with
// each change.
type Config struct {
	Version uint64
	Routes  []Route
	Pools   []Pool
	Tenants []Tenant
	// KeysRequired means that requests need an API key, unless their route is public, even if there
	// is no tenant. A list of tenants that has become empty admits nobody.
	KeysRequired bool
	Limits       Limits
}

// Finding is one problem found in a configuration.
type Finding struct {
	Path   string `json:"path"`   // of the field, as in routes[0].host
	Reason string `json:"reason"` // short code that programs may match
	Remedy string `json:"remedy"` // what the operator can do about it
}
