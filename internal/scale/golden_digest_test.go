package scale

import (
	"testing"

	"violetthread/internal/goldendigest"
)

// TestGoldenConfig: configurations and changes have the same bytes as ever, or figures of
// earlier runs could not be compared.
func TestGoldenConfig(t *testing.T) {
	digest := goldendigest.New()
	for _, size := range []Size{{Tenants: 1}, {Tenants: 200}, Defaults().Size} {
		for version := range 3 {
			digest.Text(string(configText(size, version)))
			digest.Text(string(patchText(version)))
		}
	}
	digest.Compare(t)
}
