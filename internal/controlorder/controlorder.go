// Package controlorder decides in which order a follower of the fleet's state asks the control
// nodes (docs/design.md §12): proxies do so.
//
// The first of the order is asked. Nodes that failed lately come last, and among them the one
// that was tried longest ago comes first. Of the others those with a fresh list of engines go
// before those whose list is old, then those in the follower's own zone, then the one that was
// asked last; equals are ranked by rendezvous hashing, which spreads followers over nodes.
//
// The package is pure: times are monotonic microseconds given by the caller. A Node belongs to
// one follower's goroutine.
package controlorder

import (
	"sort"

	"violetthread/internal/rendezvous"
)

const (
	// AvoidUS is how long a node that failed or was out of touch is not asked before others,
	// in microseconds.
	AvoidUS = 1_500_000
	// AvoidStaleListUS is how long a node whose list of engines was old is not asked before
	// others, in microseconds. Without the platform all lists grow old, so that it is long.
	AvoidStaleListUS = 10_000_000
)

// Node is a control node as one follower knows it.
type Node struct {
	Zone        string // empty until it has answered
	FailedAt    int64  // when it failed last, or was out of touch; 0 if it answered well since
	StaleListAt int64  // when its list of engines was seen to be old; 0 for never
}

// FailedLately reports whether the node failed, or was out of touch, a short while ago.
func (n *Node) FailedLately(now int64) bool {
	return n.FailedAt > 0 && now-n.FailedAt < AvoidUS
}

// Preference is what a follower's order goes by.
type Preference struct {
	Name    string // of the follower
	Zone    string // of the follower
	Current string // address of the node that it follows; empty for none
}

// Sort lists the addresses of nodes, the one to ask first at the time now.
func (p Preference) Sort(now int64, nodes map[string]*Node) []string {
	var addrs []string
	for addr := range nodes {
		addrs = append(addrs, addr)
	}
	sort.Slice(addrs, func(i, j int) bool { return p.before(now, nodes, addrs[i], addrs[j]) })
	return addrs
}

// before reports whether node a is to be asked before node b. Among those that failed lately
// the one that was tried longest ago goes first, so that none is clung to: a node that is cut
// off answers at once, and others may have come back meanwhile.
func (p Preference) before(now int64, nodes map[string]*Node, a, b string) bool {
	aFailed, bFailed := nodes[a].FailedLately(now), nodes[b].FailedLately(now)
	if aFailed != bFailed {
		return bFailed
	}
	if aFailed && nodes[a].FailedAt != nodes[b].FailedAt {
		return nodes[a].FailedAt < nodes[b].FailedAt
	}
	if rankA, rankB := p.rank(now, nodes[a], a), p.rank(now, nodes[b], b); rankA != rankB {
		return rankA < rankB
	}
	return rendezvous.Score(p.Name, a) < rendezvous.Score(p.Name, b)
}

// rank orders nodes that answered last time, the lowest first.
func (p Preference) rank(now int64, n *Node, addr string) (rank int) {
	if n.StaleListAt > 0 && now-n.StaleListAt < AvoidStaleListUS {
		rank += 4
	}
	switch n.Zone {
	case p.Zone:
	case "":
		rank++ // worth finding out
	default:
		rank += 2
	}
	if addr == p.Current {
		rank--
	}
	return rank
}
