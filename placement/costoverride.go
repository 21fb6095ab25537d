package placement

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// parameters maps the names that operators use to the parameters of the cost model.
func (m *CostModel) parameters() map[string]any {
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

// Override sets parameters from a comma-separated list, as in
// "other-zone-share=0.1,transfer-setup-us=0". On error the model is unchanged; the error names
// the parameter that is unknown or has an invalid value.
func (m *CostModel) Override(text string) error {
	changed := *m
	parameters := changed.parameters()
	for _, item := range strings.Split(text, ",") {
		if strings.TrimSpace(item) == "" {
			continue
		}
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if parameters[name] == nil {
			return trace.BadParameter("unknown cost model parameter %q; valid parameters are %s", name, strings.Join(slices.Sorted(maps.Keys(parameters)), ","))
		}
		if err := setParameter(parameters[name], value); err != nil {
			return trace.BadParameter("%s: %q is not a non-negative number below 2^50", name, value)
		}
	}
	*m = changed
	return nil
}

// setParameter parses text into a parameter, which is a *float64 or an *int64.
func setParameter(parameter any, text string) error {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value < 1<<50) {
		return trace.BadParameter("invalid parameter value")
	}
	switch parameter := parameter.(type) {
	case *float64:
		*parameter = value
	case *int64:
		*parameter = int64(value)
	}
	return nil
}
