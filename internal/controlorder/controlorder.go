// Package controlorder decides in which order a follower of the fleet's state polls the control
// nodes (docs/design.md §12). The followers are proxies.
//
// The follower polls the first node in the order. Nodes that failed recently come last, and among
// them the one whose failure is the oldest comes first. Of the others, nodes with a fresh list of
// engines come before those with a stale list. Within these groups, nodes in the follower's own
// zone come before nodes of unknown zone, and those before nodes in other zones; the node that is
// polled at present ranks one of these levels higher. Ties are broken by rendezvous hashing, which
// spreads the followers over the nodes.
//
// The package has no side effects: times are monotonic microseconds given by the caller. A Node
// must be used only by one follower's goroutine.
package controlorder

import (
	"sort"

	"violetthread/internal/rendezvous"
)

const (
	// AvoidUS is how long a node is ranked after others once it has failed or lost contact with a
	// majority, in microseconds.
	AvoidUS = 1_500_000
	// AvoidStaleListUS is how long a node is ranked after others once its list of engines was
	// stale, in microseconds. It is long, since all lists become stale during an outage of the
	// platform.
	AvoidStaleListUS = 10_000_000
)

// Node is what one follower knows of a control node.
type Node struct {
	Zone        string // empty until the first response
	FailedAt    int64  // time of the last failure or lost contact; 0 after a good response
	StaleListAt int64  // when its list of engines was found to be stale; 0 for never
}

// FailedLately reports whether the node failed or was out of contact within AvoidUS.
func (n *Node) FailedLately(now int64) bool {
	return n.FailedAt > 0 && now-n.FailedAt < AvoidUS
}

// Preference is the follower's state that determines its order of nodes.
type Preference struct {
	Name    string // of the follower
	Zone    string // of the follower
	Current string // address of the node that it polls at present; empty for none
}

// Sort returns the addresses of the nodes in the order in which to poll them at the time now.
func (p Preference) Sort(now int64, nodes map[string]*Node) []string {
	var addrs []string
	for addr := range nodes {
		addrs = append(addrs, addr)
	}
	sort.Slice(addrs, func(i, j int) bool { return p.before(now, nodes, addrs[i], addrs[j]) })
	return addrs
}

// before reports whether node a ranks before node b. Among nodes that failed recently, the one
// with the oldest failure ranks first, so that a follower does not stay with a single one: a node
// that is cut off from the others responds immediately, while others may have recovered.
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

// rank returns the rank of a node, the lowest first. It decides between nodes that did not fail
// recently, or failed at the same time.
func (p Preference) rank(now int64, n *Node, addr string) (rank int) {
	if n.StaleListAt > 0 && now-n.StaleListAt < AvoidStaleListUS {
		rank += 4
	}
	switch n.Zone {
	case p.Zone:
	case "":
		rank++ // the zone is unknown: before other zones, so that it is found out
	default:
		rank += 2
	}
	if addr == p.Current {
		rank--
	}
	return rank
}
