package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/internal/callerapi"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
	"violetthread/internal/taskgroup"
	"violetthread/plan"
)

const (
	maxBody = 4 << 20
	maxLine = 1 << 20
)

// call is one caller's ticket on its way through.
type call struct {
	ref     uint64
	done    chan struct{}
	final   dispatch.Action // set before done is closed
	cancels map[string]context.CancelFunc
	// The attempt writes its pieces itself: handing each to the caller's own
	// goroutine would cost a wake-up a piece.
	mu     sync.Mutex
	flush  http.Flusher
	enc    *json.Encoder
	pieces int
	closed bool
}

// put writes a frame; after the last one nothing more goes out.
func (c *call) writeFrame(f callerapi.Frame, last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeFrameLocked(f, last)
}

// write is put for a holder of the lock.
func (c *call) writeFrameLocked(f callerapi.Frame, last bool) bool {
	if c.closed {
		return false
	}
	if f.Frame == "piece" {
		f.Index = c.pieces
		c.pieces++
	}
	if last {
		n := c.pieces
		f.Pieces, c.closed = &n, true
	}
	err := c.enc.Encode(f)
	if c.flush != nil {
		c.flush.Flush()
	}
	return err == nil
}

func statusOf(reason string) int {
	switch reason {
	case "queue-full", "due-unreachable":
		return http.StatusTooManyRequests
	case "key-taken":
		return http.StatusUnauthorized
	case "kind-taken", "wall-changed":
		return http.StatusForbidden
	}
	return http.StatusServiceUnavailable
}

// door checks who calls. The plan must be known to be in force.
func (g *gateway) authenticate(w http.ResponseWriter, q *http.Request) (p *plan.Compiled, group, digest string, ok bool) {
	v := g.plan.Load()
	switch {
	case g.daemon.Stopping():
		g.reject(w, http.StatusServiceUnavailable, "stopping", 1_000_000)
		return
	case v.Plan == nil || v.Age(clock.Now()) > dispatch.MaxPlanAge:
		g.reject(w, http.StatusServiceUnavailable, "plan-not-fresh", 1_000_000)
		return
	}
	key, found := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		g.reject(w, http.StatusUnauthorized, "key-missing", 0)
		return
	}
	digest = plan.KeyDigest(key)
	if group, ok = v.Plan.GroupOf(digest); !ok {
		g.reject(w, http.StatusUnauthorized, "key-unknown", 0)
		return
	}
	return v.Plan, group, digest, true
}

// eraProblem tells what is wrong with the era of an id that may come again. The
// claim's owner has the last word; what is a little ahead of this proxy is its matter.
func (g *gateway) generationProblem(era uint64) string {
	known := g.generation.Load()
	switch {
	case known == 0:
		return "claim-unavailable"
	case era == 0:
		return "era-missing"
	case era > known+1:
		return "era-unopened"
	}
	return ""
}

func (g *gateway) serveGeneration(w http.ResponseWriter, _ *http.Request) {
	e := g.generation.Load()
	if e == 0 {
		g.reject(w, http.StatusServiceUnavailable, "claim-unavailable", 1_000_000)
		return
	}
	daemon.WriteJSON(w, http.StatusOK, callerapi.Generation{Generation: e})
}

// refuse answers a ticket that was turned away before anything was queued.
func (g *gateway) reject(w http.ResponseWriter, status int, reason string, back int64) {
	if reason == "claim-unavailable" {
		status, back = http.StatusServiceUnavailable, 1_000_000
	}
	if back > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((back+999_999)/1_000_000, 10))
	}
	daemon.WriteJSON(w, status, callerapi.Frame{Frame: "refused", Generation: g.generation.Load(), Reason: reason, Remedy: callerapi.Remedy(reason), RetryAfterUS: back})
}

