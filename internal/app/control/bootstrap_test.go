package control

import (
	"errors"
	"strings"
	"testing"

	"violetthread/schema/fb"
)

// newSeedNode returns a node that was never in a voter set, configured with these seeds.
func newSeedNode(name string, bootstrap bool, addr string, seeds ...string) *Node {
	n := &Node{}
	n.settings.Name, n.settings.Bootstrap = name, bootstrap
	n.settings.TransportAddr, n.settings.Seeds = addr, seeds
	n.incarnation.Store(uint64(len(name)) + 1)
	return n
}

// TestBootstrapPreconditions: only seeds bootstrap a fleet, once all of them have responded
// recently and none knows a voter set. Anything less could create a second fleet.
func TestBootstrapPreconditions(t *testing.T) {
	const now = 10_000_000
	blank := func(name string) *fb.JoinResponseT { return &fb.JoinResponseT{Name: name, Incarnation: 9, Blank: true} }
	for _, c := range []struct {
		name      string
		node      *Node
		responses []peerResponse
		want      string // part of the reason
	}{
		{"bootstrap not enabled", newSeedNode("a", false, "a:1", "a:1", "b:1"), nil, "no bootstrapped fleet"},
		{"not a seed", newSeedNode("c", true, "c:1", "a:1", "b:1"), nil, "waiting for the seeds"},
		{"a seed was never asked", newSeedNode("a", true, "a:1", "a:1", "b:1"), nil, "every seed"},
		{"a seed did not respond", newSeedNode("a", true, "a:1", "a:1", "b:1"), []peerResponse{{"b:1", now, nil}}, "every seed"},
		{"an expired response", newSeedNode("a", true, "a:1", "a:1", "b:1"), []peerResponse{{"b:1", now - maxResponseAge - 1, blank("b")}}, "every seed"},
		{"a fleet exists", newSeedNode("a", true, "a:1", "a:1", "b:1"), []peerResponse{{"b:1", now, &fb.JoinResponseT{Name: "b", Incarnation: 9, VoterSet: &fb.VoterSetT{}}}}, "to be admitted to"},
		{"duplicate name", newSeedNode("a", true, "a:1", "a:1", "b:1"), []peerResponse{{"b:1", now, blank("a")}}, "two control nodes are named a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			responses := map[string]peerResponse{}
			for _, peer := range c.responses {
				responses[peer.addr] = peer
			}
			set, err := c.node.tryBootstrap(now, responses)
			var waiting *joinError
			if set != nil || !errors.As(err, &waiting) || !strings.Contains(waiting.Reason, c.want) || waiting.Remedy == "" {
				t.Errorf("%+v, %v", set, err)
			}
		})
	}
	removed := newSeedNode("a", true, "a:1", "a:1", "b:1")
	removed.removed.Store(true)
	if set, err := removed.tryBootstrap(now, map[string]peerResponse{"b:1": {"b:1", now, blank("b")}}); set != nil || err == nil {
		t.Errorf("a node that was removed from the voter set bootstraps: %+v", set)
	}
}

// TestSeedsDeriveSameVoterSet: each seed builds the first voter set by itself, so that all of
// them must derive the same one.
func TestSeedsDeriveSameVoterSet(t *testing.T) {
	const now = 10_000_000
	a, b := newSeedNode("a", true, "a:1", "a:1", "b:1"), newSeedNode("bb", true, "b:1", "b:1", "a:1")
	identity := func(n *Node) *fb.JoinResponseT {
		return &fb.JoinResponseT{Name: n.Name(), Incarnation: n.Incarnation()}
	}
	first, err := a.tryBootstrap(now, map[string]peerResponse{"b:1": {"b:1", now - maxResponseAge, identity(b)}})
	if err != nil {
		t.Fatal(err)
	}
	second, err := b.tryBootstrap(now, map[string]peerResponse{"a:1": {"a:1", now, identity(a)}})
	if err != nil {
		t.Fatal(err)
	}
	if first.Fleet != second.Fleet || first.Revision != second.Revision || len(first.Voters) != 2 || first.Seats != 2 {
		t.Fatalf("%+v, %+v", first, second)
	}
	for i := range first.Voters {
		if *first.Voters[i] != *second.Voters[i] || first.Voters[i].Number != uint16(i+1) {
			t.Errorf("voter %d: %+v, %+v", i, first.Voters[i], second.Voters[i])
		}
	}
	if !a.isVoter(first) || !b.isVoter(first) {
		t.Error("a seed is not a voter in the set that it derived")
	}
}
