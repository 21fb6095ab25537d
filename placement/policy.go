package placement

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// Mechanism is a part of the policy that can be switched off, to measure what it is worth.
type Mechanism string

// The mechanisms.
const (
	Affinity         Mechanism = "affinity"          // a block that nobody has goes to its home
	PeerTransfer     Mechanism = "peer-transfer"     // engines fetch cached blocks from each other
	StoreTransfer    Mechanism = "store-transfer"    // engines fetch cached blocks from stores
	PendingReads     Mechanism = "pending-reads"     // blocks that an engine computes now draw requests there
	PromptHints      Mechanism = "prompt-hints"      // proxies tell each other what engines have read for them
	StoreFill        Mechanism = "store-fill"        // engines send what they computed to stores
	MemoryPressure   Mechanism = "memory-pressure"   // full engines are avoided
	OtherLoads       Mechanism = "other-loads"       // loads that other proxies reported count
	PromptLoads      Mechanism = "prompt-loads"      // loads are reported as they change
	ReportedLoads    Mechanism = "reported-loads"    // queues that engines reported count
	Ejection         Mechanism = "ejection"          // an engine that failed or rejected is left alone
	SharedFailures   Mechanism = "shared-failures"   // failures that other proxies saw count
	ZonePreference   Mechanism = "zone-preference"   // engines in the proxy's zone are preferred
	ConnectionReuse  Mechanism = "connection-reuse"  // engines with an idle connection are preferred
	LearnedSpeed     Mechanism = "learned-speed"     // how fast engines are is learned from their answers
	LinkSpeed        Mechanism = "link-speed"        // transfers are estimated from the links' configured speeds
	LongKeepAlive    Mechanism = "long-keep-alive"   // idle connections are kept as long as the engine says
	RequestPriority  Mechanism = "request-priority"  // engines are told the priority of a request
	StreamResumption Mechanism = "stream-resumption" // a broken stream goes on at another engine
)

// Mechanisms lists all of them.
func Mechanisms() []Mechanism {
	return []Mechanism{
		Affinity, PeerTransfer, StoreTransfer, PendingReads, PromptHints, StoreFill, MemoryPressure, OtherLoads, PromptLoads, ReportedLoads, Ejection,
		SharedFailures, ZonePreference, ConnectionReuse, LearnedSpeed, LinkSpeed, LongKeepAlive, RequestPriority, StreamResumption,
	}
}

// Policy says which mechanisms are in use. The zero value uses all of them.
type Policy struct {
	off []Mechanism
}

// ParsePolicy reads the names of the mechanisms that are switched off, split by commas.
func ParsePolicy(off string) (Policy, error) {
	var policy Policy
	for _, name := range strings.Split(off, ",") {
		mechanism := Mechanism(strings.TrimSpace(name))
		if mechanism == "" {
			continue
		}
		if !slices.Contains(Mechanisms(), mechanism) {
			return Policy{}, trace.BadParameter("no mechanism is called %q; use any of %s", mechanism, MechanismNames())
		}
		policy.off = append(policy.off, mechanism)
	}
	return policy, nil
}

// MechanismNames lists the names of all mechanisms, split by commas.
func MechanismNames() string {
	var names []string
	for _, mechanism := range Mechanisms() {
		names = append(names, string(mechanism))
	}
	return strings.Join(names, ",")
}

// Uses reports whether a mechanism is in use.
func (p Policy) Uses(mechanism Mechanism) bool { return !slices.Contains(p.off, mechanism) }

// Disabled lists the mechanisms that are switched off, split by commas.
func (p Policy) Disabled() string {
	var names []string
	for _, mechanism := range p.off {
		names = append(names, string(mechanism))
	}
	return strings.Join(names, ",")
}
