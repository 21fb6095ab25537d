package control

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"violetthread/internal/daemon"
	"violetthread/internal/limits"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// maxPlanAttempts limits how often a change without a precondition is reapplied after a
// conflict with another operator's change.
const maxPlanAttempts = 50

// PlanAccepted is the response to a plan change that was committed.
type PlanAccepted struct {
	Revision uint64 `json:"rev"`
}

// servePlan serves /v1/plan.
func (n *Node) servePlan(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		n.readPlan(w, r)
	case http.MethodPut, http.MethodPatch:
		n.changePlan(w, r)
	default:
		writeError(w, http.StatusMethodNotAllowed, "no-such-method", "use GET, PUT or PATCH")
	}
}

func (n *Node) readPlan(w http.ResponseWriter, r *http.Request) {
	response := n.Execute(r.Context(), &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: planKey})
	switch {
	case quorum.Status(response.Status) != quorum.StatusDone:
		writeNotCommitted(w, response)
	case response.Revision == 0:
		writeError(w, http.StatusNotFound, "no-plan", "send a complete plan first, with violetthread-ctl plan put")
	default:
		w.Header().Set("ETag", etag(response.Revision))
		w.Header().Set("Content-Type", "application/json")
		_, raw, err := plan.Decode(response.Value)
		if err != nil {
			writeError(w, http.StatusInternalServerError, "unreadable", err.Error())
			return
		}
		_, _ = w.Write(raw) // byte for byte as the operator sent it
	}
}

func etag(revision uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(revision, 10)) }

// changePlan handles a PUT or PATCH of the plan.
func (n *Node) changePlan(w http.ResponseWriter, r *http.Request) {
	change, ok := readPlanChange(w, r)
	if !ok {
		return
	}
	for range maxPlanAttempts {
		// The current plan is always read first: the sealed form is derived from it.
		current := n.Execute(r.Context(), &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: planKey})
		if quorum.Status(current.Status) != quorum.StatusDone {
			writeNotCommitted(w, current)
			return
		}
		sealed, _, err := change.Apply(current.Revision, current.Value)
		if err != nil {
			writeChangeError(w, err)
			return
		}
		response := n.Execute(r.Context(), &fb.OperationRequestT{Type: byte(quorum.OpPut), Key: planKey, Value: sealed, ExpectedRevision: current.Revision})
		if quorum.Status(response.Status) == quorum.StatusConflict && !change.Conditional {
			continue // another operator's change was committed first; apply this one on top of it
		}
		n.writePlanResult(w, r, response)
		return
	}
	writeError(w, http.StatusConflict, "too-busy", "many operators are changing the plan at the same time; send the patch again")
}

// planCopies is how often a plan's text is held while it is parsed and committed.
const planCopies = 4

// readPlanChange reads an operator's request. If ok is false, an error response was written.
func readPlanChange(w http.ResponseWriter, r *http.Request) (change plan.Change, ok bool) {
	body, err := limits.ReadBody(w, r, plan.MaxBytes+1, planCopies)
	if errors.Is(err, limits.ErrOverloaded) {
		daemon.RejectOverloaded(w, r)
		return change, false
	}
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "too-large", fmt.Sprintf("keep the plan within %d bytes", plan.MaxBytes))
		return change, false
	}
	change = plan.Change{Body: body, Patch: r.Method == http.MethodPatch}
	if match := strings.Trim(r.Header.Get("If-Match"), `"`); match != "" && match != "*" {
		change.Conditional = true
		if change.ExpectedRevision, err = strconv.ParseUint(match, 10, 64); err != nil {
			writeError(w, http.StatusBadRequest, "bad-precondition", "set If-Match to the revision from the ETag of an earlier response")
			return change, false
		}
	}
	return change, true
}

func (n *Node) writePlanResult(w http.ResponseWriter, r *http.Request, response *fb.OperationResponseT) {
	switch quorum.Status(response.Status) {
	case quorum.StatusDone:
		n.logPlanChanged(response.Revision, r.Method, r.RemoteAddr)
		w.Header().Set("ETag", etag(response.Revision))
		daemon.WriteJSON(w, http.StatusOK, PlanAccepted{response.Revision})
	case quorum.StatusConflict:
		writeRevisionConflict(w, response.Revision)
	default:
		writeNotCommitted(w, response)
	}
}

// writeChangeError reports why a change can't be applied.
func writeChangeError(w http.ResponseWriter, err error) {
	var (
		otherRevision plan.RevisionConflictError
		noPlan        plan.NoPlanError
		badPatch      plan.PatchError
		badPlan       plan.InvalidPlanError
	)
	switch {
	case errors.As(err, &otherRevision):
		writeRevisionConflict(w, otherRevision.Revision)
	case errors.As(err, &noPlan):
		writeError(w, http.StatusNotFound, "no-plan", noPlan.Error())
	case errors.As(err, &badPatch):
		writeError(w, http.StatusBadRequest, "bad-patch", badPatch.Error())
	case errors.As(err, &badPlan):
		daemon.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Reason: "bad-plan", Remedy: badPlan.Error(), Findings: badPlan.Findings})
	default:
		writeError(w, http.StatusInternalServerError, "unreadable", err.Error())
	}
}

func writeRevisionConflict(w http.ResponseWriter, revision uint64) {
	daemon.WriteJSON(w, http.StatusPreconditionFailed, ErrorResponse{
		Reason:   "other-revision",
		Remedy:   "read the plan again and decide whether the change still applies; nothing was changed",
		Revision: revision,
	})
}
