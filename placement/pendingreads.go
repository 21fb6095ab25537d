package placement

import "violetthread/cacheindex"

// pendingPrefill records that an engine is computing a block for a request.
type pendingPrefill struct {
	holder uint64 // EngineHolderID
	until  int64  // expiry, in monotonic microseconds
}

const (
	// pendingPrefillTTLUS is how long a block counts as being computed: longer than the prefill
	// of almost any prompt, and short enough that the blocks of a failed request are soon
	// computed by another engine.
	pendingPrefillTTLUS = 2_000_000
	// maxPendingPrefills bounds the number of entries.
	maxPendingPrefills = 4096
)

// BlockPrefillStarted records that an engine, given by its EngineHolderID, has started to compute
// a block. Until the hint for the block arrives, sending other requests with the block to the
// same engine avoids computing it twice.
func (p *Picker) BlockPrefillStarted(now int64, key cacheindex.Key, holder uint64) {
	if !p.Policy.Uses(PendingReads) {
		return
	}
	if len(p.pendingPrefills) >= maxPendingPrefills {
		p.evictPendingPrefills(now)
	}
	p.pendingPrefills[key] = pendingPrefill{holder, now + pendingPrefillTTLUS}
}

// evictPendingPrefills removes expired entries, or all entries if none has expired.
func (p *Picker) evictPendingPrefills(now int64) {
	for key, pending := range p.pendingPrefills {
		if now >= pending.until {
			delete(p.pendingPrefills, key)
		}
	}
	if len(p.pendingPrefills) >= maxPendingPrefills {
		clear(p.pendingPrefills)
	}
}

// computingEngines returns for each key the EngineHolderID of the engine that is computing its
// block, 0 for none.
func (p *Picker) computingEngines(now int64, keys []cacheindex.Key) []uint64 {
	computing := make([]uint64, len(keys))
	for i, key := range keys {
		if pending, ok := p.pendingPrefills[key]; ok && now < pending.until {
			computing[i] = pending.holder
		}
	}
	return computing
}

// blocksToCompute returns the keys of the shared blocks that the chosen engine has to compute and
// that no node is known to have cached or to be computing.
func (b *blockLocations) blocksToCompute(r *Request, c *Choice) []cacheindex.Key {
	var keys []cacheindex.Key
	present, sum := c.CachedTokens+c.TransferTokens, 0
	for i, block := range r.Blocks[:r.sharedBlocks()] {
		if sum += block.Tokens; sum > present && len(b.holders[i]) == 0 && b.computing[i] == 0 {
			keys = append(keys, b.keys[i])
		}
	}
	return keys
}

// duplicatePrefillTokens returns the number of tokens in shared blocks that an engine would have
// to compute although another engine is already computing them.
func (b *blockLocations) duplicatePrefillTokens(r *Request, own uint64, present int) int {
	sum, duplicate := 0, 0
	for i, block := range r.Blocks[:r.sharedBlocks()] {
		if sum += block.Tokens; sum > present && b.computing[i] != 0 && b.computing[i] != own {
			duplicate += block.Tokens
		}
	}
	return duplicate
}
