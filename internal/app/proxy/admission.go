package proxy

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"violetthread/attempt"
	"violetthread/internal/clock"
	"violetthread/placement"
	"violetthread/route"
)

const (
	bodyReadTimeoutUS = 15_000_000 // longest that a body may take to come
	defaultBodyBytes  = 16 << 20   // where the configuration sets no bound
	defaultTimeoutUS  = 30_000_000 // where neither the caller nor the route sets one

	// versionSlackUS is how long before the bound on new weights engines with older ones
	// get nothing new.
	versionSlackUS = 800_000
)

// serve takes one request of a caller: it reads it whole, finds its route and tenant, and
// passes it on.
func (c *carrier) serve(w http.ResponseWriter, r *http.Request) {
	arrived := clock.Now()
	c.counts.arrived.Add(1)
	if c.view.Load().table == nil {
		c.respondError(w, http.StatusServiceUnavailable, reasonConfigMissing, backoffConfigMissing)
		return
	}
	if callerConnOf(r.Context()).doubt() != nil {
		w.Header().Set("Connection", "close")
		c.respondError(w, http.StatusBadRequest, reasonMalformed, 0)
		return
	}
	ask, err := c.door.ParseRequest(r.Header)
	if err != nil {
		c.respondError(w, http.StatusBadRequest, reasonMalformed, 0)
		return
	}
	body, ok := c.readBody(w, r)
	if !ok {
		return
	}
	// The body may have taken its time: what is in force is looked up after it.
	p := &passage{c: c, w: w, r: r, ask: ask, view: c.view.Load(), body: body, lastEvent: ask.LastEventID}
	if c.admit(p) {
		p.prepare(arrived)
		p.run()
	}
}

// readBody reads a request's body whole. If it can't, it has answered.
func (c *carrier) readBody(w http.ResponseWriter, r *http.Request) (body []byte, ok bool) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(clock.Duration(bodyReadTimeoutUS)))
	limit := c.view.Load().table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.respondError(w, http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return nil, false
	case err != nil:
		panic(http.ErrAbortHandler) // it never came whole
	}
	_ = control.SetReadDeadline(noTime)
	return body, true
}

// admit finds a request's route and tenant. If it returns false, it has answered.
func (c *carrier) admit(p *passage) bool {
	table := p.view.table
	path, _, _ := strings.Cut(p.r.RequestURI, "?")
	p.route = table.Match(p.r.Host, path)
	status, reason := 0, ""
	switch {
	case p.route == nil:
		status, reason = http.StatusNotFound, reasonNoRoute
	case table.RequiresKeys() && !p.route.Public:
		if p.tenant = table.TenantByKey(p.ask.Key); p.tenant == nil {
			status, reason = http.StatusUnauthorized, reasonKeyUnknown
		}
	}
	age := p.view.age(clock.Now())
	// What is refused for good must rest on news that is fresh.
	tooOld := age > c.stale() || reason != "" && age > c.s.Bounds.ConfigApplyUS/2
	switch {
	case tooOld:
		c.counts.refused.Add(1)
		c.respondError(p.w, http.StatusServiceUnavailable, reasonConfigNotFresh, backoffConfigNotFresh)
		return false
	case reason != "":
		c.respondError(p.w, status, reason, 0)
		return false
	}
	return true
}

// prepare sets a request's deadline, what may be repeated of it, and what it asks of
// placement.
func (p *passage) prepare(arrived int64) {
	c := p.c
	p.deadline = arrived + timeoutOf(p.ask, p.route)
	resumable := p.route.Semantics == route.EventStream && p.route.Resumable
	p.ledger = attempt.Forward{Repeatable: resumable || p.route.Semantics == route.Idempotent, Resumable: resumable, MaxEngines: max(1, p.route.MaxEngines)}
	tenant := ""
	if p.tenant != nil {
		tenant = p.tenant.Name
	}
	p.placing = placement.Request{
		Pool:            poolOf(p.route, p.ask.AttemptID),
		Model:           p.ask.Model,
		Blocks:          p.ask.Blocks,
		PromptTokens:    p.ask.PromptTokens,
		MaxOutputTokens: p.ask.MaxOutputTokens,
		CacheScope:      p.view.table.CacheScope(tenant),
		TriedEngines:    map[string]bool{},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget(p.placing.Pool).CountRequest(clock.Now())
}

// timeoutOf is the shorter of what the caller waits and what the route allows.
func timeoutOf(ask RequestInfo, r *route.Route) int64 {
	timeout := ask.TimeoutUS
	if t := r.TimeoutUS; t > 0 && (timeout <= 0 || t < timeout) {
		timeout = t
	}
	if timeout <= 0 {
		return defaultTimeoutUS
	}
	return timeout
}

// poolOf draws a route's pool by weight, alike for every try of one name.
func poolOf(r *route.Route, name string) string {
	sum := 0
	for _, s := range r.Split {
		sum += s.Weight
	}
	if sum <= 0 {
		return ""
	}
	x := int(score(name, r.Name) >> 11 % uint64(sum))
	for _, s := range r.Split {
		if x -= s.Weight; x < 0 {
			return s.Pool
		}
	}
	return r.Split[len(r.Split)-1].Pool
}
