package control

import (
	"net/http"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/daemon"
)

// FleetStatus is the response of GET /v1/fleet.
type FleetStatus struct {
	ControlNode string        `json:"registrar"` // the node that serves this response
	Plan        PlanStatus    `json:"plan"`
	Slots       []SlotStatus  `json:"slots"`
	Nodes       []NodeStatus  `json:"nodes"`
	Voters      []VoterStatus `json:"voters"`
	// VoterSetStep counts the changes of the voter set; ChangeAllowed is true if the next
	// change may be made now.
	VoterSetStep  uint64 `json:"roster_step"`
	ChangeAllowed bool   `json:"roster_firm"`
	// Disk is the disk of the node that serves this response.
	Disk DiskStatus `json:"disk"`
}

// PlanStatus is the plan as the leader of its key last confirmed it to this control node.
type PlanStatus struct {
	Revision uint64 `json:"rev"`
	AgeUS    int64  `json:"age_us"` // since just before the request that the leader answered
}

// SlotStatus is one slot (shard) of the control state.
type SlotStatus struct {
	Slot   int    `json:"slot"`
	Leader string `json:"owner"` // last known leader, which may be down; slots_owned counts live leases
	Term   uint64 `json:"epoch"`
	Keys   int    `json:"keys"`
}

// NodeStatus is a node whose session has not expired.
type NodeStatus struct {
	Name           string   `json:"name"`
	Role           string   `json:"role"`
	Zone           string   `json:"site"`
	HTTP           string   `json:"http"`
	Addr           string   `json:"wire"`
	Ready          bool     `json:"ready"`
	ControlNode    string   `json:"via"`    // the control node that keeps the session
	AgeUS          int64    `json:"age_us"` // age of the last heartbeat
	SingletonRoles []string `json:"duties,omitempty"`
}

// VoterStatus is a member of the voter set.
type VoterStatus struct {
	Name string `json:"name"`
	Addr string `json:"wire"`
}

// serveFleet serves GET /v1/fleet.
func (n *Node) serveFleet(w http.ResponseWriter, _ *http.Request) {
	now := clock.Now()
	cached := n.plan.Load()
	status := n.status.Load()
	fleet := FleetStatus{
		ControlNode:   n.settings.Name,
		Plan:          PlanStatus{Revision: cached.Revision, AgeUS: cached.Age(now)},
		Slots:         []SlotStatus{},
		Nodes:         []NodeStatus{},
		ChangeAllowed: status.changeAllowed,
		Disk:          n.DiskStatus(),
	}
	for i, slot := range status.slots {
		fleet.Slots = append(fleet.Slots, SlotStatus{Slot: i, Leader: slot.Leader, Term: slot.Term, Keys: slot.Keys})
	}
	for _, node := range n.sessions.Live(now) {
		fleet.Nodes = append(fleet.Nodes, NodeStatus{
			Name:           node.Name,
			Role:           node.Role,
			Zone:           node.Zone,
			HTTP:           node.Http,
			Addr:           node.Addr,
			Ready:          node.Ready,
			ControlNode:    node.ControlNode,
			AgeUS:          node.Age,
			SingletonRoles: node.LeasedRoles,
		})
	}
	if set := n.voterSet.Load(); set != nil {
		fleet.VoterSetStep = codec.UnpackVoterSet(set).Step()
		for _, voter := range set.Voters {
			fleet.Voters = append(fleet.Voters, VoterStatus{Name: voter.Name, Addr: voter.Addr})
		}
	}
	daemon.WriteJSON(w, http.StatusOK, fleet)
}
