package control

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"violetthread/internal/base"
	"violetthread/internal/clock"
	"violetthread/internal/wire"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Problems is what an operator gets for a plan that is not in order.
type Problems struct {
	Reason   string         `json:"reason"`
	Remedy   string         `json:"remedy"`
	Findings []plan.Finding `json:"findings,omitempty"`
	Rev      uint64         `json:"rev,omitempty"`
}

// Accepted is what an operator gets for a plan in force.
type Accepted struct {
	Rev uint64 `json:"rev"`
}

func (r *Node) routes() {
	r.d.Handle("/v1/plan", r.planHTTP)
	r.d.Handle("/v1/fleet", r.fleetHTTP)
	r.d.Handle("/v1/roster", r.rosterHTTP)
	own := func() float64 {
		n := 0
		for _, s := range r.stats.Load().slots {
			if s.Mine {
				n++
			}
		}
		return float64(n)
	}
	r.d.Gauge("slots_owned", "slots whose keys this node owns under a live lease", own)
	r.d.Gauge("state_bytes", "bytes of live control state", func() float64 { return float64(r.stats.Load().size) })
	r.d.Gauge("ring_used_permille", "part of the disk ring in use", func() float64 { return float64(r.storage.used.Load()) })
	r.d.Gauge("era", "newest era of claims known to be open", func() float64 { return float64(r.era.Load()) })
	r.d.Gauge("plan_rev", "revision of the plan last vouched for", func() float64 { return float64(r.cache.Load().Revision) })
	r.d.Gauge("plan_age_us", "time since the plan was vouched for", func() float64 { return float64(r.cache.Load().Age(clock.Now())) })
}

func (r *Node) planHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.Method {
	case http.MethodGet:
		a := r.Op(q.Context(), &fb.OpAskT{Kind: byte(quorum.OpGet), Key: planKey})
		switch {
		case quorum.Status(a.Status) != quorum.Done:
			unsettled(w, a)
		case a.Rev == 0:
			base.JSON(w, http.StatusNotFound, Problems{Reason: "no-plan", Remedy: "send a whole plan first, with dealer plan put"})
		default:
			w.Header().Set("ETag", etag(a.Rev))
			w.Header().Set("Content-Type", "application/json")
			_, raw, err := plan.Decode(a.Val)
			if err != nil {
				base.JSON(w, http.StatusInternalServerError, Problems{Reason: "unreadable", Remedy: err.Error()})
				return
			}
			_, _ = w.Write(raw) // to the byte what was sent
		}
	case http.MethodPut, http.MethodPatch:
		r.change(w, q)
	default:
		base.JSON(w, http.StatusMethodNotAllowed, Problems{Reason: "no-such-method", Remedy: "use GET, PUT or PATCH"})
	}
}

func etag(rev uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(rev, 10)) }

func (r *Node) change(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, plan.MaxBytes+1))
	if err != nil {
		base.JSON(w, http.StatusRequestEntityTooLarge, Problems{Reason: "too-large", Remedy: fmt.Sprintf("keep a plan within %d bytes", plan.MaxBytes)})
		return
	}
	c := plan.Change{Body: body, Patch: q.Method == http.MethodPatch}
	if m := strings.Trim(q.Header.Get("If-Match"), `"`); m != "" && m != "*" {
		c.Conditional = true
		if c.ExpectedRevision, err = strconv.ParseUint(m, 10, 64); err != nil {
			base.JSON(w, http.StatusBadRequest, Problems{Reason: "bad-precondition", Remedy: "give If-Match the revision that ETag showed"})
			return
		}
	}
	for try := 0; try < 50; try++ {
		// What is in force is read first in any case: the seal follows from it.
		at := r.Op(q.Context(), &fb.OpAskT{Kind: byte(quorum.OpGet), Key: planKey})
		if quorum.Status(at.Status) != quorum.Done {
			unsettled(w, at)
			return
		}
		sealed, _, err := c.Apply(at.Rev, at.Val)
		if err != nil {
			declined(w, err)
			return
		}
		a := r.Op(q.Context(), &fb.OpAskT{Kind: byte(quorum.OpPut), Key: planKey, Val: sealed, Expect: at.Rev})
		switch quorum.Status(a.Status) {
		case quorum.Done:
			r.d.Log.Info("plan_accepted", "rev", a.Rev, "method", q.Method, "from", q.RemoteAddr)
			w.Header().Set("ETag", etag(a.Rev))
			base.JSON(w, http.StatusOK, Accepted{a.Rev})
			return
		case quorum.Conflict:
			// Another operator's change came between reading and writing: without a
			// precondition this one goes on top of what is there now.
			if !c.Conditional {
				continue
			}
			conflict(w, a.Rev)
			return
		default:
			unsettled(w, a)
			return
		}
	}
	base.JSON(w, http.StatusConflict, Problems{Reason: "too-busy", Remedy: "many operators change the plan at once; send the patch again"})
}

