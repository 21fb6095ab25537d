package membership

import (
	"slices"
	"sort"
	"sync"

	"violetthread/schema/fb"
)

// SessionTimeoutUS is how long a session lasts after its last heartbeat, in microseconds.
const SessionTimeoutUS = 2_000_000

// peerTimeout is how long a control node's announcement may stay out before it counts as
// unreachable, in microseconds. It is well below SessionTimeoutUS, so that another control
// node relays its sessions before they end.
const peerTimeout = 700_000

// Sessions is one control node's table of sessions.
type Sessions struct {
	self string // name of the control node

	mu       sync.Mutex
	sessions map[string]*session // by the node's name
	peers    map[string]*peer    // by the control node's name
}

// peer is another control node, by its newest announcement.
type peer struct {
	heardAt   int64
	reachable []string // the control nodes that it hears itself
}

// session is one node's.
type session struct {
	node    *fb.NodeT
	heardAt int64  // the last heartbeat, as far as known here
	via     string // the control node that it went to
}

// New makes an empty table for the control node of that name.
func New(self string) *Sessions {
	return &Sessions{self: self, sessions: map[string]*session{}, peers: map[string]*peer{}}
}

// Heartbeat takes in a heartbeat that came to this control node at a time.
func (s *Sessions) Heartbeat(now int64, node *fb.NodeT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(node, now, s.self)
}

// record keeps the latest heartbeat. A node's new incarnation replaces the old one.
func (s *Sessions) record(node *fb.NodeT, heardAt int64, via string) {
	if known := s.sessions[node.Name]; known != nil && known.heardAt >= heardAt {
		return
	}
	copied := *node
	copied.ControlNode = via
	s.sessions[node.Name] = &session{&copied, heardAt, via}
}

// Merge takes in another control node's announcement: its own sessions, and those of
// others that it relays. What is relayed counts only while the control node that keeps the
// session is unreachable from here, and is relayed no further: an age that went in a
// circle would never grow old.
func (s *Sessions) Merge(now int64, announcement *fb.SessionUpdateT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sender := announcement.ControlNode
	s.peers[sender] = &peer{heardAt: now, reachable: announcement.Hears}
	firsthand := append(s.reachablePeers(now), s.self)
	for _, node := range announcement.Nodes {
		via := node.ControlNode
		if via == "" {
			via = sender
		}
		relayed := via != sender
		if node.Age < 0 || node.Age >= SessionTimeoutUS || relayed && slices.Contains(firsthand, via) {
			continue
		}
		s.record(node, now-node.Age, via)
	}
}

// reachablePeers lists the control nodes whose announcements come in, by name, and forgets
// those that were not heard for as long as a session lasts.
func (s *Sessions) reachablePeers(now int64) []string {
	var names []string
	for name, peer := range s.peers {
		silence := now - peer.heardAt
		if silence >= SessionTimeoutUS {
			delete(s.peers, name)
			continue
		}
		if silence < peerTimeout {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// relays reports whether the sessions of another control node go out with this one's own:
// it is reachable from here, and not from some third one.
func (s *Sessions) relays(via string, reachable []string) bool {
	return slices.Contains(reachable, via) && slices.ContainsFunc(reachable, func(name string) bool {
		return name != via && !slices.Contains(s.peers[name].reachable, via)
	})
}

// collect copies the sessions that have not ended, by name, of the control nodes that
// include picks. It forgets those that have.
func (s *Sessions) collect(now int64, include func(via string) bool) []*fb.NodeT {
	var nodes []*fb.NodeT
	for name, session := range s.sessions {
		age := now - session.heardAt
		if age >= SessionTimeoutUS {
			delete(s.sessions, name)
			continue
		}
		if !include(session.via) {
			continue
		}
		node := *session.node
		node.Age = age
		nodes = append(nodes, &node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}

// Live lists the nodes whose sessions have not ended, by name, with the age of their last
// heartbeat.
func (s *Sessions) Live(now int64) []*fb.NodeT {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.collect(now, func(string) bool { return true })
}

// Announcement is what this control node tells the others.
func (s *Sessions) Announcement(now int64) *fb.SessionUpdateT {
	s.mu.Lock()
	defer s.mu.Unlock()
	reachable := s.reachablePeers(now)
	nodes := s.collect(now, func(via string) bool { return via == s.self || s.relays(via, reachable) })
	return &fb.SessionUpdateT{ControlNode: s.self, Nodes: nodes, Hears: reachable}
}
