package placement

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Mechanism is a part of the policy that can be disabled, in order to measure its benefit.
type Mechanism string

// The mechanisms.
const (
	Affinity         Mechanism = "affinity"          // requests whose blocks are cached nowhere are sent to the blocks' home
	PeerTransfer     Mechanism = "peer-transfer"     // engines fetch cached blocks from each other
	StoreTransfer    Mechanism = "store-transfer"    // engines fetch cached blocks from stores
	PendingReads     Mechanism = "pending-reads"     // requests are sent to the engine that is computing their blocks
	PromptHints      Mechanism = "prompt-hints"      // proxies notify each other of the blocks that engines have computed for them
	StoreFill        Mechanism = "store-fill"        // engines send computed blocks to stores
	MemoryPressure   Mechanism = "memory-pressure"   // engines with high memory use are avoided
	OtherLoads       Mechanism = "other-loads"       // loads reported by other proxies are included
	PromptLoads      Mechanism = "prompt-loads"      // loads are reported as they change
	ReportedLoads    Mechanism = "reported-loads"    // queue lengths reported by engines are included
	Ejection         Mechanism = "ejection"          // engines that failed or rejected a request are excluded for a time
	SharedFailures   Mechanism = "shared-failures"   // failures seen by other proxies are included
	ZonePreference   Mechanism = "zone-preference"   // engines in the proxy's zone are preferred
	ConnectionReuse  Mechanism = "connection-reuse"  // engines with an idle connection are preferred
	LearnedSpeed     Mechanism = "learned-speed"     // the prefill speed of engines is learned from their responses
	LinkSpeed        Mechanism = "link-speed"        // transfers are estimated from the links' configured speeds
	LongKeepAlive    Mechanism = "long-keep-alive"   // idle connections are kept for the time that the engine advertises
	RequestPriority  Mechanism = "request-priority"  // the priority of a request is passed to the engine
	StreamResumption Mechanism = "stream-resumption" // an interrupted stream is resumed at another engine
)

// Mechanisms returns all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Affinity, PeerTransfer, StoreTransfer, PendingReads, PromptHints, StoreFill, MemoryPressure, OtherLoads, PromptLoads, ReportedLoads, Ejection,
		SharedFailures, ZonePreference, ConnectionReuse, LearnedSpeed, LinkSpeed, LongKeepAlive, RequestPriority, StreamResumption,
	}
}

// Policy selects the mechanisms that are enabled. The zero value enables all of them.
type Policy struct {
	disabled []Mechanism
}

// ParsePolicy parses a comma-separated list of the mechanisms to disable.
func ParsePolicy(off string) (Policy, error) {
	var policy Policy
	for _, name := range strings.Split(off, ",") {
		mechanism := Mechanism(strings.TrimSpace(name))
		if mechanism == "" {
			continue
		}
		if !slices.Contains(Mechanisms(), mechanism) {
			return Policy{}, trace.BadParameter("unknown mechanism %q; valid mechanisms are %s", mechanism, MechanismNames())
		}
		policy.disabled = append(policy.disabled, mechanism)
	}
	return policy, nil
}

// MechanismNames returns the names of all mechanisms, separated by commas.
func MechanismNames() string {
	var names []string
	for _, mechanism := range Mechanisms() {
		names = append(names, string(mechanism))
	}
	return strings.Join(names, ",")
}

// Uses reports whether a mechanism is enabled.
func (p Policy) Uses(mechanism Mechanism) bool { return !slices.Contains(p.disabled, mechanism) }

// Disabled returns the names of the disabled mechanisms, separated by commas.
func (p Policy) Disabled() string {
	var names []string
	for _, mechanism := range p.disabled {
		names = append(names, string(mechanism))
	}
	return strings.Join(names, ",")
}
