package engine

import (
	"container/list"
	"context"

	"violetthread/internal/engineapi"
)

// storePutTimeoutUS bounds a request that puts an evicted block into the store.
const storePutTimeoutUS = 500_000

// cacheScope is the cache domain and the weights that a cached block was computed for; only
// requests with the same scope may reuse it.
type cacheScope struct{ domain, weights string }

type cachedBlock struct {
	name string
	cacheScope
	position *list.Element // in engine.lru
}

func (b *cachedBlock) transfer() blockTransfer { return blockTransfer{b.name, b.domain, b.weights} }

// cache stores a block, or marks it as recently used if it is cached already, and then evicts
// the least recently used blocks beyond Settings.MaxBlocks. The caller holds e.mu.
func (e *engine) cache(name, domain, weights string) {
	if block := e.blocks[name]; block != nil {
		e.lru.MoveToFront(block.position)
		return
	}
	block := &cachedBlock{name: name, cacheScope: cacheScope{domain, weights}}
	block.position = e.lru.PushFront(block)
	e.blocks[name] = block
	e.appendEvent(engineapi.Event{Op: opCached, Block: name})
	for len(e.blocks) > e.settings.MaxBlocks {
		e.evict()
	}
}

// evict removes the least recently used block, and puts it into the shared store in the
// background if one is configured. The caller holds e.mu.
func (e *engine) evict() {
	block := e.lru.Remove(e.lru.Back()).(*cachedBlock)
	delete(e.blocks, block.name)
	e.appendEvent(engineapi.Event{Op: opEvicted, Block: block.name})
	if e.settings.StoreAddr == "" || e.settings.Store {
		return
	}
	e.daemon.Group.Go("put", func(ctx context.Context) {
		_ = e.client.Post(ctx, e.settings.StoreAddr, "/v1/put", storePutTimeoutUS, block.transfer(), nil)
	})
}

// cachedPrefix returns how many leading blocks of a request are cached. A cached block implies
// that those before it are cached too, so the last cached block determines the length.
func (e *engine) cachedPrefix(run engineapi.RunRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(run.Blocks) - 1; i >= 0; i-- {
		block := e.blocks[run.Blocks[i]]
		if block == nil {
			continue
		}
		e.observeInvalidReuse(run.Attempt, "", block.cacheScope, cacheScope{run.Domain, run.Weights})
		e.lru.MoveToFront(block.position)
		return i + 1
	}
	return 0
}

// evictAll empties the cache without putting blocks into the store. The caller holds e.mu.
func (e *engine) evictAll() {
	for name := range e.blocks {
		e.appendEvent(engineapi.Event{Op: opEvicted, Block: name})
	}
	e.blocks, e.lru = map[string]*cachedBlock{}, list.New()
}