func (g *gateway) serveRequest(w http.ResponseWriter, q *http.Request) {
	if q.Method != http.MethodPost {
		daemon.WriteJSON(w, http.StatusMethodNotAllowed, daemon.ErrorResponse{Reason: "no-such-method", Remedy: "use POST"})
		return
	}
	arrived := clock.Now()
	p, group, digest, ok := g.authenticate(w, q)
	if !ok {
		return
	}
	t, status, reason := decodeRequest(w, q, p, group)
	own := t.ID != ""
	if reason == "" && own && p.Kinds[t.Kind].Once {
		status, reason = http.StatusBadRequest, g.generationProblem(t.Generation)
	}
	if reason != "" {
		g.reject(w, status, reason, 0)
		return
	}
	if t.ID == "" {
		t.ID = "t-" + hex.EncodeToString(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, g.incarnation), uint32(g.lastRef.Add(1))))
	}
	x := dispatch.Request{Ref: g.lastRef.Add(1), ID: t.ID, IDFromCaller: own, Generation: t.Generation, Group: group, Kind: t.Kind, KeyDigest: digest, Deadline: arrived + t.DueUS,
		Prompt: t.Prompt, Weights: p.Weights, Domain: p.CacheDomain(group, p.Weights)}
	x.Chain = cacheindex.PrefixKeys(x.Domain, x.Weights, x.Prompt)
	if g.settings.Index {
		x.Hints = g.table.Hints(x.Chain, dispatch.MaxHints)
	}
	c := &call{ref: x.Ref, done: make(chan struct{}), cancels: map[string]context.CancelFunc{}, enc: json.NewEncoder(w)}
	c.enc.SetEscapeHTML(false)
	c.flush, _ = w.(http.Flusher)
	// Nothing is written before the ticket is taken in and its first frame is out.
	c.mu.Lock()
	var no *dispatch.Rejection
	g.step(func(now int64) []dispatch.Action {
		var acts []dispatch.Action
		g.calls[c.ref] = c
		if acts, no = g.dispatcher.Admit(now, x); no != nil {
			delete(g.calls, c.ref)
		}
		return acts
	})
	if no != nil {
		c.mu.Unlock()
		g.reject(w, statusOf(no.Reason), no.Reason, no.RetryAfterUS)
		return
	}
	// A caller that reads too slowly is cut off a little after the due.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(clock.Duration(t.DueUS + 2_000_000)))
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("X-Ticket-Id", x.ID)
	c.writeFrameLocked(callerapi.Frame{Frame: "accepted", Ticket: x.ID, Node: g.settings.Name, Generation: g.generation.Load()}, false)
	c.mu.Unlock()
	g.wait(q, c, x.ID)
}

func decodeRequest(w http.ResponseWriter, q *http.Request, p *plan.Compiled, group string) (t callerapi.Request, status int, reason string) {
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err != nil {
		return t, http.StatusRequestEntityTooLarge, "too-large"
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&t); err != nil {
		if strings.Contains(err.Error(), "unknown field") {
			return t, http.StatusBadRequest, "unknown-field"
		}
		return t, http.StatusBadRequest, "malformed"
	}
	if _, err := d.Token(); err != io.EOF {
		return t, http.StatusBadRequest, "malformed"
	}
	k, ok := p.Kinds[t.Kind]
	switch {
	case !ok:
		return t, http.StatusBadRequest, "unknown-kind"
	case !p.MaySend(group, t.Kind):
		return t, http.StatusForbidden, "kind-taken"
	case len(t.ID) > 128 || strings.ContainsFunc(t.ID, func(c rune) bool { return c <= ' ' || c > '~' }):
		return t, http.StatusBadRequest, "bad-id"
	case t.DueUS < 0:
		return t, http.StatusBadRequest, "due-past"
	}
	if t.DueUS == 0 {
		t.DueUS = k.DueUS
	}
	if m := max(k.MaxDueUS, k.DueUS); t.DueUS > m {
		return t, http.StatusBadRequest, "due-too-far"
	}
	return t, 0, ""
}

// wait sees a ticket through. Whatever happens, there is one last frame or none
// at all, and without one the answer is plainly incomplete.
func (g *gateway) wait(q *http.Request, c *call, id string) {
	select {
	case <-c.done:
	case <-q.Context().Done():
		g.step(func(now int64) []dispatch.Action { return g.dispatcher.Stop(now, c.ref, "caller-gone") })
		<-c.done
	}
	e := c.final
	last := callerapi.Frame{Frame: string(e.Outcome), Ticket: id}
	if e.Outcome != attempt.Done {
		last.Reason, last.Remedy, last.RetryAfterUS = e.Reason, callerapi.Remedy(e.Reason), e.RetryAfterUS
	}
	c.writeFrame(last, true)
}

