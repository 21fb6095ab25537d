package proxy

import (
	"net/http"
	"testing"
)

// TestKeepAlive: the time that an engine announces is used, less a margin; without a valid one the
// short default is used.
func TestKeepAlive(t *testing.T) {
	for value, want := range map[string]int64{
		"":                    shortIdleUS,
		"timeout=10":          10_000_000 - keepAliveSlackUS,
		"max=5, timeout=2":    2_000_000 - keepAliveSlackUS,
		"timeout=0":           -keepAliveSlackUS,
		"timeout=99999":       maxIdleUS,
		"timeout=soon, max=1": shortIdleUS,
	} {
		header := http.Header{}
		header.Set("Keep-Alive", value)
		if got := parseKeepAlive(header); got != want {
			t.Errorf("%q: %d, want %d", value, got, want)
		}
	}
}

// TestIdleLimit: a loss shortens the limit. Reuse after long idle times raises it again until only
// the engine's time counts; reuse after short idle times does not.
func TestIdleLimit(t *testing.T) {
	var limit engineIdleLimit
	const keep = 10_000_000
	if limit.apply(keep) != keep {
		t.Error("without a loss the engine's time is not used")
	}
	limit.recordLoss(2_000_000)
	if got := limit.apply(keep); got != 1_000_000 {
		t.Errorf("after the loss of one that was idle for 2 s: %d", got)
	}
	limit.recordLoss(5_000_000) // one that was idle for longer, lost as well
	if got := limit.apply(keep); got != 500_000 {
		t.Errorf("after another loss: %d", got)
	}
	for range 100 {
		limit.recordReuse(100_000)
	}
	if got := limit.apply(keep); got != 500_000 {
		t.Errorf("after reuse of connections that were idle only briefly: %d", got)
	}
	for range 100 {
		limit.recordReuse(limit.apply(keep))
	}
	if got := limit.apply(keep); got != keep {
		t.Errorf("after many reuses: %d", got)
	}
	for range 50 {
		limit.recordLoss(10)
	}
	if got := limit.apply(keep); got != minIdleUS {
		t.Errorf("after many losses: %d", got)
	}
}
