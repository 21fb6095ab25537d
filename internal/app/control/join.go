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
	askInterval = 50_000  // between two questions to one control node
	askTimeout  = 500_000 // for its answer
)

const (
	maxKnownAddrs    = 32
	maxPeerResponses = 64 // replies that wait for the loop of join
)

// isVoter tells whether the very disk of this node votes in a voter set.
func (n *Node) isVoter(set *fb.VoterSetT) bool {
	return containsDisk(set, n.settings.Name, n.Incarnation())
}

// containsDisk tells whether a disk votes in a voter set.
func containsDisk(set *fb.VoterSetT, name string, incarnation uint64) bool {
	return lo.ContainsBy(set.Voters, func(voter *fb.VoterT) bool { return voter.Name == name && voter.Incarnation == incarnation })
}

func voterAddrs(set *fb.VoterSetT) []string {
	return lo.Map(set.Voters, func(voter *fb.VoterT, _ int) string { return voter.Addr })
}

// addKnownAddrs keeps addresses of control nodes, the latest first.
func (n *Node) addKnownAddrs(addrs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := lo.Uniq(append(slices.Clone(addrs), n.knownAddrs...))
	n.knownAddrs = known[:min(len(known), maxKnownAddrs)]
}

// candidateAddrs lists whom this node may ask: what it learned and its seeds, never itself.
func (n *Node) candidateAddrs() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lo.Without(lo.Uniq(append(slices.Clone(n.knownAddrs), n.settings.Seeds...)), n.settings.TransportAddr, "")
}

// peerResponse is what a control node answered to requestJoin.
type peerResponse struct {
	addr     string
	askedAt  int64
	response *fb.JoinResponseT // nil: no answer
}

// voterSet is the voter set that a response bears, or nil.
func (r peerResponse) voterSet() *fb.VoterSetT {
	if r.response == nil || r.response.VoterSet == nil || r.response.VoterSet.Revision == 0 {
		return nil
	}
	return r.response.VoterSet
}

// join asks whoever may know a voter set, each on its own so that a dead one holds nobody
// up, until one includes this disk or this node bootstrapped one with the seeds. False
// means that the node ends.
func (n *Node) join(ctx context.Context) (*fb.VoterSetT, bool) {
	group := taskgroup.New(ctx, n.daemon.Log)
	defer group.Stop()
	responses := make(chan peerResponse, maxPeerResponses)
	asked, latest := map[string]bool{}, map[string]peerResponse{}
	for {
		n.askCandidates(group, asked, responses)
		if set, err := n.tryBootstrap(clock.Now(), latest); set != nil {
			return set, true
		} else if err != nil {
			n.daemon.SetReady(err.Error())
		}
		if len(asked) == 0 { // nobody to ask but those who find this node
			if !taskgroup.Sleep(ctx, askInterval) {
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

// askCandidates starts a loop of questions to each address that has none yet.
func (n *Node) askCandidates(group *taskgroup.Group, asked map[string]bool, responses chan peerResponse) {
	for _, addr := range n.candidateAddrs() {
		if asked[addr] {
			continue
		}
		asked[addr] = true
		group.Go("ask", func(ctx context.Context) {
			for ctx.Err() == nil {
				askedAt := clock.Now()
				peer := peerResponse{addr, askedAt, n.requestJoin(ctx, addr, true)}
				if !taskgroup.Send(ctx, responses, peer) || !taskgroup.Sleep(ctx, askInterval) {
					return
				}
			}
		})
	}
}

// requestJoin asks one control node who it is and which voter set it follows. A blank one
// asks to be admitted by that. Nil means that there was no answer.
func (n *Node) requestJoin(ctx context.Context, addr string, blank bool) *fb.JoinResponseT {
	request := &fb.JoinRequestT{Name: n.settings.Name, Addr: n.settings.TransportAddr, Incarnation: n.Incarnation(), Blank: blank, InitialLaunch: n.mayBootstrap()}
	response, err := n.peers.Get(addr).Call(ctx, &fb.FrameT{JoinRequest: request}, askTimeout)
	if err != nil || response.JoinResponse == nil || response.JoinResponse.Incarnation == 0 {
		return nil // who that is lies on a disk that was not read yet
	}
	return response.JoinResponse
}

// joinResponse answers who this is. A blank asker wants to be admitted; one that votes
// may be the only way for a blank node here to find its fleet.
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

// admit hands a blank node that asks for a seat to the voter.
func (n *Node) admit(joining quorum.Voter, initial bool) {
	taskgroup.TrySend(n.commands, func(now int64) {
		if initial {
			n.processReady(n.voter.AdmitInitialVoter(now, joining))
			return
		}
		n.processReady(n.voter.AdmitVoter(now, joining))
	})
}
