package engine

import (
	"container/list"
	"context"

	"violetthread/internal/engineapi"
)

// putTimeoutUS bounds putting an evicted block into the store.
const putTimeoutUS = 500_000

// provenance is what a cached block was computed for; only requests of the same may reuse it.
type provenance struct{ domain, weights string }

type cachedBlock struct {
	name string
	provenance
	position *list.Element // in the list by recent use
}

func (b *cachedBlock) transfer() blockTransfer { return blockTransfer{b.name, b.domain, b.weights} }

// cache stores a block or marks it as recently used, and evicts the least recently used ones
// beyond the bound. The caller holds the lock.
func (e *engine) cache(name, domain, weights string) {
	if block := e.blocks[name]; block != nil {
		e.lru.MoveToFront(block.position)
		return
	}
	block := &cachedBlock{name: name, provenance: provenance{domain, weights}}
	block.position = e.lru.PushFront(block)
	e.blocks[name] = block
	e.appendEvent(engineapi.Event{Op: opKept, Block: name})
	for len(e.blocks) > e.settings.MaxBlocks {
		e.evict()
	}
}

// evict drops the least recently used block and puts it into the store, if there is one.
func (e *engine) evict() {
	block := e.lru.Remove(e.lru.Back()).(*cachedBlock)
	delete(e.blocks, block.name)
	e.appendEvent(engineapi.Event{Op: opDropped, Block: block.name})
	if e.settings.StoreAddr == "" || e.settings.Store {
		return
	}
	e.daemon.Group.Go("put", func(ctx context.Context) {
		_ = e.client.Post(ctx, e.settings.StoreAddr, "/v1/put", putTimeoutUS, block.transfer(), nil)
	})
}

// cachedPrefix counts how many leading blocks of a request are cached: the last cached one
// implies those before it.
func (e *engine) cachedPrefix(run engineapi.RunRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(run.Blocks) - 1; i >= 0; i-- {
		block := e.blocks[run.Blocks[i]]
		if block == nil {
			continue
		}
		e.observeMixed(run.Attempt, "", block.provenance, provenance{run.Domain, run.Weights})
		e.lru.MoveToFront(block.position)
		return i + 1
	}
	return 0
}

// dropAll empties the cache. The caller holds the lock.
func (e *engine) dropAll() {
	for name := range e.blocks {
		e.appendEvent(engineapi.Event{Op: opDropped, Block: name})
	}
	e.blocks, e.lru = map[string]*cachedBlock{}, list.New()
}
