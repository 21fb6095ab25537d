package engineapi

// RunRequest is the body of POST /v1/run. The response is a stream of RunFrame, one JSON
// object a line. A response with a status other than 200 and a Rejection as its body proves
// that the run has not started and will not start.
type RunRequest struct {
	Attempt      string    `json:"attempt"`
	RequestID    string    `json:"ticket"`
	Group        string    `json:"group"`
	Kind         string    `json:"kind"`
	Domain       string    `json:"domain"` // cache domain
	Weights      string    `json:"weights"`
	FencingToken uint64    `json:"epoch"`     // of the engine's owner
	NodeID       uint64    `json:"id,string"` // of the engine's incarnation
	Prompt       string    `json:"prompt"`
	Blocks       []string  `json:"parts"` // keys of the prompt's blocks
	Transfer     *Transfer `json:"take,omitempty"`
	DueUS        int64     `json:"due_us"` // time left until the deadline, in microseconds
}

// Transfer tells the engine to fetch blocks from another engine or the store. Blocks that do not
// arrive within WaitUS are recomputed; the response does not tell which happened.
type Transfer struct {
	Block  int    `json:"part"` // index of the last block to fetch
	From   string `json:"from"` // IP:port
	WaitUS int64  `json:"wait_us"`
}

// Rejection is the reason why a run will not start.
type Rejection struct {
	Reason string `json:"refused"`
}

// RunFrame is one line of a run's response: began first, then pieces, then done.
type RunFrame struct {
	Began  bool    `json:"began,omitempty"`
	Piece  *string `json:"piece,omitempty"`
	Done   bool    `json:"done,omitempty"`
	Pieces int     `json:"n,omitempty"` // number of pieces, in the frame with done
}

// Values of Event.Op.
const (
	EventAdded    = "keep" // Block was added to the cache
	EventRemoved  = "drop" // Block was removed from the cache
	EventFinished = "ran"  // Attempt ended; RecomputedBlocks is how many blocks were recomputed for it
)

// Event is one event that an engine or the store reports.
type Event struct {
	Seq              uint64 `json:"seq"`
	Op               string `json:"op"`
	Block            string `json:"part,omitempty"`
	Attempt          string `json:"attempt,omitempty"`
	RecomputedBlocks uint64 `json:"filled,omitempty"`
}

// Report is the response to GET /v1/report?inc=I&after=N: the events after N that are still
// retained. If the first one has a number above N+1, those in between are missing.
type Report struct {
	Name        string  `json:"name"`
	Incarnation uint64  `json:"inc,string"`
	Weights     string  `json:"weights"`
	Running     int     `json:"running"`
	QueueLength int     `json:"queue"`
	Capacity    int     `json:"room"`
	SlowUS      int64   `json:"slow_us"`
	LastSeq     uint64  `json:"last"` // of the newest event
	Events      []Event `json:"events"`
}

// Holdings is the response to GET /v1/keeps: all blocks cached as of event Seq.
type Holdings struct {
	Incarnation uint64   `json:"inc,string"`
	Seq         uint64   `json:"seq"`
	Blocks      []string `json:"parts"`
}

// WeightsRequest is the body of POST /v1/weights, which tells an engine to load other weights.
type WeightsRequest struct {
	Weights      string `json:"weights"`
	FencingToken uint64 `json:"epoch"` // of the engine's owner
	Owner        string `json:"owner"` // name of the owner
}

// ImportRequest is the body of POST /v1/import, which tells an engine to prefetch a block.
type ImportRequest struct {
	Block        string `json:"part"`
	From         string `json:"from"`  // IP:port
	FencingToken uint64 `json:"epoch"` // of the engine's owner
	WaitUS       int64  `json:"wait_us"`
	Weights      string `json:"weights"`
}

// KindStore is the ListedEngine.Kind of the store.
const KindStore = "store"

// ListedEngine is one entry of the platform's list of engines.
type ListedEngine struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Zone    string `json:"site"`
	Kind    string `json:"kind"` // engine or store
	Leaving bool   `json:"leaving"`
}

// EngineList is the response to the platform's GET /v1/engines.
type EngineList struct {
	Engines []ListedEngine `json:"engines"`
}
