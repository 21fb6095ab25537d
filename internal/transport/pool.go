package transport

import (
	"sync"

	"violetthread/internal/taskgroup"
)

// PeerPool keeps one Peer for each address, so that one connection carries all that goes
// there.
type PeerPool struct {
	group *taskgroup.Group
	mu    sync.Mutex
	peers map[string]*Peer
}

// NewPeerPool makes an empty pool.
func NewPeerPool(group *taskgroup.Group) *PeerPool {
	return &PeerPool{group: group, peers: map[string]*Peer{}}
}

// Get returns the peer at an IP:port.
func (pool *PeerPool) Get(addr string) *Peer {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	peer := pool.peers[addr]
	if peer == nil {
		peer = NewPeer(pool.group, addr)
		pool.peers[addr] = peer
	}
	return peer
}
