package control

import (
	"context"
	"net/netip"
	"slices"

	"github.com/samber/lo"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	joinRequestInterval = 50_000 // between a response and the next request to the same node
	joinRequestTimeout  = 500_000
)

const (
	maxKnownAddrs    = 32
	maxPeerResponses = 64 // responses queued for the loop of join
)

// isVoter reports whether this node's disk, in its current incarnation, is in a voter set.
func (n *Node) isVoter(set *fb.VoterSetT) bool {
	return containsDisk(set, n.settings.Name, n.Incarnation())
}

// containsDisk reports whether a disk with this incarnation is in a voter set.
func containsDisk(set *fb.VoterSetT, name string, incarnation uint64) bool {
	return lo.ContainsBy(set.Voters, func(voter *fb.VoterT) bool { return voter.Name == name && voter.Incarnation == incarnation })
}

func voterAddrs(set *fb.VoterSetT) []string {
	return lo.Map(set.Voters, func(voter *fb.VoterT, _ int) string { return voter.Addr })
}

// addKnownAddrs remembers addresses of control nodes, the most recent first.
func (n *Node) addKnownAddrs(addrs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := lo.Uniq(append(slices.Clone(addrs), n.knownAddrs...))
	n.knownAddrs = known[:min(len(known), maxKnownAddrs)]
}

// candidateAddrs lists the control nodes that this node may ask: those it has learned of and its
// seeds, without itself.
func (n *Node) candidateAddrs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lo.Without(lo.Uniq(append(slices.Clone(n.knownAddrs), n.settings.Seeds...)), n.settings.TransportAddr, "")
}

// peerResponse is a control node's response to requestJoin.
type peerResponse struct {
	addr     string
	sentAt   int64
	response *fb.JoinResponseT // nil: no usable response
}

// voterSet returns the voter set in a response, or nil.
func (r peerResponse) voterSet() *fb.VoterSetT {
	if r.response == nil || r.response.VoterSet == nil || r.response.VoterSet.Revision == 0 {
		return nil
	}
	return r.response.VoterSet
}

// join requests the voter set from all known control nodes until one includes this disk or this
// node has bootstrapped one with the seeds. Each node is asked in a loop of its own, so that one
// that is down does not delay the others. It returns false when the node stops.
func (n *Node) join(ctx context.Context) (*fb.VoterSetT, bool) {
	group := taskgroup.New(ctx, n.daemon.Log)
	defer group.Stop()
	responses := make(chan peerResponse, maxPeerResponses)
	requested, latest := map[string]bool{}, map[string]peerResponse{}
	for {
		n.startJoinRequests(group, requested, responses)
		if set, err := n.tryBootstrap(clock.Now(), latest); set != nil {
			return set, true
		} else if err != nil {
			n.daemon.SetReady(err.Error())
		}
		if len(requested) == 0 { // no address is known yet: wait for a request from another node
			if !taskgroup.Sleep(ctx, joinRequestInterval) {
				return nil, false
			}
			continue
		}
		peer, ok := taskgroup.Receive(ctx, responses)
		if !ok {
			return nil, false
		}
		latest[peer.addr] = peer
		if set := peer.voterSet(); set != nil {
			if n.isVoter(set) {
				return set, true
			}
			n.addKnownAddrs(voterAddrs(set))
		}
	}
}

// startJoinRequests starts a loop of join requests to each candidate address that has none yet.
func (n *Node) startJoinRequests(group *taskgroup.Group, requested map[string]bool, responses chan peerResponse) {
	for _, addr := range n.candidateAddrs() {
		if requested[addr] {
			continue
		}
		requested[addr] = true
		group.Go("ask", func(ctx context.Context) {
			for ctx.Err() == nil {
				sentAt := clock.Now()
				peer := peerResponse{addr, sentAt, n.requestJoin(ctx, addr, true)}
				if !taskgroup.Send(ctx, responses, peer) || !taskgroup.Sleep(ctx, joinRequestInterval) {
					return
				}
			}
		})
	}
}

// requestJoin asks one control node for its identity and its voter set. With blank, the request
// also asks for admission to the voter set. It returns nil without a usable response.
func (n *Node) requestJoin(ctx context.Context, addr string, blank bool) *fb.JoinResponseT {
	request := &fb.JoinRequestT{Name: n.settings.Name, Addr: n.settings.TransportAddr, Incarnation: n.Incarnation(), Blank: blank, InitialLaunch: n.mayBootstrap()}
	response, err := n.peers.Get(addr).Call(ctx, &fb.FrameT{JoinRequest: request}, joinRequestTimeout)
	if err != nil || response.JoinResponse == nil || response.JoinResponse.Incarnation == 0 {
		return nil // an incarnation of 0: that node has not read its disk yet
	}
	return response.JoinResponse
}

// joinResponse returns this node's identity and voter set. A blank requester is proposed for
// admission. If this node is in no voter set, it remembers the address of a requester that is
// not blank: that may be its only way to find the fleet.
func (n *Node) joinResponse(request *fb.JoinRequestT) *fb.JoinResponseT {
	set := n.voterSet.Load()
	_, err := netip.ParseAddrPort(request.Addr)
	switch {
	case err != nil || request.Name == "" || request.Incarnation == 0:
	case request.Blank && set != nil && n.voting.Load():
		n.admit(quorum.Voter{Name: request.Name, Addr: request.Addr, Incarnation: request.Incarnation}, request.InitialLaunch)
	case !request.Blank && set == nil:
		n.addKnownAddrs([]string{request.Addr})
	}
	return &fb.JoinResponseT{Name: n.settings.Name, Incarnation: n.Incarnation(), Blank: set == nil, VoterSet: set}
}

// admit passes a blank node's request for admission to the voter.
func (n *Node) admit(joining quorum.Voter, initial bool) {
	taskgroup.TrySend(n.commands, func(now int64) {
		if initial {
			n.processReady(n.voter.AdmitInitialVoter(now, joining))
			return
		}
		n.processReady(n.voter.AdmitVoter(now, joining))
	})
}
