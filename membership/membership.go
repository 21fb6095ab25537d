// Package membership is who is a member: nodes whose session with a control node
// stands. Control nodes tell each other their sessions, and pass on those of control
// nodes that another one does not hear; nothing here decides anything that needs a
// majority (design §4.7). It is pure.
package membership

import (
	"slices"
	"sort"
	"sync"

	"violetthread/schema/fb"
)

// Term is how long a session stands after its last beat, in microseconds.
const SessionTimeout = 2_000_000

// unheardAfter is how long a control node's list may stay out before it counts as not
// heard. Well below Term, so that another one passes its sessions on before they end.
const peerTimeout = 700_000

// Roll is one control node's list of members.
type Sessions struct {
	self     string
	mu       sync.Mutex
	sessions map[string]*session
	peers    map[string]*peer
}

// peer is another control node, as its newest list told of it.
type peer struct {
	heardAt   int64
	reachable []string // the control nodes that it hears itself
}

type session struct {
	node    *fb.NodeT
	heardAt int64  // last heard, as far as known here
	via     string // the control node that holds the session
}

// New makes an empty roll for the control node named me.
func New(me string) *Sessions {
	return &Sessions{self: me, sessions: map[string]*session{}, peers: map[string]*peer{}}
}

// Beat takes in a node's own word.
func (s *Sessions) Heartbeat(now int64, n *fb.NodeT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(n, now, s.self)
}

// put keeps the word heard last. A node's new life replaces the old one.
func (s *Sessions) record(n *fb.NodeT, at int64, via string) {
	if known := s.sessions[n.Name]; known != nil && known.heardAt >= at {
		return
	}
	c := *n
	c.ControlNode = via
	s.sessions[n.Name] = &session{&c, at, via}
}

// Hear takes in another control node's list: its own sessions, and those of others that
// it passes on. What is passed on counts only while its holder is not heard here, and
// goes no further: an age that went round would never grow old.
func (s *Sessions) Merge(now int64, t *fb.SessionUpdateT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[t.ControlNode] = &peer{heardAt: now, reachable: t.Hears}
	heard := append(s.reachablePeers(now), s.self)
	for _, n := range t.Nodes {
		via := n.ControlNode
		if via == "" {
			via = t.ControlNode
		}
		if n.Age < 0 || n.Age >= SessionTimeout || via != t.ControlNode && slices.Contains(heard, via) {
			continue
		}
		s.record(n, now-n.Age, via)
	}
}

// hears lists the control nodes whose lists come in.
func (s *Sessions) reachablePeers(now int64) []string {
	var names []string
	for name, p := range s.peers {
		if now-p.heardAt >= SessionTimeout {
			delete(s.peers, name)
			continue
		}
		if now-p.heardAt < peerTimeout {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// passesOn reports whether the sessions of another control node go out with this one's
// own: it is heard here, and not by some third one.
func (s *Sessions) relays(via string, heard []string) bool {
	return slices.Contains(heard, via) && slices.ContainsFunc(heard, func(name string) bool {
		return name != via && !slices.Contains(s.peers[name].reachable, via)
	})
}

// list copies the sessions that stand and that keep picks by the control node that
// holds them.
func (s *Sessions) collect(now int64, keep func(via string) bool) []*fb.NodeT {
	var out []*fb.NodeT
	for k, known := range s.sessions {
		if now-known.heardAt >= SessionTimeout {
			delete(s.sessions, k)
			continue
		}
		if !keep(known.via) {
			continue
		}
		c := *known.node
		c.Age = now - known.heardAt
		out = append(out, &c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Live lists all members.
func (s *Sessions) Live(now int64) []*fb.NodeT {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.collect(now, func(string) bool { return true })
}

// Tell is this control node's list for the others.
func (s *Sessions) Announcement(now int64) *fb.SessionUpdateT {
	s.mu.Lock()
	defer s.mu.Unlock()
	heard := s.reachablePeers(now)
	nodes := s.collect(now, func(via string) bool { return via == s.self || s.relays(via, heard) })
	return &fb.SessionUpdateT{ControlNode: s.self, Nodes: nodes, Hears: heard}
}
