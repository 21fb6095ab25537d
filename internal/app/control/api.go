package control

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/daemon"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Problems is what an operator gets for a plan that is not in order.
type ErrorResponse struct {
	Reason   string         `json:"reason"`
	Remedy   string         `json:"remedy"`
	Findings []plan.Finding `json:"findings,omitempty"`
	Revision uint64         `json:"rev,omitempty"`
}

// Accepted is what an operator gets for a plan in force.
type PlanAccepted struct {
	Revision uint64 `json:"rev"`
}

func (n *Node) registerRoutes() {
	n.daemon.Handle("/v1/plan", n.servePlan)
	n.daemon.Handle("/v1/fleet", n.serveFleet)
	n.daemon.Handle("/v1/roster", n.serveVoterSetChange)
	own := func() float64 {
		count := 0
		for _, s := range n.status.Load().slots {
			if s.IsLeader {
				count++
			}
		}
		return float64(count)
	}
	n.daemon.Gauge("slots_owned", "slots whose keys this node owns under a live lease", own)
	n.daemon.Gauge("state_bytes", "bytes of live control state", func() float64 { return float64(n.status.Load().stateBytes) })
	n.daemon.Gauge("ring_used_permille", "part of the disk ring in use", func() float64 { return float64(n.storage.usedPermille.Load()) })
	n.daemon.Gauge("era", "newest era of claims known to be open", func() float64 { return float64(n.generation.Load()) })
	n.daemon.Gauge("plan_rev", "revision of the plan last vouched for", func() float64 { return float64(n.plan.Load().Revision) })
	n.daemon.Gauge("plan_age_us", "time since the plan was vouched for", func() float64 { return float64(n.plan.Load().Age(clock.Now())) })
}

func (n *Node) servePlan(w http.ResponseWriter, q *http.Request) {
	switch q.Method {
	case http.MethodGet:
		a := n.Execute(q.Context(), &fb.OpAskT{Kind: byte(quorum.OpGet), Key: planKey})
		switch {
		case quorum.Status(a.Status) != quorum.StatusDone:
			writeNotCommitted(w, a)
		case a.Rev == 0:
			daemon.WriteJSON(w, http.StatusNotFound, ErrorResponse{Reason: "no-plan", Remedy: "send a whole plan first, with dealer plan put"})
		default:
			w.Header().Set("ETag", etag(a.Rev))
			w.Header().Set("Content-Type", "application/json")
			_, raw, err := plan.Decode(a.Val)
			if err != nil {
				daemon.WriteJSON(w, http.StatusInternalServerError, ErrorResponse{Reason: "unreadable", Remedy: err.Error()})
				return
			}
			_, _ = w.Write(raw) // to the byte what was sent
		}
	case http.MethodPut, http.MethodPatch:
		n.changePlan(w, q)
	default:
		daemon.WriteJSON(w, http.StatusMethodNotAllowed, ErrorResponse{Reason: "no-such-method", Remedy: "use GET, PUT or PATCH"})
	}
}

func etag(rev uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(rev, 10)) }

func (n *Node) changePlan(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, plan.MaxBytes+1))
	if err != nil {
		daemon.WriteJSON(w, http.StatusRequestEntityTooLarge, ErrorResponse{Reason: "too-large", Remedy: fmt.Sprintf("keep a plan within %d bytes", plan.MaxBytes)})
		return
	}
	c := plan.Change{Body: body, Patch: q.Method == http.MethodPatch}
	if m := strings.Trim(q.Header.Get("If-Match"), `"`); m != "" && m != "*" {
		c.Conditional = true
		if c.ExpectedRevision, err = strconv.ParseUint(m, 10, 64); err != nil {
			daemon.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Reason: "bad-precondition", Remedy: "give If-Match the revision that ETag showed"})
			return
		}
	}
	for try := 0; try < 50; try++ {
		// What is in force is read first in any case: the seal follows from it.
		at := n.Execute(q.Context(), &fb.OpAskT{Kind: byte(quorum.OpGet), Key: planKey})
		if quorum.Status(at.Status) != quorum.StatusDone {
			writeNotCommitted(w, at)
			return
		}
		sealed, _, err := c.Apply(at.Rev, at.Val)
		if err != nil {
			writeChangeError(w, err)
			return
		}
		a := n.Execute(q.Context(), &fb.OpAskT{Kind: byte(quorum.OpPut), Key: planKey, Val: sealed, Expect: at.Rev})
		switch quorum.Status(a.Status) {
		case quorum.StatusDone:
			n.daemon.Log.Info("plan_accepted", "rev", a.Rev, "method", q.Method, "from", q.RemoteAddr)
			w.Header().Set("ETag", etag(a.Rev))
			daemon.WriteJSON(w, http.StatusOK, PlanAccepted{a.Rev})
			return
		case quorum.StatusConflict:
			// Another operator's change came between reading and writing: without a
			// precondition this one goes on top of what is there now.
			if !c.Conditional {
				continue
			}
			writeRevisionConflict(w, a.Rev)
			return
		default:
			writeNotCommitted(w, a)
			return
		}
	}
	daemon.WriteJSON(w, http.StatusConflict, ErrorResponse{Reason: "too-busy", Remedy: "many operators change the plan at once; send the patch again"})
}

