package control

import (
	"net/http"

	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// ErrorResponse is the body of every response that reports an error.
type ErrorResponse struct {
	Reason   string         `json:"reason"` // fixed code, for programs
	Remedy   string         `json:"remedy"` // what to do about it, for people
	Findings []plan.Finding `json:"findings,omitempty"`
	Revision uint64         `json:"rev,omitempty"` // current revision, after a conflict
}

// maxChangeBytes limits the body of a request that changes the voter set.
const maxChangeBytes = 4096

// registerRoutes registers HTTP paths and metrics. /v1/plan, plan_* and era belong to the
// product's own interface; nothing uses them in a deployment from a deploy file, where
// refreshPlan reads a key that was never written.
func (n *Node) registerRoutes() {
	n.daemon.Handle("/v1/plan", n.servePlan)
	n.daemon.Handle("/v1/fleet", n.serveFleet)
	n.daemon.Handle("/v1/roster", n.serveVoterSetChange)
	n.daemon.Gauge("slots_owned", "slots that this node leads under a live lease", n.countLedSlots)
	n.daemon.Gauge("state_bytes", "bytes of live control state", func() float64 { return float64(n.status.Load().stateBytes) })
	n.daemon.Gauge("ring_used_permille", "thousandths of the write-ahead log in use", func() float64 { return float64(n.storage.usedPermille.Load()) })
	n.daemon.Gauge("era", "newest generation of claims known to be open", func() float64 { return float64(n.generation.Load()) })
	n.daemon.Gauge("plan_rev", "revision of the plan as its leader last confirmed it", func() float64 { return float64(n.plan.Load().Revision) })
	n.daemon.Gauge("plan_age_us", "microseconds since the plan was confirmed", func() float64 { return float64(n.plan.Load().Age(clock.Now())) })
}

// countLedSlots returns the number of slots that this node leads.
func (n *Node) countLedSlots() float64 {
	count := 0
	for _, slot := range n.status.Load().slots {
		if slot.IsLeader {
			count++
		}
	}
	return float64(count)
}

func writeError(w http.ResponseWriter, status int, reason, remedy string) {
	daemon.WriteJSON(w, status, ErrorResponse{Reason: reason, Remedy: remedy})
}

// writeUnchanged is writeError for a change that certainly had no effect.
func writeUnchanged(w http.ResponseWriter, status int, reason, remedy string) {
	writeError(w, status, reason, remedy+"; nothing was changed")
}

// writeNotCommitted reports that an operation was not confirmed as committed, and whether it
// may still take effect.
func writeNotCommitted(w http.ResponseWriter, response *fb.OperationResponseT) {
	w.Header().Set("Retry-After", "1")
	switch quorum.Status(response.Status) {
	case quorum.StatusNotLeader:
		writeError(w, http.StatusServiceUnavailable, "no-owner", "nothing was changed; a majority of control nodes must be up, then send again")
	case quorum.StatusFull:
		writeError(w, http.StatusInsufficientStorage, "state-full", "nothing was changed; raise ring_files on every control node")
	default:
		writeError(w, http.StatusGatewayTimeout, "unknown", "the change may or may not be in force; read the plan before sending again")
	}
}
