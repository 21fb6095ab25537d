package membership

import (
	"slices"
	"sort"
	"sync"

	"violetthread/schema/fb"
)

// SessionTimeoutUS is how long a session lasts after its last heartbeat, in microseconds.
const SessionTimeoutUS = 2_000_000

// peerTimeout is the time without an announcement after which a control node counts as
// unreachable, in microseconds. It is well below SessionTimeoutUS, so that another control node
// relays its sessions before they end.
const peerTimeout = 700_000

// Sessions is one control node's table of sessions.
type Sessions struct {
	self string // name of the control node

	mu       sync.Mutex
	sessions map[string]*session // by the node's name
	peers    map[string]*peer    // by the control node's name
}

// peer is another control node, according to its last announcement.
type peer struct {
	heardAt   int64    // when its last announcement arrived
	reachable []string // the control nodes whose announcements it receives
}

// session is the session of one node.
type session struct {
	node    *fb.NodeT
	heardAt int64  // time of the last known heartbeat
	via     string // the control node that received it
}

// New makes an empty table for the control node named self.
func New(self string) *Sessions {
	return &Sessions{self: self, sessions: map[string]*session{}, peers: map[string]*peer{}}
}

// Heartbeat records a heartbeat that this control node received at the time now.
func (s *Sessions) Heartbeat(now int64, node *fb.NodeT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(node, now, s.self)
}

// record keeps the latest heartbeat of a node, whichever of its incarnations sent it.
func (s *Sessions) record(node *fb.NodeT, heardAt int64, via string) {
	if known := s.sessions[node.Name]; known != nil && known.heardAt >= heardAt {
		return
	}
	copied := *node
	copied.ControlNode = via
	s.sessions[node.Name] = &session{&copied, heardAt, via}
}

// Merge records another control node's announcement: its own sessions, and those of others
// that it relays. A relayed session counts only while the control node that keeps it is
// unreachable from here, and is not relayed further: since transit time is not added to an age,
// a session relayed in a circle would never end.
func (s *Sessions) Merge(now int64, announcement *fb.SessionUpdateT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sender := announcement.ControlNode
	s.peers[sender] = &peer{heardAt: now, reachable: announcement.Hears}
	direct := append(s.reachablePeers(now), s.self)
	for _, node := range announcement.Nodes {
		via := node.ControlNode
		if via == "" {
			via = sender
		}
		relayed := via != sender
		if node.Age < 0 || node.Age >= SessionTimeoutUS || relayed && slices.Contains(direct, via) {
			continue
		}
		s.record(node, now-node.Age, via)
	}
}

// reachablePeers lists the control nodes whose announcements arrive, sorted by name. It removes
// those whose last announcement is older than SessionTimeoutUS.
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

// relays reports whether this control node announces the sessions of another one in addition to
// its own: the other one is reachable from here, but not from some third control node.
func (s *Sessions) relays(via string, reachable []string) bool {
	return slices.Contains(reachable, via) && slices.ContainsFunc(reachable, func(name string) bool {
		return name != via && !slices.Contains(s.peers[name].reachable, via)
	})
}

// collect copies the sessions that have not ended, sorted by name, of the control nodes for which
// include returns true. It removes the sessions that have ended.
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

// Live lists the nodes whose sessions have not ended, sorted by name, with the age of their last
// heartbeat.
func (s *Sessions) Live(now int64) []*fb.NodeT {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.collect(now, func(string) bool { return true })
}

// Announcement returns this control node's announcement to the other control nodes.
func (s *Sessions) Announcement(now int64) *fb.SessionUpdateT {
	s.mu.Lock()
	defer s.mu.Unlock()
	reachable := s.reachablePeers(now)
	nodes := s.collect(now, func(via string) bool { return via == s.self || s.relays(via, reachable) })
	return &fb.SessionUpdateT{ControlNode: s.self, Nodes: nodes, Hears: reachable}
}