// declined tells an operator why a change does not apply.
func writeChangeError(w http.ResponseWriter, err error) {
	switch e := err.(type) {
	case plan.RevisionConflictError:
		writeRevisionConflict(w, e.Revision)
	case plan.NoPlanError:
		daemon.WriteJSON(w, http.StatusNotFound, ErrorResponse{Reason: "no-plan", Remedy: e.Error()})
	case plan.PatchError:
		daemon.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Reason: "bad-patch", Remedy: e.Error()})
	case plan.InvalidPlanError:
		daemon.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Reason: "bad-plan", Remedy: e.Error(), Findings: e.Findings})
	default:
		daemon.WriteJSON(w, http.StatusInternalServerError, ErrorResponse{Reason: "unreadable", Remedy: err.Error()})
	}
}

func writeRevisionConflict(w http.ResponseWriter, rev uint64) {
	daemon.WriteJSON(w, http.StatusPreconditionFailed, ErrorResponse{Reason: "other-revision", Remedy: "read the plan again and decide anew; nothing was changed", Revision: rev})
}

func writeNotCommitted(w http.ResponseWriter, a *fb.OpTellT) {
	w.Header().Set("Retry-After", "1")
	switch quorum.Status(a.Status) {
	case quorum.StatusNotLeader:
		daemon.WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{Reason: "no-owner", Remedy: "nothing was changed; a majority of registrars must be up, then send again"})
	case quorum.StatusFull:
		daemon.WriteJSON(w, http.StatusInsufficientStorage, ErrorResponse{Reason: "state-full", Remedy: "nothing was changed; raise ring_files on every registrar"})
	default:
		daemon.WriteJSON(w, http.StatusGatewayTimeout, ErrorResponse{Reason: "unknown", Remedy: "the change may or may not be in force; read the plan before sending again"})
	}
}

// Change is the body of POST /v1/roster: Old leaves, the empty registrar that
// listens at Addr comes; either may be left out. Step must be the roster's.
type VoterSetChange struct {
	Leaving     string `json:"old,omitempty"`
	JoiningAddr string `json:"addr,omitempty"`
	Step        uint64 `json:"step"`
}

