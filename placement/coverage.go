package placement

import "violetthread/cacheindex"

// blockLocations holds the hinted locations of a request's blocks under one version of its model.
type blockLocations struct {
	salt      string
	keys      []cacheindex.Key
	holders   []map[uint64]bool // by block: the holders hinted to have it cached, nil for none
	computing []uint64          // by block: the holder ID of the engine that is computing it, 0 for none
}

// BlockKeys returns the keys of a request's blocks in the hint table under a salt.
func BlockKeys(r *Request, salt string) []cacheindex.Key {
	keys := make([]cacheindex.Key, 0, len(r.Blocks))
	for _, block := range r.Blocks {
		keys = append(keys, cacheindex.BlockKey(salt, r.Model, block.ID))
	}
	return keys
}

// locateBlocks looks up a request's blocks in the hints and the pending prefills.
func (p *Picker) locateBlocks(now int64, r *Request, version uint64) *blockLocations {
	b := &blockLocations{salt: CacheSalt(r.CacheScope, version)}
	b.keys = BlockKeys(r, b.salt)
	b.holders = p.hintedHolders(b.keys)
	b.computing = p.computingEngines(now, b.keys)
	return b
}

// hintedHolders returns for each key the set of holders hinted to have its block.
func (p *Picker) hintedHolders(keys []cacheindex.Key) []map[uint64]bool {
	holders := make([]map[uint64]bool, len(keys))
	for i, key := range keys {
		p.holderBuf = p.hints.Get(key, p.holderBuf[:0])
		if len(p.holderBuf) > 0 {
			holders[i] = make(map[uint64]bool, len(p.holderBuf))
			for _, holder := range p.holderBuf {
				holders[i][holder] = true
			}
		}
	}
	return holders
}

// coverage walks a prompt from its start until the first block that neither own nor source has.
// It returns the number of tokens that own has cached or is computing, and so will have cached
// when it processes the request, and the number of tokens that only source has. A source of 0
// means none.
func (b *blockLocations) coverage(r *Request, own, source uint64) (cached, fetched int) {
	for i, block := range r.Blocks {
		switch {
		case b.holders[i][own] || b.computing[i] == own:
			cached += block.Tokens
		case source != 0 && b.holders[i][source]:
			fetched += block.Tokens
		default:
			return cached, fetched
		}
	}
	return cached, fetched
}

// transfer describes the blocks that an engine would fetch and their source.
type transfer struct {
	source string // address; empty for none
	tokens int
	us     int64 // estimated duration
	cached int   // tokens of the covered prefix that the engine has cached itself
}

// bestSource selects the engine or store from which an engine should fetch the blocks that it
// lacks. Blocks that the engine has cached after a missing one count as cached if the source has
// the missing one.
func (p *Picker) bestSource(r *Request, e *Engine, blocks *blockLocations, cached int) transfer {
	own, longest, best := EngineHolderID(e.ID), cached, transfer{cached: cached}
	consider := func(holder uint64, addr, zone string, tokensPerMS float64) {
		cached, fetched := blocks.coverage(r, own, holder)
		if fetched == 0 || cached+fetched < longest {
			return
		}
		us := p.Cost.transferUS(zone == e.Zone, fetched, tokensPerMS)
		// Prefer the longest covered prefix, then the shortest transfer.
		if cached+fetched > longest || us < best.us {
			longest, best = cached+fetched, transfer{addr, fetched, us, cached}
		}
	}
	if p.Policy.Uses(PeerTransfer) {
		p.eachPeer(blocks.holders, own, func(peer *Engine) { consider(EngineHolderID(peer.ID), peer.Addr, peer.Zone, e.LinkTokensPerMS) })
	}
	if p.Policy.Uses(StoreTransfer) {
		p.eachStore(func(s *Store) { consider(StoreHolderID(s.Addr), s.Addr, s.Zone, e.storeTokensPerMS(s)) })
	}
	return best
}

// storeTokensPerMS returns the transfer speed from a store to the engine in cached tokens per
// millisecond, which the slower of their links determines; 0 if it is not known.
func (e *Engine) storeTokensPerMS(s *Store) float64 {
	if e.LinkMbps <= 0 || s.LinkMbps <= 0 {
		return e.LinkTokensPerMS
	}
	return e.LinkTokensPerMS * min(1, s.LinkMbps/e.LinkMbps)
}

// eachPeer calls f once for each healthy engine other than own that is hinted to have any of the
// blocks.
func (p *Picker) eachPeer(holders []map[uint64]bool, own uint64, f func(*Engine)) {
	visited := map[uint64]bool{own: true}
	for _, blockHolders := range holders {
		for holder := range blockHolders {
			if other := p.byHolder[holder]; other != nil && !visited[holder] && !other.Unhealthy {
				visited[holder] = true
				f(other)
			}
		}
	}
}

// eachStore calls f for each healthy store. Unhealthy ones are left out because an engine would
// wait for a source that does not respond.
func (p *Picker) eachStore(f func(*Store)) {
	for i := range p.stores {
		if !p.stores[i].Unhealthy {
			f(&p.stores[i])
		}
	}
}

// destination returns the address of the store to which the engine should send the blocks that
// it computes, or "" if it computes no shared block that the store lacks. The engine sends the
// request's own block as well, which evicts other blocks from the store, so that the own block
// alone is no reason to name a store.
func (p *Picker) destination(r *Request, store *Store, c *Choice, holders []map[uint64]bool) string {
	if store == nil || !p.HintsComplete || !p.Policy.Uses(StoreFill) {
		return ""
	}
	sum, present := 0, c.CachedTokens+c.TransferTokens
	for i, block := range r.Blocks[:r.sharedBlocks()] {
		if sum += block.Tokens; sum > present && !holders[i][StoreHolderID(store.Addr)] {
			return store.Addr
		}
	}
	return ""
}
