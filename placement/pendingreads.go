package placement

import "violetthread/cacheindex"

// pendingRead is a block that an engine computes now for some request.
type pendingRead struct {
	holder uint64 // EngineHolderID
	until  int64  // monotonic microseconds after which it is not believed any more
}

const (
	// pendingReadUS is for how long a block counts as being read: longer than almost any prompt
	// takes, and short enough that a failed request's blocks are soon read elsewhere.
	pendingReadUS = 2_000_000
	// maxPendingReads bounds the table; beyond it, what is over is dropped.
	maxPendingReads = 4096
)

// BlockPrefillStarted takes in that an engine, by EngineHolderID, computes a block from about now on.
// Until its hint comes, others that need the block are better off there than computing it too.
func (p *Picker) BlockPrefillStarted(now int64, key cacheindex.Key, holder uint64) {
	if !p.Policy.Uses(PendingReads) {
		return
	}
	if len(p.pendingReads) >= maxPendingReads {
		p.dropPendingReads(now)
	}
	p.pendingReads[key] = pendingRead{holder, now + pendingReadUS}
}

// dropPendingReads forgets those that are over, or all if none is.
func (p *Picker) dropPendingReads(now int64) {
	for key, pending := range p.pendingReads {
		if now >= pending.until {
			delete(p.pendingReads, key)
		}
	}
	if len(p.pendingReads) >= maxPendingReads {
		clear(p.pendingReads)
	}
}

// readersOf tells for each key which engine computes its block now, 0 for none.
func (p *Picker) readersOf(now int64, keys []cacheindex.Key) []uint64 {
	readers := make([]uint64, len(keys))
	for i, key := range keys {
		if pending, ok := p.pendingReads[key]; ok && now < pending.until {
			readers[i] = pending.holder
		}
	}
	return readers
}

// newReads lists the shared blocks that the engine chosen has to compute and that nobody else
// is known to have or to compute.
func (b *cachedBlocks) newReads(r *Request, c *Choice) []cacheindex.Key {
	var keys []cacheindex.Key
	present, sum := c.CachedTokens+c.TransferTokens, 0
	for i, block := range r.Blocks[:r.sharedBlocks()] {
		if sum += block.Tokens; sum > present && len(b.holders[i]) == 0 && b.readers[i] == 0 {
			keys = append(keys, b.keys[i])
		}
	}
	return keys
}

// readTwiceTokens counts the tokens of shared blocks that an engine would compute although
// another one computes them now.
func (b *cachedBlocks) readTwiceTokens(r *Request, own uint64, present int) int {
	sum, twice := 0, 0
	for i, block := range r.Blocks[:r.sharedBlocks()] {
		if sum += block.Tokens; sum > present && b.readers[i] != 0 && b.readers[i] != own {
			twice += block.Tokens
		}
	}
	return twice
}