func (n *Node) serveVoterSetChange(w http.ResponseWriter, q *http.Request) {
	var c VoterSetChange
	d := json.NewDecoder(http.MaxBytesReader(w, q.Body, 4096))
	d.DisallowUnknownFields()
	if q.Method != http.MethodPost || d.Decode(&c) != nil || c.Leaving == "" && c.JoiningAddr == "" {
		daemon.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Reason: "malformed", Remedy: "POST old, addr or both, and the step that GET /v1/fleet shows"})
		return
	}
	no := func(status int, reason, remedy string) {
		daemon.WriteJSON(w, status, ErrorResponse{Reason: reason, Remedy: remedy + "; nothing was changed"})
	}
	f := n.voterSet.Load()
	if f == nil {
		no(http.StatusServiceUnavailable, "not-in-fleet", "ask a registrar that is in the roster")
		return
	}
	ro := codec.UnpackVoterSet(f)
	if c.Step != ro.Step() {
		no(http.StatusPreconditionFailed, "other-step", fmt.Sprintf("the roster is at step %d; look at it again", ro.Step()))
		return
	}
	var come *quorum.Voter
	if c.JoiningAddr != "" {
		a, err := n.peers.Get(c.JoiningAddr).Call(q.Context(), &fb.FrameT{FoundAsk: &fb.FoundAskT{Name: n.settings.Name, Addr: n.settings.TransportAddr, Inc: n.Incarnation()}}, 1_000_000)
		if err != nil || a.FoundTell == nil || a.FoundTell.Inc == 0 {
			no(http.StatusBadGateway, "newcomer-unreachable", "start the new registrar first, and give its wire address as IP:port")
			return
		}
		if t := a.FoundTell; t.Founding != nil && len(t.Founding.Voters) > 0 {
			no(http.StatusConflict, "newcomer-not-empty", "its disk belongs to a roster already; give it an empty data_dir")
			return
		}
		come = &quorum.Voter{Name: a.FoundTell.Name, Addr: c.JoiningAddr, Incarnation: a.FoundTell.Inc}
	}
	next, err := ro.Next(c.Leaving, come)
	if err != nil {
		no(http.StatusBadRequest, "no-such-step", err.Error())
		return
	}
	at := n.Execute(q.Context(), &fb.OpAskT{Kind: byte(quorum.OpGet), Key: quorum.VoterSetKey})
	if quorum.Status(at.Status) != quorum.StatusDone {
		writeNotCommitted(w, at)
		return
	}
	a := n.Execute(q.Context(), &fb.OpAskT{Kind: byte(quorum.OpPut), Key: quorum.VoterSetKey, Val: next.Bytes(), Expect: at.Rev})
	switch quorum.Status(a.Status) {
	case quorum.StatusDone:
		n.daemon.Log.Info("roster_changed", "step", next.Step(), "old", c.Leaving, "addr", c.JoiningAddr)
		daemon.WriteJSON(w, http.StatusOK, map[string]any{"step": next.Step(), "voters": next.Voters})
	case quorum.StatusConflict:
		no(http.StatusConflict, "not-now", string(a.Val))
	default:
		writeNotCommitted(w, a)
	}
}

// Fleet is what GET /v1/fleet tells.
type FleetStatus struct {
	ControlNode string        `json:"registrar"`
	Plan        PlanStatus    `json:"plan"`
	Slots       []SlotStatus  `json:"slots"`
	Nodes       []NodeStatus  `json:"nodes"`
	Voters      []VoterStatus `json:"voters"`
	// Step counts the roster's changes; Firm says that the next may be made.
	VoterSetStep  uint64 `json:"roster_step"`
	ChangeAllowed bool   `json:"roster_firm"`
	// Disk is this node's own.
	Disk DiskStatus `json:"disk"`
}

// PlanState is the plan as this registrar last heard it vouched for.
type PlanStatus struct {
	Revision uint64 `json:"rev"`
	AgeUS    int64  `json:"age_us"`
}

// SlotState is a slot of the control state.
type SlotStatus struct {
	Slot   int    `json:"slot"`
	Leader string `json:"owner"`
	Term   uint64 `json:"epoch"`
	Keys   int    `json:"keys"`
}

// NodeState is a member.
type NodeStatus struct {
	Name           string   `json:"name"`
	Role           string   `json:"role"`
	Zone           string   `json:"site"`
	HTTP           string   `json:"http"`
	Addr           string   `json:"wire"`
	Ready          bool     `json:"ready"`
	ControlNode    string   `json:"via"`
	AgeUS          int64    `json:"age_us"`
	SingletonRoles []string `json:"duties,omitempty"`
}

// VoterState is a member of the roster.
type VoterStatus struct {
	Name string `json:"name"`
	Addr string `json:"wire"`
}

func (n *Node) serveFleet(w http.ResponseWriter, _ *http.Request) {
	now := clock.Now()
	c := n.plan.Load()
	f := FleetStatus{ControlNode: n.settings.Name, Plan: PlanStatus{c.Revision, c.Age(now)}, Slots: []SlotStatus{}, Nodes: []NodeStatus{}}
	for i, s := range n.status.Load().slots {
		f.Slots = append(f.Slots, SlotStatus{i, s.Leader, s.Term, s.Keys})
	}
	for _, member := range n.sessions.Live(now) {
		f.Nodes = append(f.Nodes, NodeStatus{member.Name, member.Role, member.Site, member.Http, member.Addr, member.Ready, member.Registrar, member.Age, member.Duties})
	}
	f.ChangeAllowed = n.status.Load().changeAllowed
	f.Disk = n.DiskStatus()
	if x := n.voterSet.Load(); x != nil {
		f.VoterSetStep = codec.UnpackVoterSet(x).Step()
		for _, v := range x.Voters {
			f.Voters = append(f.Voters, VoterStatus{v.Name, v.Addr})
		}
	}
	daemon.WriteJSON(w, http.StatusOK, f)
}
