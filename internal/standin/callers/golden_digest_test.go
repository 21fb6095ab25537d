package callers

import (
	"testing"

	"violetthread/internal/goldendigest"
)

// TestGoldenRequests checks, by a digest, that a seed still gives the same requests.
func TestGoldenRequests(t *testing.T) {
	digest := goldendigest.New()
	for _, settings := range []Settings{
		{Scenario: "selat", Seed: 5, Rate: 200, ResendPermille: 300, HangUpPermille: 100},
		{Scenario: "subtitulos", Seed: 7, Rate: 40, ResendPermille: 50, Skew: true},
	} {
		settings.Proxies = []string{"proxy-1", "proxy-2", "proxy-3"}
		source := newRequestSource(settings)
		for range 300 {
			drawn := source.next()
			digest.Text(drawn.Group)
			digest.Text(drawn.Kind)
			digest.Text(drawn.ID)
			digest.Text(drawn.Proxy)
			digest.Text(drawn.resendTo)
			digest.Text(drawn.prompt)
			digest.Number(drawn.DueUS)
			digest.Flag(drawn.OnceOnly)
			digest.Flag(drawn.HangsUp)
			digest.Number(source.interarrivalUS())
		}
	}
	digest.Compare(t)
}
