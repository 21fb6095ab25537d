package sim

import (
	"violetthread/route"
)

// decideFunc decides a register's next value from its current one. If next is nil, the reply
// is final; otherwise it is valid once next is in force.
type decideFunc func(value []byte, revision uint64) (next []byte, reply Reply)

// ConfigFormat decodes operators' configurations. Tests pass in the platform's format, which
// this package does not import: an adapter imports the product, never the other way round.
type ConfigFormat struct {
	Translate  func([]byte) (route.Config, []route.Finding)
	FieldNames route.FieldNames
}

// changeConfiguration decides a change of the configuration.
func changeConfiguration(change route.Change, format ConfigFormat) decideFunc {
	return func(value []byte, revision uint64) ([]byte, Reply) {
		var current *route.Document
		version := uint64(0)
		if revision != 0 {
			document, err := route.DecodeDocument(value)
			if err != nil {
				return nil, Reply{Outcome: OutcomeUnknown}
			}
			current, version = document, document.Version
		}
		next, out, _ := change.Apply(current, format.Translate, format.FieldNames)
		switch out {
		case route.Accepted:
			return next.Encode(), Reply{OutcomeAccepted, next.Version}
		case route.Duplicate:
			return nil, Reply{OutcomeAccepted, version}
		case route.Stale:
			return nil, Reply{OutcomeStale, version}
		case route.Undecidable:
			return nil, Reply{Outcome: OutcomeUnknown}
		default:
			return nil, Reply{OutcomeInvalid, version}
		}
	}
}

// changeWeights decides the addition of a version of a model's weights.
func changeWeights(model string, version uint64) decideFunc {
	return func(value []byte, revision uint64) ([]byte, Reply) {
		current := &route.WeightVersions{}
		if revision != 0 {
			versions, err := route.DecodeWeights(value)
			if err != nil {
				return nil, Reply{Outcome: OutcomeUnknown}
			}
			current = versions
		}
		next, finding := current.Add(model, version)
		switch {
		case finding != nil:
			return nil, Reply{Outcome: OutcomeInvalid}
		case next == nil:
			return nil, Reply{OutcomeAccepted, current.Latest(model)}
		default:
			return next.Encode(), Reply{OutcomeAccepted, version}
		}
	}
}
