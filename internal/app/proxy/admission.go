package proxy

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"violetthread/attempt"
	"violetthread/internal/clock"
	"violetthread/internal/rendezvous"
	"violetthread/placement"
	"violetthread/route"
)

const (
	bodyReadTimeoutUS = 15_000_000 // longest that a body may take to arrive
	defaultBodyBytes  = 16 << 20   // where the configuration sets no bound
	defaultTimeoutUS  = 30_000_000 // where neither the caller nor the route sets one
)

// serveRequest takes one request of a caller: it reads it whole, finds its route and tenant,
// and forwards it.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	arrived := clock.Now()
	s.counts.arrived.Add(1)
	if s.view.Load().table == nil { // not reached: the port opens with the first configuration
		s.respondError(w, http.StatusServiceUnavailable, reasonConfigMissing, backoffConfigMissingUS)
		return
	}
	if callerConnOf(r.Context()).ambiguity() != nil {
		w.Header().Set("Connection", "close")
		s.respondError(w, http.StatusBadRequest, reasonMalformed, 0)
		return
	}
	info, err := s.adapter.ParseRequest(r.Header)
	if err != nil {
		s.respondError(w, http.StatusBadRequest, reasonMalformed, 0)
		return
	}
	body, ok := s.readBody(w, r)
	if !ok {
		return
	}
	// The body may have taken its time: what is in force is looked up after it.
	f := &forwardedRequest{server: s, writer: w, request: r, info: info, view: s.view.Load(), body: body, lastEventID: info.LastEventID}
	if s.admit(f) {
		f.prepare(arrived)
		f.run()
	}
}

// readBody reads a request's body whole. If it can't, it has answered.
func (s *server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(clock.Duration(bodyReadTimeoutUS)))
	limit := s.view.Load().table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		s.respondError(w, http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return nil, false
	case err != nil:
		panic(http.ErrAbortHandler) // it never arrived whole
	}
	_ = control.SetReadDeadline(noDeadline)
	return body, true
}

// admit finds a request's route and tenant. If it returns false, it has answered.
func (s *server) admit(f *forwardedRequest) bool {
	table := f.view.table
	path, _, _ := strings.Cut(f.request.RequestURI, "?")
	f.route = table.Match(f.request.Host, path)
	status, reason := 0, ""
	switch {
	case f.route == nil:
		status, reason = http.StatusNotFound, reasonNoRoute
	case table.RequiresKeys() && !f.route.Public:
		if f.tenant = table.TenantByKey(f.info.Key); f.tenant == nil {
			status, reason = http.StatusUnauthorized, reasonKeyUnknown
		}
	}
	age := f.view.age(clock.Now())
	// 401 and 404 are final: they need a configuration at most half as old as a change may take
	// to be in force.
	tooOld := age > s.maxConfigAgeUS() || reason != "" && age > s.settings.Bounds.ConfigApplyUS/2
	switch {
	case tooOld:
		s.counts.rejected.Add(1)
		s.respondError(f.writer, http.StatusServiceUnavailable, reasonConfigNotFresh, backoffConfigNotFreshUS)
		return false
	case reason != "":
		s.respondError(f.writer, status, reason, 0)
		return false
	}
	return true
}

// prepare sets a request's deadline, what may be repeated of it and what it asks of placement,
// and counts it for the retry budget.
// arrived is when it began to arrive, in monotonic microseconds.
func (f *forwardedRequest) prepare(arrived int64) {
	s := f.server
	f.deadline = arrived + timeoutOf(f.info, f.route)
	resumable := f.route.Semantics == route.EventStream && f.route.Resumable && s.settings.Policy.Uses(placement.StreamResumption)
	f.forward = attempt.Forward{
		Repeatable: resumable || f.route.Semantics == route.Idempotent,
		Resumable:  resumable,
		MaxEngines: max(1, f.route.MaxEngines),
	}
	tenant := ""
	if f.tenant != nil {
		tenant = f.tenant.Name
	}
	f.placement = placement.Request{
		Pool:            poolOf(f.route, f.info.AttemptID),
		Model:           f.info.Model,
		Blocks:          f.info.Blocks,
		PromptTokens:    f.info.PromptTokens,
		MaxOutputTokens: f.info.MaxOutputTokens,
		LatencyTargetUS: f.route.LatencyTargetUS,
		CacheScope:      f.view.table.CacheScope(tenant),
		TriedEngines:    map[string]bool{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryWindow(f.placement.Pool).CountRequest(clock.Now())
}

// timeoutOf is the shorter of what the caller waits and what the route allows, in microseconds.
func timeoutOf(info RequestInfo, r *route.Route) int64 {
	timeout := info.TimeoutUS
	if t := r.TimeoutUS; t > 0 && (timeout <= 0 || t < timeout) {
		timeout = t
	}
	if timeout <= 0 {
		return defaultTimeoutUS
	}
	return timeout
}

// poolOf draws a route's pool by weight; one attempt id always draws the same one.
func poolOf(r *route.Route, attemptID string) string {
	sum := 0
	for _, share := range r.Split {
		sum += share.Weight
	}
	if sum <= 0 {
		return ""
	}
	point := int(rendezvous.Score(attemptID, r.Name) >> 11 % uint64(sum))
	for _, share := range r.Split {
		if point -= share.Weight; point < 0 {
			return share.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool
}
