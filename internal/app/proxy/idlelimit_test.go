package proxy

import (
	"net/http"
	"testing"
)

// TestKeepAlive: the engine's word counts, less a slack; nothing or nonsense counts as short.
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
		if got := keepAlive(header); got != want {
			t.Errorf("%q: %d, want %d", value, got, want)
		}
	}
}

// TestIdleLimit: a loss shortens what is believed of idle connections, good ones lengthen it
// until the engine's word counts again; young ones prove nothing.
func TestIdleLimit(t *testing.T) {
	var limit idleLimit
	const keep = 10_000_000
	if limit.apply(keep) != keep {
		t.Error("without a loss the engine's word does not count")
	}
	limit.lost(2_000_000)
	if got := limit.apply(keep); got != 1_000_000 {
		t.Errorf("after the loss of one that was idle for 2 s: %d", got)
	}
	limit.lost(5_000_000) // an old one, lost with the others
	if got := limit.apply(keep); got != 500_000 {
		t.Errorf("after another loss: %d", got)
	}
	for range 100 {
		limit.proved(100_000)
	}
	if got := limit.apply(keep); got != 500_000 {
		t.Errorf("young connections prove nothing: %d", got)
	}
	for range 100 {
		limit.proved(limit.apply(keep))
	}
	if got := limit.apply(keep); got != keep {
		t.Errorf("after many that proved good: %d", got)
	}
	for range 50 {
		limit.lost(10)
	}
	if got := limit.apply(keep); got != minIdleUS {
		t.Errorf("however many are lost: %d", got)
	}
}
