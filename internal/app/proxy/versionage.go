package proxy

// checkVersionAge tells operators that the answer began, at the time now, on weights that had
// to be replaced by then. The proxy sees the first event, which comes a little later than the
// engine began.
func (a *engineAttempt) checkVersionAge(now int64) {
	s, f := a.forwarded.server, a.forwarded
	supersededAt, superseded := s.view.Load().supersededAt(f.info.Model, a.choice.Version)
	if !superseded || now-supersededAt <= s.settings.Bounds.VersionApplyUS {
		return
	}
	s.counts.outdated.Add(1)
	s.daemon.Log.Info("answer_outdated", "engine", a.choice.Engine.ID, "model", f.info.Model, "version", a.choice.Version,
		"age_us", now-supersededAt, "sent_age_us", a.choice.SentAt()-supersededAt)
}
