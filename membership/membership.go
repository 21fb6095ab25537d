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
const Term = 2_000_000

// unheardAfter is how long a control node's list may stay out before it counts as not
// heard. Well below Term, so that another one passes its sessions on before they end.
const unheardAfter = 700_000

// Roll is one control node's list of members.
type Roll struct {
	me    string
	mu    sync.Mutex
	m     map[string]*seat
	peers map[string]*peer
}

// peer is another control node, as its newest list told of it.
type peer struct {
	at    int64
	hears []string // the control nodes that it hears itself
}

type seat struct {
	node *fb.NodeT
	at   int64  // last heard, as far as known here
	via  string // the control node that holds the session
}

// New makes an empty roll for the control node named me.
func New(me string) *Roll {
	return &Roll{me: me, m: map[string]*seat{}, peers: map[string]*peer{}}
}

// Beat takes in a node's own word.
func (r *Roll) Beat(now int64, n *fb.NodeT) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(n, now, r.me)
}

// put keeps the word heard last. A node's new life replaces the old one.
func (r *Roll) put(n *fb.NodeT, at int64, via string) {
	if s := r.m[n.Name]; s != nil && s.at >= at {
		return
	}
	c := *n
	c.Registrar = via
	r.m[n.Name] = &seat{&c, at, via}
}

// Hear takes in another control node's list: its own sessions, and those of others that
// it passes on. What is passed on counts only while its holder is not heard here, and
// goes no further: an age that went round would never grow old.
func (r *Roll) Hear(now int64, t *fb.RollTellT) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[t.Registrar] = &peer{at: now, hears: t.Hears}
	heard := append(r.hears(now), r.me)
	for _, n := range t.Nodes {
		via := n.Registrar
		if via == "" {
			via = t.Registrar
		}
		if n.Age < 0 || n.Age >= Term || via != t.Registrar && slices.Contains(heard, via) {
			continue
		}
		r.put(n, now-n.Age, via)
	}
}

// hears lists the control nodes whose lists come in.
func (r *Roll) hears(now int64) []string {
	var names []string
	for name, p := range r.peers {
		if now-p.at >= Term {
			delete(r.peers, name)
			continue
		}
		if now-p.at < unheardAfter {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// passesOn reports whether the sessions of another control node go out with this one's
// own: it is heard here, and not by some third one.
func (r *Roll) passesOn(via string, heard []string) bool {
	return slices.Contains(heard, via) && slices.ContainsFunc(heard, func(name string) bool {
		return name != via && !slices.Contains(r.peers[name].hears, via)
	})
}

// list copies the sessions that stand and that keep picks by the control node that
// holds them.
func (r *Roll) list(now int64, keep func(via string) bool) []*fb.NodeT {
	var out []*fb.NodeT
	for k, s := range r.m {
		if now-s.at >= Term {
			delete(r.m, k)
			continue
		}
		if !keep(s.via) {
			continue
		}
		c := *s.node
		c.Age = now - s.at
		out = append(out, &c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Live lists all members.
func (r *Roll) Live(now int64) []*fb.NodeT {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list(now, func(string) bool { return true })
}

// Tell is this control node's list for the others.
func (r *Roll) Tell(now int64) *fb.RollTellT {
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := r.hears(now)
	nodes := r.list(now, func(via string) bool { return via == r.me || r.passesOn(via, heard) })
	return &fb.RollTellT{Registrar: r.me, Nodes: nodes, Hears: heard}
}
