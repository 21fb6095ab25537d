package placement

import "violetthread/cacheindex"

// Block is a prefix block of a prompt, as its caller names it.
type Block struct {
	ID     string
	Tokens int
}

// Request is what has to be placed.
type Request struct {
	Pool            string
	Model           string  // empty if the request names none
	Blocks          []Block // in the prompt's order; the last one is the request's own
	PromptTokens    int
	MaxOutputTokens int
	LatencyTargetUS int64           // microseconds within which the first event is in time, 0 for none
	CacheScope      string          // of the tenant, route.Table.CacheScope
	TriedEngines    map[string]bool // ids of engines that it went to before
	MinVersion      uint64          // of the model's weights, 0 for any
	// Misdirected says that an address turned out to be another engine's. Many may have gone
	// at once, so the next attempt goes to an engine that answered lately, if any.
	Misdirected bool
}

// sharedBlocks is how many leading blocks other requests may use as well.
func (r *Request) sharedBlocks() int { return max(0, len(r.Blocks)-1) }

// homeBlock is what a request's affinity goes by: its last shared block or else its own, in
// its cache scope; empty if it names no blocks.
func (r *Request) homeBlock() string {
	if n := r.sharedBlocks(); n > 0 {
		return r.CacheScope + r.Blocks[n-1].ID
	}
	if len(r.Blocks) > 0 {
		return r.CacheScope + r.Blocks[0].ID
	}
	return ""
}

// Choice is where a request goes, and what its engine is told.
type Choice struct {
	Engine         *Engine
	Version        uint64           // of the model's weights that the engine runs
	Salt           string           // of the keys of its blocks, CacheSalt
	Source         string           // address to fetch cached blocks from; empty for none
	Destination    string           // address of the store to send computed blocks to; empty for none
	PrefillTokens  int              // that the engine has to read
	PrefillWork    int              // the same, those of a long prompt counted for more
	PredictedUS    int64            // until the first event, microseconds
	TransferTokens int              // that it is told to take from Source
	CachedTokens   int              // hinted to be there already
	MemoryTokens   int              // that its memory holds for the request
	BlockKeys      []cacheindex.Key // of the request's blocks under Salt
	NewBlocks      []cacheindex.Key // shared blocks that nobody else is known to have or to compute

	sentAt       int64   // monotonic microseconds
	transferUS   int64   // estimated
	queuedTokens float64 // that the engine has to read first
}
