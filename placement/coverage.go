package placement

import "violetthread/cacheindex"

// cachedBlocks is what the hints say of a request's blocks under one version of its model.
type cachedBlocks struct {
	salt    string
	keys    []cacheindex.Key
	holders []map[uint64]bool // by block; nil if nobody is known to have it
	readers []uint64          // by block: the engine that computes it now, 0 for none
}

// BlockKeys are the hint keys of a request's blocks under a salt.
func BlockKeys(r *Request, salt string) []cacheindex.Key {
	keys := make([]cacheindex.Key, 0, len(r.Blocks))
	for _, block := range r.Blocks {
		keys = append(keys, cacheindex.BlockKey(salt, r.Model, block.ID))
	}
	return keys
}

// cachedBlocksOf looks a request's blocks up in the hints.
func (p *Picker) cachedBlocksOf(now int64, r *Request, version uint64) *cachedBlocks {
	b := &cachedBlocks{salt: CacheSalt(r.CacheScope, version)}
	b.keys = BlockKeys(r, b.salt)
	b.holders = p.holdersOf(b.keys)
	b.readers = p.readersOf(now, b.keys)
	return b
}

// holdersOf tells for each key which holders are hinted to have its block.
func (p *Picker) holdersOf(keys []cacheindex.Key) []map[uint64]bool {
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

// coverage walks a prompt from its start for as long as one of two holders has each block:
// cached counts the tokens that own has, or will have read by the time that the request's turn
// comes, fetched those that only source has. A source of 0 is none.
func (b *cachedBlocks) coverage(r *Request, own, source uint64) (cached, fetched int) {
	for i, block := range r.Blocks {
		switch {
		case b.holders[i][own] || b.readers[i] == own:
			cached += block.Tokens
		case source != 0 && b.holders[i][source]:
			fetched += block.Tokens
		default:
			return cached, fetched
		}
	}
	return cached, fetched
}

// transfer is what an engine would fetch, and from where.
type transfer struct {
	source string // address; empty for none
	tokens int
	us     int64 // estimated duration
	cached int   // tokens that count as cached at the engine itself
}

// bestSource finds the best holder of what the engine lacks: an engine or a store. Blocks that
// the engine has behind a gap count as cached as soon as the source fills the gap.
func (p *Picker) bestSource(r *Request, e *Engine, blocks *cachedBlocks, cached int) transfer {
	own, longest, best := EngineHolderID(e.ID), cached, transfer{cached: cached}
	consider := func(holder uint64, addr, zone string, tokensPerMS float64) {
		cached, fetched := blocks.coverage(r, own, holder)
		if fetched == 0 || cached+fetched < longest {
			return
		}
		us := p.Cost.transferUS(zone == e.Zone, fetched, tokensPerMS)
		// The longest prefix wins; among equals the cheapest transfer.
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

// storeTokensPerMS is how many cached tokens an engine gets from a store in a millisecond: the
// slower link counts. 0 if not known.
func (e *Engine) storeTokensPerMS(s *Store) float64 {
	if e.LinkMbps <= 0 || s.LinkMbps <= 0 {
		return e.LinkTokensPerMS
	}
	return e.LinkTokensPerMS * min(1, s.LinkMbps/e.LinkMbps)
}

// eachPeer calls f for each healthy engine but own that has any of the blocks.
func (p *Picker) eachPeer(holders []map[uint64]bool, own uint64, f func(*Engine)) {
	considered := map[uint64]bool{own: true}
	for _, blockHolders := range holders {
		for holder := range blockHolders {
			if other := p.byHolder[holder]; other != nil && !considered[holder] && !other.Unhealthy {
				considered[holder] = true
				f(other)
			}
		}
	}
}

// eachStore calls f for each healthy store: engines wait for a dead source.
func (p *Picker) eachStore(f func(*Store)) {
	for i := range p.stores {
		if !p.stores[i].Unhealthy {
			f(&p.stores[i])
		}
	}
}

// destination is the address of the store that should get the shared blocks, if the engine
// has to read any that the store lacks. What is read of the request's own block goes there as
// well, which evicts others: so no store is named for that alone.
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
