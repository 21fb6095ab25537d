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
	bodyReadTimeoutUS = 15_000_000 // longest time to receive a request body
	defaultBodyBytes  = 16 << 20   // limit if the configuration sets none
	defaultTimeoutUS  = 30_000_000 // if neither the caller nor the route sets one
)

// serveRequest handles one request of a caller: it reads the body, finds the route and the tenant,
// and forwards the request.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	arrived := clock.Now()
	s.counts.arrived.Add(1)
	if s.view.Load().table == nil { // not expected: the port opens only once a configuration is known
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
	// Reading the body may have taken long, so the configuration is loaded only now.
	f := &forwardedRequest{server: s, writer: w, request: r, info: info, view: s.view.Load(), body: body}
	if s.admit(f) {
		f.prepare(arrived)
		f.run()
	}
}

// readBody reads the whole request body. If it returns false, it has already responded.
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
		panic(http.ErrAbortHandler) // the body is incomplete: nothing to respond to
	}
	_ = control.SetReadDeadline(noDeadline)
	return body, true
}

// admit finds a request's route and tenant. If it returns false, it has already responded.
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
	// Callers take 401 and 404 as final, so these need a configuration that is at most half as old
	// as the time within which a change must be in force.
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

// prepare sets a request's deadline, its retry rules and its placement request, and counts it for
// the retry budget. arrived is when the proxy began to serve it, in monotonic microseconds.
func (f *forwardedRequest) prepare(arrived int64) {
	s := f.server
	f.deadline = arrived + timeoutOf(f.info, f.route)
	resumable := f.route.Semantics == route.EventStream && f.route.Resumable && s.settings.Policy.Uses(placement.StreamResumption)
	f.forward = attempt.Forward{
		Repeatable: resumable || f.route.Semantics == route.Idempotent,
		Resumable:  resumable,
		MaxEngines: max(1, f.route.MaxEngines),
	}
	if resumable {
		f.position = parsePosition(f.info.LastEventID)
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

// timeoutOf returns the shorter of the caller's and the route's time-out, in microseconds.
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

// poolOf selects one of a route's pools by weight. The same attempt id always gets the same pool.
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
