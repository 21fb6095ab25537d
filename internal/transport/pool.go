package transport

import (
	"sync"

	"violetthread/internal/taskgroup"
)

// PeerPool keeps one Peer for each address, so that all messages to an address share one
// connection.
type PeerPool struct {
	group *taskgroup.Group
	mu    sync.Mutex
	peers map[string]*Peer
}

// NewPeerPool returns an empty pool.
func NewPeerPool(group *taskgroup.Group) *PeerPool {
	return &PeerPool{group: group, peers: map[string]*Peer{}}
}

// Get returns the peer at an IP:port, and adds it if it is new.
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