// attempt sends one attempt to an engine and notes how far it comes.
func (g *gateway) runAttempt(ctx context.Context, c *call, a dispatch.Action) {
	note := func(s attempt.State, cause string) {
		g.step(func(now int64) []dispatch.Action {
			return g.dispatcher.AttemptProgressed(now, a.Ref, a.AttemptID, s, cause)
		})
	}
	body := engineapi.RunRequest{Attempt: a.AttemptID, RequestID: a.RequestID, Group: a.Group, Kind: a.Kind, Domain: a.Domain, Weights: a.Weights,
		FencingToken: a.Grant.FencingToken, NodeID: a.Grant.NodeID, Prompt: a.Prompt, Blocks: engineapi.FormatKeys(a.Chain), DueUS: a.Deadline - clock.Now()}
	if a.TransferBlock >= 0 {
		body.Transfer = &engineapi.Transfer{Block: a.TransferBlock, From: a.TransferAddr, WaitUS: a.TransferWaitUS}
	}
	b, err := json.Marshal(body)
	if err != nil {
		note(attempt.NotStarted, "unencodable")
		return
	}
	var wired atomic.Bool // from here on bytes may have gone out
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wired.Store(true) }})
	// A reader that can't be rewound keeps the library from sending twice.
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Grant.Addr+"/v1/run", io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		note(attempt.NotStarted, "bad-address")
		return
	}
	q.ContentLength = int64(len(b))
	q.Header.Set("Content-Type", "application/json")
	if clock.Now() > a.StartBefore {
		note(attempt.NotStarted, "woke-late")
		return
	}
	s, err := g.engineHTTP.Do(q)
	if err != nil {
		if !wired.Load() {
			note(attempt.NotStarted, "unreachable")
		} else {
			note(attempt.Interrupted, "engine-lost")
		}
		return
	}
	defer s.Body.Close()
	if s.StatusCode != http.StatusOK {
		x, _ := io.ReadAll(io.LimitReader(s.Body, 4096))
		var no engineapi.Rejection
		if json.Unmarshal(x, &no) == nil && no.Reason != "" {
			note(attempt.NotStarted, no.Reason)
		} else {
			note(attempt.Interrupted, "engine-error-"+strconv.Itoa(s.StatusCode))
		}
		return
	}
	cause := g.streamRun(c, a, s.Body, note)
	if cause == "" {
		note(attempt.Completed, "")
	} else {
		note(attempt.Interrupted, cause)
	}
}

// relay passes a run's pieces on; "" means that it was whole.
func (g *gateway) streamRun(c *call, a dispatch.Action, body io.Reader, note func(attempt.State, string)) string {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxLine)
	began, n := false, 0
	for sc.Scan() {
		if len(bytes.TrimSpace(sc.Bytes())) == 0 {
			continue
		}
		var l engineapi.RunFrame
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			return "engine-malformed"
		}
		switch {
		case l.Began && !began && l.Piece == nil && !l.Done:
			began = true
			note(attempt.Started, "")
		case !began || l.Began:
			return "engine-malformed"
		case l.Piece != nil && !l.Done:
			if n == 0 {
				ok := false
				g.mu.Lock()
				ok = g.dispatcher.AllowFirstByte(clock.Now(), a.Ref, a.AttemptID)
				g.mu.Unlock()
				if !ok {
					return "cut"
				}
			}
			n++
			if !c.writeFrame(callerapi.Frame{Frame: "piece", Text: l.Piece}, false) {
				return "cut"
			}
		case l.Done && l.Piece == nil:
			if l.Pieces != n {
				return "engine-malformed"
			}
			return ""
		default:
			return "engine-malformed"
		}
	}
	return "engine-lost"
}

