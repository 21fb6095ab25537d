package proxy

import (
	"net/http"
	"strings"

	"violetthread/attempt"
	"violetthread/internal/clock"
	"violetthread/internal/rendezvous"
	"violetthread/placement"
	"violetthread/route"
)

const (
	defaultTimeoutUS = 30_000_000 // if neither the caller nor the route sets one

	// forwardBytes is what forwarding a request takes beside its body: goroutines, and the buffers of the
	// connection to the engine.
	forwardBytes = 64 << 10
	// forwardLongBytes is what forwarding a long body takes more: the kernel's send buffer.
	forwardLongBytes = 2 * engineSendBytes
)

// serveRequest handles one request of a caller: it reads the body, finds the route and the tenant,
// and forwards the request.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	arrived := clock.Now()
	s.counts.arrived.Add(1)
	conn := limitedConnOf(r.Context())
	conn.HeadReceived()
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
	f := &forwardedRequest{server: s, writer: w, request: r, conn: conn, info: info, view: s.view.Load()}
	var ok bool
	if f.body, ok = s.readBody(f); !ok {
		return
	}
	f.view = s.view.Load() // reading the body may have taken long
	if s.admit(f) {
		f.prepare(arrived)
		f.run()
	}
}

// rejection says why a request is not forwarded; the zero value is none.
type rejection struct {
	status    int
	reason    string
	backoffUS int64
}

// findRejection finds a request's route and tenant in f.view, or why it can't be forwarded.
func (s *server) findRejection(f *forwardedRequest) rejection {
	table := f.view.table
	path, _, _ := strings.Cut(f.request.RequestURI, "?")
	f.route = table.Match(f.request.Host, path)
	var found rejection
	switch {
	case f.route == nil:
		found = rejection{status: http.StatusNotFound, reason: reasonNoRoute}
	case table.RequiresKeys() && !f.route.Public:
		if f.tenant = table.TenantByKey(f.info.Key); f.tenant == nil {
			found = rejection{status: http.StatusUnauthorized, reason: reasonKeyUnknown}
		}
	}
	age := f.view.age(clock.Now())
	// Callers take 401 and 404 as final, so these need a configuration that is at most half as old
	// as the time within which a change must be in force.
	if age > s.maxConfigAgeUS() || found.reason != "" && age > s.settings.Bounds.ConfigApplyUS/2 {
		return rejection{http.StatusServiceUnavailable, reasonConfigNotFresh, backoffConfigNotFreshUS}
	}
	return found
}

// admit finds a request's route and tenant, and reserves the memory for forwarding it. If it returns
// false, it has already responded.
func (s *server) admit(f *forwardedRequest) bool {
	found := s.findRejection(f)
	if found.reason == "" && !f.hold() {
		found = rejection{http.StatusServiceUnavailable, reasonOverloaded, backoffOverloadedUS}
	}
	if found.reason == "" {
		return true
	}
	if found.status == http.StatusServiceUnavailable {
		s.counts.rejected.Add(1)
	}
	s.respondError(f.writer, found.status, found.reason, found.backoffUS)
	return false
}

// hold reserves the memory for forwarding a request whose body has been read. It returns false if there
// is none.
func (f *forwardedRequest) hold() bool {
	tenant := ""
	if f.tenant != nil {
		tenant = f.tenant.Name
	}
	size := int64(forwardBytes)
	if f.body.isLong() {
		size += forwardLongBytes
	}
	if f.body.discarded || !f.conn.Reserve(size) || !f.conn.EnterGroup(tenant) {
		return false
	}
	if !f.conn.Serving() {
		panic(http.ErrAbortHandler) // the connection was closed meanwhile
	}
	f.conn.Prove()
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
