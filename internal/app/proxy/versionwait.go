package proxy

import (
	"errors"
	"math"
	"os"
	"time"

	"violetthread/internal/clock"
)

// An attempt may begin on a version of a model's weights until the bound on the newer ones. When
// it begins its engine decides: it may be queued there for as long as its caller waits. So the
// bound is looked at three times: when the engine is selected (minVersion), when the request is
// written (engineAttempt.exchange), and for as long as the engine has not begun. What is
// still queued shortly before the bound is withdrawn: its connection is reset.
const (
	// dispatchSlackUS is how long before the bound engines on older weights get nothing new.
	dispatchSlackUS = 800_000
	// withdrawSlackUS is how long before the bound what has not begun is withdrawn. The reset
	// must reach the engine in time, also from a busy proxy.
	withdrawSlackUS = 400_000
)

// noBeginLimit is the time before which an attempt must begin whose weights nothing supersedes.
const noBeginLimit = math.MaxInt64

// minVersion is the oldest version of a model that an attempt may be sent to at the time now.
func (s *server) minVersion(now int64, model string) uint64 {
	return s.view.Load().minVersion(now, model, s.settings.Bounds.VersionLimits().ReducedBy(dispatchSlackUS))
}

// beginLimit is the time at which an attempt on a version of a model is withdrawn unless it has
// begun.
func (s *server) beginLimit(model string, version uint64) int64 {
	limits := s.settings.Bounds.VersionLimits().ReducedBy(withdrawSlackUS)
	until, superseded := s.view.Load().usableUntil(model, version, limits)
	if !superseded {
		return noBeginLimit
	}
	return until
}

// beginLimit is the attempt's own. Without a model it has none.
func (a *engineAttempt) beginLimit() int64 {
	if a.forwarded.info.Model == "" {
		return noBeginLimit
	}
	return a.forwarded.server.beginLimit(a.forwarded.info.Model, a.choice.Version)
}

// answerLimit is the time at which the attempt is given up, whether it has begun or not.
func (a *engineAttempt) answerLimit() int64 { return a.forwarded.deadline + lateAnswerUS }

// waitLimit is until when the attempt waits before it looks again whether it may go on waiting.
// A version that is announced from now on can end the wait no sooner than its own bound.
func (a *engineAttempt) waitLimit(now int64) int64 {
	newlyAnnounced := now + a.forwarded.server.settings.Bounds.VersionLimits().Shortest() - withdrawSlackUS
	return min(a.answerLimit(), a.beginLimit(), newlyAnnounced)
}

// setLimit bounds the connection's reads and writes by a time.
func (a *engineAttempt) setLimit(now, limit int64) {
	_ = a.conn.SetDeadline(time.Now().Add(clock.Duration(limit - now)))
}

// mayWaitOn tells whether the attempt may go on waiting for its engine to begin after a read
// failed with err. It may if the read only reached its waitLimit.
func (a *engineAttempt) mayWaitOn(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	now := clock.Now()
	a.setLimit(now, a.answerLimit())
	switch {
	case now >= a.answerLimit():
		return false
	case !a.conn.quiet():
		return true // it has begun meanwhile: this process may have stood still
	case now >= a.beginLimit():
		a.withdrawn = true
		return false
	}
	a.setLimit(now, a.waitLimit(now))
	return true
}

// awaitBegin waits until something of an answer's body has arrived: an engine may send the head
// of a stream before it begins. From then on the answer may take until the answerLimit.
func (a *engineAttempt) awaitBegin() bool {
	for {
		_, err := a.conn.br.Peek(1)
		if err == nil {
			a.setLimit(clock.Now(), a.answerLimit())
			return true
		}
		if !a.mayWaitOn(err) {
			return false
		}
	}
}

// checkVersionAge tells operators that the answer began, at the time now, on weights that had
// to be replaced by then. The proxy sees the first event, which comes a little later than the
// engine began.
func (a *engineAttempt) checkVersionAge(now int64) {
	s, f := a.forwarded.server, a.forwarded
	until, superseded := s.view.Load().usableUntil(f.info.Model, a.choice.Version, s.settings.Bounds.VersionLimits())
	if !superseded || now <= until {
		return
	}
	s.counts.outdated.Add(1)
	s.daemon.Log.Info("answer_outdated", "engine", a.choice.Engine.ID, "model", f.info.Model, "version", a.choice.Version,
		"late_us", now-until, "waited_us", now-a.choice.SentAt())
}
