// Package membership is who is a member: nodes whose session with a control node
// stands. Control nodes tell each other their sessions; nothing here decides
// anything that needs a majority (design §4.7). It is pure.
package membership

import (
	"sort"
	"sync"

	"violetthread/schema/fb"
)

// Term is how long a session stands after its last beat.
const Term = 2_000_000

// Roll is one control node's list of members.
type Roll struct {
	me string
	mu sync.Mutex
	m  map[string]*seat
}

type seat struct {
	node *fb.NodeT
	at   int64  // last heard, as far as known here
	via  string // the control node that holds the session
}

// New makes an empty roll for the control node named me.
func New(me string) *Roll { return &Roll{me: me, m: map[string]*seat{}} }

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

// Hear takes in another control node's sessions.
func (r *Roll) Hear(now int64, t *fb.RollTellT) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range t.Nodes {
		if n.Age >= 0 && n.Age < Term {
			r.put(n, now-n.Age, t.Registrar)
		}
	}
}

func (r *Roll) list(now int64, own bool) []*fb.NodeT {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*fb.NodeT
	for k, s := range r.m {
		if now-s.at >= Term {
			delete(r.m, k)
			continue
		}
		if own && s.via != r.me {
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
func (r *Roll) Live(now int64) []*fb.NodeT { return r.list(now, false) }

// Tell lists the sessions held here, for the other control nodes.
func (r *Roll) Tell(now int64) *fb.RollTellT {
	return &fb.RollTellT{Registrar: r.me, Nodes: r.list(now, true)}
}
