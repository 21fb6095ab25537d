package control

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"violetthread/internal/codec"
	"violetthread/internal/daemon"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// joiningTimeout is how long a joining control node may take to identify itself, in
// microseconds.
const joiningTimeout = 1_000_000

// VoterSetChange is the body of an operator's change of the voter set: the voter named
// Leaving is removed, the empty control node that listens at JoiningAddr is added; either may
// be omitted. Step must equal the current step of the voter set.
type VoterSetChange struct {
	Leaving     string `json:"old,omitempty"`
	JoiningAddr string `json:"addr,omitempty"`
	Step        uint64 `json:"step"`
}

// VoterSetAccepted is the response to a voter set change that was committed.
type VoterSetAccepted struct {
	Step   uint64         `json:"step"`
	Voters []quorum.Voter `json:"voters"`
}

// serveVoterSetChange serves POST /v1/roster.
func (n *Node) serveVoterSetChange(w http.ResponseWriter, r *http.Request) {
	var change VoterSetChange
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	if r.Method != http.MethodPost || decoder.Decode(&change) != nil || change.Leaving == "" && change.JoiningAddr == "" {
		writeError(w, http.StatusBadRequest, "malformed", "send a POST with old, addr or both, and the step that GET /v1/fleet shows")
		return
	}
	set := n.voterSet.Load()
	if set == nil {
		writeUnchanged(w, http.StatusServiceUnavailable, "not-in-fleet", "ask a control node that is in the voter set")
		return
	}
	current := codec.UnpackVoterSet(set)
	if change.Step != current.Step() {
		writeUnchanged(w, http.StatusPreconditionFailed, "other-step", fmt.Sprintf("the voter set is at step %d; read GET /v1/fleet again", current.Step()))
		return
	}
	var joining *quorum.Voter
	if change.JoiningAddr != "" {
		if joining = n.identifyJoining(r.Context(), w, change.JoiningAddr); joining == nil {
			return
		}
	}
	next, err := current.Next(change.Leaving, joining)
	if err != nil {
		writeUnchanged(w, http.StatusBadRequest, "no-such-step", err.Error())
		return
	}
	n.commitVoterSet(r.Context(), w, change, next)
}

// identifyJoining asks a joining control node for its identity and checks that its disk is in
// no voter set yet. If it returns nil, an error response was written.
func (n *Node) identifyJoining(ctx context.Context, w http.ResponseWriter, addr string) *quorum.Voter {
	request := &fb.JoinRequestT{Name: n.settings.Name, Addr: n.settings.TransportAddr, Incarnation: n.Incarnation()}
	response, err := n.peers.Get(addr).Call(ctx, &fb.FrameT{JoinRequest: request}, joiningTimeout)
	if err != nil || response.JoinResponse == nil || response.JoinResponse.Incarnation == 0 {
		writeUnchanged(w, http.StatusBadGateway, "newcomer-unreachable", "start the new control node first, and give its wire address as IP:port")
		return nil
	}
	identity := response.JoinResponse
	if identity.VoterSet != nil && len(identity.VoterSet.Voters) > 0 {
		writeUnchanged(w, http.StatusConflict, "newcomer-not-empty", "its disk already belongs to a voter set; give it an empty data folder")
		return nil
	}
	return &quorum.Voter{Name: identity.Name, Addr: addr, Incarnation: identity.Incarnation}
}

// commitVoterSet commits a changed voter set and responds to the operator.
func (n *Node) commitVoterSet(ctx context.Context, w http.ResponseWriter, change VoterSetChange, next quorum.VoterSet) {
	current := n.Execute(ctx, &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: quorum.VoterSetKey})
	if quorum.Status(current.Status) != quorum.StatusDone {
		writeNotCommitted(w, current)
		return
	}
	response := n.Execute(ctx, &fb.OperationRequestT{Type: byte(quorum.OpPut), Key: quorum.VoterSetKey, Value: next.Bytes(), ExpectedRevision: current.Revision})
	switch quorum.Status(response.Status) {
	case quorum.StatusDone:
		n.logVoterSetChanged(next.Step(), change.Leaving, change.JoiningAddr)
		daemon.WriteJSON(w, http.StatusOK, VoterSetAccepted{next.Step(), next.Voters})
	case quorum.StatusConflict:
		writeUnchanged(w, http.StatusConflict, "not-now", string(response.Value))
	default:
		writeNotCommitted(w, response)
	}
}
