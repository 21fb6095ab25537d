package proxy

import (
	"context"

	"violetthread/internal/clock"
	"violetthread/route"
)

const (
	revocationSlackUS = 400_000 // kept back of the bound on revoked keys, for a request's own way
	minConfigAgeUS    = 500_000 // however short that bound is
	unboundedUS       = 1 << 49 // below unknownAgeUS: a configuration that is not known is too old all the same
)

// maxConfigAgeUS is the age beyond which a configuration may not be acted on: a key that it
// has may have been revoked, and that must be in force everywhere by then.
func (s *server) maxConfigAgeUS() int64 {
	if !s.settings.Bounds.RevocationGlobal {
		return unboundedUS
	}
	return max(s.settings.Bounds.RevocationUS-revocationSlackUS, minConfigAgeUS)
}

// updateReadiness says whether this proxy is ready, listens for callers once it is, and takes
// its share of the retry allowance.
func (s *server) updateReadiness(context.Context) {
	v := s.view.Load()
	now := clock.Now()
	if v.table == nil || v.age(now) > s.maxConfigAgeUS() {
		s.daemon.SetReady("the configuration is not known to be in force")
		return
	}
	if !s.seenEngines.Load() {
		s.daemon.SetReady("no engine is known yet")
		return
	}
	if err := s.listenOnce(v.table.Limits); err != nil {
		s.daemon.SetReady(err.Error())
		return
	}
	s.daemon.SetReady("")
	s.shareRetryAllowance(v.proxies)
}

// listenOnce opens the port for callers, unless it is open or the proxy stops.
func (s *server) listenOnce(limits route.Limits) error {
	if s.httpServer.Load() != nil || s.daemon.Stopping() {
		return nil
	}
	return s.listen(limits)
}

// shareRetryAllowance takes this proxy's share of the retry allowance, one of so many proxies.
func (s *server) shareRetryAllowance(proxies int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAllowance = float64(s.settings.Bounds.RetryAllowance) * retryShare / float64(proxies)
}
