package sim

import (
	"bytes"
	"strconv"
	"strings"

	"violetthread/route"
)

// ConfigRequest is a change of the configuration that an operator sends until it gets a
// definite answer. It changes version n to n+1, so that the versions in force form a chain
// without gaps.
type ConfigRequest struct {
	id             int
	change         route.Change
	version        uint64
	sentAt         int64 // time of the first send
	acknowledgedAt int64 // time of the first acknowledgement, 0 for none
	rejections     []interval
}

// interval is the span of true time between a request and its answer.
type interval struct{ from, to int64 }

// configRead is a read of the configuration that was answered.
type configRead struct {
	interval
	version uint64
}

// ConfigHistory checks, in true time, the answers that operators get about the configuration.
// It records which request was sent when and what was answered, and does not look into the
// nodes.
type ConfigHistory struct {
	world                   *World
	format                  ConfigFormat
	requests                []*ConfigRequest
	accepted                map[uint64]*ConfigRequest  // by version: the request known to have produced it
	inForceSince            map[uint64]int64           // by version: time from which it was certainly in force, or had been
	expected                map[uint64]*expectedConfig // by version: the result of applying the requests, starting from the first read
	reads                   []configRead
	newest                  uint64 // newest version that was acknowledged or read
	Acknowledged            int    // acknowledged requests
	AcknowledgedAfterResend int    // requests acknowledged after a resend
	Rejected                int    // rejections, of which a request may get several
	Reads                   int
	// MostBehind is the largest number of changes that were already in force on top of a
	// request at its first acknowledgement.
	MostBehind uint64
}

// expectedConfig is a configuration as its requests produce it.
type expectedConfig struct {
	document *route.Document // nil before the first configuration
	value    []byte          // value of the register
}

// NewConfigHistory starts the history of a world without a configuration.
func NewConfigHistory(world *World, format ConfigFormat) *ConfigHistory {
	return &ConfigHistory{
		world: world, format: format,
		accepted:     map[uint64]*ConfigRequest{},
		inForceSince: map[uint64]int64{},
		expected:     map[uint64]*expectedConfig{0: {}},
	}
}

// recordSent records a request that is about to be sent.
func (h *ConfigHistory) recordSent(request *ConfigRequest) {
	request.sentAt = h.world.now
	h.requests = append(h.requests, request)
}

// acknowledged records and checks an acknowledgement.
func (h *ConfigHistory) acknowledged(request *ConfigRequest, resent bool) {
	if request.acknowledgedAt == 0 {
		request.acknowledgedAt = h.world.now
		h.Acknowledged++
		if resent {
			h.AcknowledgedAfterResend++
		}
		if h.newest > request.version {
			h.MostBehind = max(h.MostBehind, h.newest-request.version)
		}
	}
	h.recordAccepted(request)
	h.recordInForce(request.version)
}

// recordAccepted records that a request produced its version. No two may produce the same one.
func (h *ConfigHistory) recordAccepted(request *ConfigRequest) {
	if other := h.accepted[request.version]; other != nil && other != request {
		h.world.Violation("two requests with one version", "requests %d and %d both produced version %d", other.id, request.id, request.version)
		return
	}
	h.accepted[request.version] = request
}

// recordInForce records that a version is in force now, or was before.
func (h *ConfigHistory) recordInForce(version uint64) {
	if _, ok := h.inForceSince[version]; !ok {
		h.inForceSince[version] = h.world.now
	}
	h.newest = max(h.newest, version)
}

// rejected records a rejection. Close checks whether it was justified.
func (h *ConfigHistory) rejected(request *ConfigRequest, from int64) {
	request.rejections = append(request.rejections, interval{from, h.world.now})
	h.Rejected++
}

// read checks the result of a read that was sent at a true time.
func (h *ConfigHistory) read(from int64, value []byte) {
	document, err := readConfig(value)
	if err != nil {
		h.world.Violation("unreadable", "%v", err)
		return
	}
	if floor := h.inForceAt(from); document.Version < floor {
		h.world.Violation("older configuration", "version %d was read at %d..%d, but %d was in force before", document.Version, from, h.world.now, floor)
	}
	h.Reads++
	h.reads = append(h.reads, configRead{interval{from, h.world.now}, document.Version})
	h.recordInForce(document.Version)
	if request := h.requestOf(document); request != nil {
		h.recordAccepted(request)
	}
	h.compare(document, value)
}