// declined tells an operator why a change does not apply.
func declined(w http.ResponseWriter, err error) {
	switch e := err.(type) {
	case plan.RevisionConflictError:
		conflict(w, e.Revision)
	case plan.NoPlanError:
		base.JSON(w, http.StatusNotFound, Problems{Reason: "no-plan", Remedy: e.Error()})
	case plan.PatchError:
		base.JSON(w, http.StatusBadRequest, Problems{Reason: "bad-patch", Remedy: e.Error()})
	case plan.InvalidPlanError:
		base.JSON(w, http.StatusBadRequest, Problems{Reason: "bad-plan", Remedy: e.Error(), Findings: e.Findings})
	default:
		base.JSON(w, http.StatusInternalServerError, Problems{Reason: "unreadable", Remedy: err.Error()})
	}
}

func conflict(w http.ResponseWriter, rev uint64) {
	base.JSON(w, http.StatusPreconditionFailed, Problems{Reason: "other-revision", Remedy: "read the plan again and decide anew; nothing was changed", Rev: rev})
}

func unsettled(w http.ResponseWriter, a *fb.OpTellT) {
	w.Header().Set("Retry-After", "1")
	switch quorum.Status(a.Status) {
	case quorum.NotOwner:
		base.JSON(w, http.StatusServiceUnavailable, Problems{Reason: "no-owner", Remedy: "nothing was changed; a majority of registrars must be up, then send again"})
	case quorum.Full:
		base.JSON(w, http.StatusInsufficientStorage, Problems{Reason: "state-full", Remedy: "nothing was changed; raise ring_files on every registrar"})
	default:
		base.JSON(w, http.StatusGatewayTimeout, Problems{Reason: "unknown", Remedy: "the change may or may not be in force; read the plan before sending again"})
	}
}

// Change is the body of POST /v1/roster: Old leaves, the empty registrar that
// listens at Addr comes; either may be left out. Step must be the roster's.
type Change struct {
	Old  string `json:"old,omitempty"`
	Addr string `json:"addr,omitempty"`
	Step uint64 `json:"step"`
}

