package placement

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// figures lists the figures of a cost model by the names that operators use.
func (m *CostModel) figures() map[string]any {
	return map[string]any{
		"prefill-tokens-per-ms":  &m.PrefillTokensPerMS,
		"transfer-tokens-per-ms": &m.TransferTokensPerMS,
		"transfer-setup-us":      &m.TransferSetupUS,
		"transfer-penalty-us":    &m.TransferPenaltyUS,
		"affinity-penalty-us":    &m.AffinityPenaltyUS,
		"other-zone-share":       &m.OtherZoneShare,
		"new-connection-share":   &m.NewConnectionShare,
		"running-penalty-us":     &m.RunningPenaltyUS,
		"waiting-penalty-us":     &m.WaitingPenaltyUS,
		"read-twice-factor":      &m.DuplicatePrefillFactor,
		"failure-us":             &m.FailurePenaltyUS,
		"other-failures":         &m.OtherFailureWeight,
		"memory-pressure-from":   &m.MemoryPressureThreshold,
		"memory-pressure-us":     &m.MemoryPressurePenaltyUS,
		"min-prefill-left":       &m.MinPrefillRemaining,
		"load-max-age-us":        &m.LoadMaxAgeUS,
	}
}

// Override sets the figures that text names, as in "other-zone-share=0.1,transfer-setup-us=0".
// An error names what can't be read; the model is then left as it was.
func (m *CostModel) Override(text string) error {
	changed := *m
	figures := changed.figures()
	for _, item := range strings.Split(text, ",") {
		if strings.TrimSpace(item) == "" {
			continue
		}
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if figures[name] == nil {
			return trace.BadParameter("no figure of the cost model is called %q; use any of %s", name, strings.Join(slices.Sorted(maps.Keys(figures)), ","))
		}
		if err := setFigure(figures[name], value); err != nil {
			return trace.BadParameter("%s: %q is no number above or equal to 0", name, value)
		}
	}
	*m = changed
	return nil
}

// setFigure sets a figure, which is a *float64 or a *int64.
func setFigure(figure any, text string) error {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value < 1<<50) {
		return trace.BadParameter("no such figure")
	}
	switch figure := figure.(type) {
	case *float64:
		*figure = value
	case *int64:
		*figure = int64(value)
	}
	return nil
}