// entryHTTP passes a plain call on to an app back end. A safe method is sent
// again once if it broke; an unsafe one never, and with an id it is claimed.
func (g *gateway) serveRoute(w http.ResponseWriter, q *http.Request) {
	p, group, _, ok := g.authenticate(w, q)
	if !ok {
		return
	}
	e, ok := p.RouteFor(q.URL.Path)
	if !ok {
		daemon.WriteJSON(w, http.StatusNotFound, daemon.ErrorResponse{Reason: "no-entry", Remedy: "the plan has no entry for this path; check the path, or have an operator add it"})
		return
	}
	g.plainCalls.Add(1)
	defer g.plainCalls.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	if err != nil {
		g.reject(w, http.StatusRequestEntityTooLarge, "too-large", 0)
		return
	}
	ctx, stop := context.WithTimeout(q.Context(), clock.Duration(e.TimeoutUS))
	defer stop()
	safe := q.Method == http.MethodGet || q.Method == http.MethodHead || q.Method == http.MethodOptions
	if id := q.Header.Get("X-Ticket-Id"); id != "" && !safe {
		era, _ := strconv.ParseUint(q.Header.Get("X-Ticket-Era"), 10, 64)
		if reason := g.generationProblem(era); reason != "" {
			g.reject(w, http.StatusBadRequest, reason, 0)
			return
		}
		if reason := g.claimPlain(ctx, era, group, id); reason != "" {
			if reason == "duplicate" || reason == "era-closed" {
				daemon.WriteJSON(w, http.StatusConflict, callerapi.Frame{Frame: "unknown", Ticket: id, Reason: reason, Remedy: callerapi.Remedy(reason)})
			} else {
				g.reject(w, http.StatusServiceUnavailable, reason, 1_000_000)
			}
			return
		}
	}
	g.mu.Lock()
	g.plainRetryBudget.Permille = p.Limits.RetryPermille
	g.plainRetryBudget.CountRequest()
	g.mu.Unlock()
	for try := 0; ; try++ {
		s, sent, err := g.sendPlain(ctx, q, e, body)
		switch {
		case err == nil:
			g.copyResponse(w, s)
			return
		case (safe || !sent) && try == 0 && ctx.Err() == nil && g.spendPlainRetry():
			continue
		case sent:
			daemon.WriteJSON(w, http.StatusBadGateway, callerapi.Frame{Frame: "unknown", Reason: "backend-lost", Remedy: callerapi.Remedy("backend-lost")})
			return
		default:
			g.reject(w, http.StatusServiceUnavailable, "backend-unreachable", 1_000_000)
			return
		}
	}
}

// spend takes a retry out of the budget of calls to back ends, if there is one.
func (g *gateway) spendPlainRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.plainRetryBudget.Allows() {
		return false
	}
	g.plainRetryBudget.CountRetry()
	return true
}

func (g *gateway) claimPlain(ctx context.Context, era uint64, group, id string) string {
	done := make(chan string, 1)
	a := dispatch.Action{ClaimKey: dispatch.ClaimKey(era, group, "plain:"+id), ClaimNonce: fmt.Sprintf("%s/%x/p%d", g.settings.Name, g.incarnation, g.lastRef.Add(1))}
	g.daemon.Group.Go("claim.plain", func(ctx context.Context) { done <- g.askClaim(ctx, a) })
	s, ok := taskgroup.Receive(ctx, done)
	if !ok {
		return "claim-unavailable"
	}
	return s
}

func (g *gateway) sendPlain(ctx context.Context, q *http.Request, e plan.Route, body []byte) (*http.Response, bool, error) {
	var wired atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wired.Store(true) }})
	x, err := http.NewRequestWithContext(ctx, q.Method, "http://"+e.Backend+q.URL.RequestURI(), io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, false, err
	}
	x.ContentLength = int64(len(body))
	if len(body) == 0 {
		x.Body = http.NoBody
	}
	for k, v := range q.Header {
		if !hopHeaders[http.CanonicalHeaderKey(k)] {
			x.Header[k] = v
		}
	}
	s, err := g.engineHTTP.Do(x)
	return s, wired.Load(), err
}

// hop are headers that concern one connection only, and the caller's key.
var hopHeaders = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Authorization": true, "Content-Length": true}

func (g *gateway) copyResponse(w http.ResponseWriter, s *http.Response) {
	defer s.Body.Close()
	for k, v := range s.Header {
		if !hopHeaders[k] {
			w.Header()[k] = v
		}
	}
	if s.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(s.ContentLength, 10))
	}
	w.WriteHeader(s.StatusCode)
	if _, err := io.Copy(w, s.Body); err != nil {
		// The caller must not take a torn answer for a whole one.
		panic(http.ErrAbortHandler)
	}
}