func (r *Node) rosterHTTP(w http.ResponseWriter, q *http.Request) {
	var c Change
	d := json.NewDecoder(http.MaxBytesReader(w, q.Body, 4096))
	d.DisallowUnknownFields()
	if q.Method != http.MethodPost || d.Decode(&c) != nil || c.Old == "" && c.Addr == "" {
		base.JSON(w, http.StatusBadRequest, Problems{Reason: "malformed", Remedy: "POST old, addr or both, and the step that GET /v1/fleet shows"})
		return
	}
	no := func(status int, reason, remedy string) {
		base.JSON(w, status, Problems{Reason: reason, Remedy: remedy + "; nothing was changed"})
	}
	f := r.found.Load()
	if f == nil {
		no(http.StatusServiceUnavailable, "not-in-fleet", "ask a registrar that is in the roster")
		return
	}
	ro := wire.Unroster(f)
	if c.Step != ro.Step() {
		no(http.StatusPreconditionFailed, "other-step", fmt.Sprintf("the roster is at step %d; look at it again", ro.Step()))
		return
	}
	var come *quorum.Voter
	if c.Addr != "" {
		a, err := r.book.At(c.Addr).Call(q.Context(), &fb.FrameT{FoundAsk: &fb.FoundAskT{Name: r.s.Name, Addr: r.s.Wire, Inc: r.Inc()}}, 1_000_000)
		if err != nil || a.FoundTell == nil || a.FoundTell.Inc == 0 {
			no(http.StatusBadGateway, "newcomer-unreachable", "start the new registrar first, and give its wire address as IP:port")
			return
		}
		if t := a.FoundTell; t.Founding != nil && len(t.Founding.Voters) > 0 {
			no(http.StatusConflict, "newcomer-not-empty", "its disk belongs to a roster already; give it an empty data_dir")
			return
		}
		come = &quorum.Voter{Name: a.FoundTell.Name, Addr: c.Addr, Inc: a.FoundTell.Inc}
	}
	n, err := ro.Next(c.Old, come)
	if err != nil {
		no(http.StatusBadRequest, "no-such-step", err.Error())
		return
	}
	at := r.Op(q.Context(), &fb.OpAskT{Kind: byte(quorum.OpGet), Key: quorum.RosterKey})
	if quorum.Status(at.Status) != quorum.Done {
		unsettled(w, at)
		return
	}
	a := r.Op(q.Context(), &fb.OpAskT{Kind: byte(quorum.OpPut), Key: quorum.RosterKey, Val: n.Bytes(), Expect: at.Rev})
	switch quorum.Status(a.Status) {
	case quorum.Done:
		r.d.Log.Info("roster_changed", "step", n.Step(), "old", c.Old, "addr", c.Addr)
		base.JSON(w, http.StatusOK, map[string]any{"step": n.Step(), "voters": n.Voters})
	case quorum.Conflict:
		no(http.StatusConflict, "not-now", string(a.Val))
	default:
		unsettled(w, a)
	}
}

// Fleet is what GET /v1/fleet tells.
type Fleet struct {
	Registrar string       `json:"registrar"`
	Plan      PlanState    `json:"plan"`
	Slots     []SlotState  `json:"slots"`
	Nodes     []NodeState  `json:"nodes"`
	Voters    []VoterState `json:"voters"`
	// Step counts the roster's changes; Firm says that the next may be made.
	Step uint64 `json:"roster_step"`
	Firm bool   `json:"roster_firm"`
	// Disk is this node's own.
	Disk DiskState `json:"disk"`
}

// PlanState is the plan as this registrar last heard it vouched for.
type PlanState struct {
	Rev   uint64 `json:"rev"`
	AgeUS int64  `json:"age_us"`
}

// SlotState is a slot of the control state.
type SlotState struct {
	Slot  int    `json:"slot"`
	Owner string `json:"owner"`
	Epoch uint64 `json:"epoch"`
	Keys  int    `json:"keys"`
}

// NodeState is a member.
type NodeState struct {
	Name   string   `json:"name"`
	Role   string   `json:"role"`
	Site   string   `json:"site"`
	HTTP   string   `json:"http"`
	Wire   string   `json:"wire"`
	Ready  bool     `json:"ready"`
	Via    string   `json:"via"`
	AgeUS  int64    `json:"age_us"`
	Duties []string `json:"duties,omitempty"`
}

// VoterState is a member of the roster.
type VoterState struct {
	Name string `json:"name"`
	Wire string `json:"wire"`
}

func (r *Node) fleetHTTP(w http.ResponseWriter, _ *http.Request) {
	now := clock.Now()
	c := r.cache.Load()
	f := Fleet{Registrar: r.s.Name, Plan: PlanState{c.Revision, c.Age(now)}, Slots: []SlotState{}, Nodes: []NodeState{}}
	for i, s := range r.stats.Load().slots {
		f.Slots = append(f.Slots, SlotState{i, s.Owner, s.Epoch, s.Count})
	}
	for _, n := range r.roll.Live(now) {
		f.Nodes = append(f.Nodes, NodeState{n.Name, n.Role, n.Site, n.Http, n.Addr, n.Ready, n.Registrar, n.Age, n.Duties})
	}
	f.Firm = r.stats.Load().firm
	f.Disk = r.Disk()
	if x := r.found.Load(); x != nil {
		f.Step = wire.Unroster(x).Step()
		for _, v := range x.Voters {
			f.Voters = append(f.Voters, VoterState{v.Name, v.Addr})
		}
	}
	base.JSON(w, http.StatusOK, f)
}
