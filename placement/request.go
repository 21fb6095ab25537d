package placement

import "violetthread/cacheindex"

// Block is a prefix block of a prompt, identified by the caller.
type Block struct {
	ID     string
	Tokens int
}

// Request is a request for which Pick selects an engine.
type Request struct {
	Pool            string
	Model           string  // empty if the request names none
	Blocks          []Block // in prompt order; the last one is not shared with other requests
	PromptTokens    int
	MaxOutputTokens int
	LatencyTargetUS int64           // target for the time to the first event in microseconds, 0 for none
	CacheScope      string          // of the tenant, from route.Table.CacheScope
	TriedEngines    map[string]bool // IDs of the engines of earlier attempts
	MinVersion      uint64          // lowest accepted version of the model's weights, 0 for any
	// Misdirected reports that the address of an earlier attempt turned out to belong to another
	// engine. Many engines may have disappeared at once, so the next attempt prefers engines that
	// reported their load recently.
	Misdirected bool
}

// sharedBlocks returns the number of leading blocks that other requests may share.
func (r *Request) sharedBlocks() int { return max(0, len(r.Blocks)-1) }

// homeBlock returns the block that determines a request's affinity, qualified by its cache scope:
// the last shared block, or the only block if none is shared; empty without blocks.
func (r *Request) homeBlock() string {
	if n := r.sharedBlocks(); n > 0 {
		return r.CacheScope + r.Blocks[n-1].ID
	}
	if len(r.Blocks) > 0 {
		return r.CacheScope + r.Blocks[0].ID
	}
	return ""
}

// Choice is the engine selected for a request, the instructions for it, and the estimates that
// led to the selection.
type Choice struct {
	Engine         *Engine
	Version        uint64           // version of the model's weights that the engine runs
	Salt           string           // CacheSalt of the block keys
	Source         string           // address from which to fetch cached blocks, empty for none
	Destination    string           // address of the store to which to send computed blocks, empty for none
	PrefillTokens  int              // prompt tokens that the engine has to compute
	PrefillWork    int              // PrefillTokens weighted by their context length (prefillWork)
	PredictedUS    int64            // predicted time to the first event in microseconds
	TransferTokens int              // tokens hinted to be available from Source
	CachedTokens   int              // tokens hinted to be cached at the engine
	MemoryTokens   int              // tokens of engine memory that the request needs
	BlockKeys      []cacheindex.Key // keys of the request's blocks under Salt
	NewBlocks      []cacheindex.Key // shared blocks to compute that no node is known to have cached or to be computing

	sentAt       int64   // monotonic microseconds
	transferUS   int64   // estimated duration of the transfer
	queuedTokens float64 // estimated prefill backlog of the engine
}
