package engineapi

// RunRequest is the body of POST /v1/run. The answer is a stream of RunFrame, one JSON
// object a line. An answer other than 200 with a Rejection proves that the run did not and
// will not begin.
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
	DueUS        int64     `json:"due_us"` // microseconds from now to the deadline
}

// Transfer orders blocks to be fetched from another engine or the store. When they do not
// come within WaitUS the engine recomputes them; nothing in the answer tells which happened.
type Transfer struct {
	Block  int    `json:"part"` // index of the last block to fetch
	From   string `json:"from"` // IP:port
	WaitUS int64  `json:"wait_us"`
}

// Rejection is why a run will not begin.
type Rejection struct {
	Reason string `json:"refused"`
}

// RunFrame is one line of a run: began first, then pieces, then done.
type RunFrame struct {
	Began  bool    `json:"began,omitempty"`
	Piece  *string `json:"piece,omitempty"`
	Done   bool    `json:"done,omitempty"`
	Pieces int     `json:"n,omitempty"` // with done: how many there were
}

// Values of Event.Op.
const (
	EventAdded    = "keep" // Block is cached now
	EventRemoved  = "drop" // Block is cached no more
	EventFinished = "ran"  // Attempt ended, after RecomputedBytes were recomputed
)

// Event is one thing that an engine or the store tells.
type Event struct {
	Seq             uint64 `json:"seq"`
	Op              string `json:"op"`
	Block           string `json:"part,omitempty"`
	Attempt         string `json:"attempt,omitempty"`
	RecomputedBytes uint64 `json:"filled,omitempty"`
}

// Report is the answer to GET /v1/report?inc=I&after=N: the events after N, or what is left
// of them. A first event beyond N+1 shows a gap.
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

// Holdings is the answer to GET /v1/keeps: all blocks cached as of event Seq.
type Holdings struct {
	Incarnation uint64   `json:"inc,string"`
	Seq         uint64   `json:"seq"`
	Blocks      []string `json:"parts"`
}

// WeightsRequest is the body of POST /v1/weights: change to other weights.
type WeightsRequest struct {
	Weights      string `json:"weights"`
	FencingToken uint64 `json:"epoch"` // of the engine's owner
	Owner        string `json:"owner"` // its name
}

// ImportRequest is the body of POST /v1/import: fetch a block ahead of need.
type ImportRequest struct {
	Block        string `json:"part"`
	From         string `json:"from"`  // IP:port
	FencingToken uint64 `json:"epoch"` // of the engine's owner
	WaitUS       int64  `json:"wait_us"`
	Weights      string `json:"weights"`
}

// KindStore is ListedEngine.Kind of the store.
const KindStore = "store"

// ListedEngine is one entry of the platform's list.
type ListedEngine struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Zone    string `json:"site"`
	Kind    string `json:"kind"` // engine or store
	Leaving bool   `json:"leaving"`
}

// EngineList is the answer to the platform's GET /v1/engines.
type EngineList struct {
	Engines []ListedEngine `json:"engines"`
}