// requestOf returns the request that produced a configuration, identified by the key that each
// request adds.
func (h *ConfigHistory) requestOf(document *route.Document) *ConfigRequest {
	_, rest, found := strings.Cut(string(document.Text), keyPrefix)
	if !found {
		return nil
	}
	number, _, _ := strings.Cut(rest, `"`)
	id, err := strconv.Atoi(number)
	if err != nil || id < 1 || id > len(h.requests) || h.requests[id-1].version != document.Version {
		h.world.Violation("unknown request", "version %d contains the key of request %q", document.Version, number)
		return nil
	}
	return h.requests[id-1]
}

// readConfig decodes a register's value; an empty one means no configuration yet.
func readConfig(value []byte) (*route.Document, error) {
	if len(value) == 0 {
		return &route.Document{}, nil
	}
	return route.DecodeDocument(value)
}

// inForceAt returns the newest version that was certainly in force before a given time.
func (h *ConfigHistory) inForceAt(at int64) (version uint64) {
	for v := h.newest; v > 0; v-- {
		if since, ok := h.inForceSince[v]; ok && since < at {
			return v
		}
	}
	return 0
}

// replacedAt returns when a later version was first known to be in force, 0 if none is yet.
func (h *ConfigHistory) replacedAt(version uint64) (at int64) {
	for v := version + 1; v <= h.newest; v++ {
		if since, ok := h.inForceSince[v]; ok && (at == 0 || since < at) {
			at = since
		}
	}
	return at
}

// compare checks that a configuration that was read equals, byte for byte, the result of the
// accepted requests.
func (h *ConfigHistory) compare(document *route.Document, value []byte) {
	if document.Version == 0 {
		return
	}
	want, ok := h.expectedAt(document.Version)
	if !ok {
		// An earlier request without a definite answer was accepted. Only the text tells which
		// one.
		h.expected[document.Version] = &expectedConfig{document, value}
		return
	}
	if !bytes.Equal(want.value, value) {
		h.world.Violation("unexpected content", "version %d has %d bytes, expected %d", document.Version, len(value), len(want.value))
	}
}

// expectedAt returns the configuration that the requests known to be accepted produce for a
// version.
func (h *ConfigHistory) expectedAt(version uint64) (*expectedConfig, bool) {
	if d, ok := h.expected[version]; ok {
		return d, true
	}
	request := h.accepted[version]
	if request == nil {
		return nil, false
	}
	base, ok := h.expectedAt(version - 1)
	if !ok {
		return nil, false
	}
	next, out, _ := request.change.Apply(base.document, h.format.Translate, h.format.FieldNames)
	if out != route.Accepted {
		h.world.Violation("accepted on another base", "request %d is %v on version %d", request.id, out, version-1)
		return nil, false
	}
	h.expected[version] = &expectedConfig{next, next.Encode()}
	return h.expected[version], true
}

// Close checks the rejections, at the end of a run when all answers are known.
func (h *ConfigHistory) Close() {
	for _, request := range h.requests {
		for _, r := range request.rejections {
			h.checkRejection(request, r)
		}
	}
}

func (h *ConfigHistory) checkRejection(request *ConfigRequest, r interval) {
	if h.accepted[request.version] == request {
		h.world.Violation("accepted and rejected", "request %d for version %d, sent at %d, acknowledged at %d, was rejected at %d..%d", request.id, request.version, request.sentAt, request.acknowledgedAt, r.from, r.to)
		return
	}
	since, ok := h.inForceSince[request.change.Base]
	current := request.change.Base == 0 || ok && since < r.from
	if current && h.earliestReplacement(request.change.Base) > r.to {
		h.world.Violation("wrongly rejected", "request %d on version %d was rejected at %d..%d, while that version was current", request.id, request.change.Base, r.from, r.to)
	}
}

// earliestReplacement returns the earliest time at which a version may have been replaced: not
// before the first request that may have replaced it was sent, and not before the last read
// that returned the version was sent.
func (h *ConfigHistory) earliestReplacement(version uint64) int64 {
	at := int64(1) << 62
	for _, request := range h.requests {
		if request.change.Base == version && h.mayHaveProduced(request) {
			at = min(at, request.sentAt)
		}
	}
	for _, r := range h.reads {
		if r.version == version {
			at = max(at, r.from)
		}
	}
	return at
}

// mayHaveProduced reports whether a request may have produced its version. One that was
// rejected did not; if it did, checkRejection reports that.
func (h *ConfigHistory) mayHaveProduced(request *ConfigRequest) bool {
	t := h.accepted[request.version]
	return t == request || t == nil && len(request.rejections) == 0
}
