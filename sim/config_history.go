package sim

import (
	"bytes"
	"strconv"
	"strings"

	"violetthread/route"
)

// ConfigRequest is a change of the configuration that an operator sends until it has a clear
// answer. It leads from version base to base+1, so that the versions in force form one
// chain without gaps.
type ConfigRequest struct {
	id             int
	change         route.Change
	version        uint64
	sentAt         int64 // for the first time
	acknowledgedAt int64 // for the first time, 0 for never
	rejections     []interval
}

// interval is a span of true time: of a question and its answer.
type interval struct{ from, to int64 }

// configRead is one reading of the configuration that had an answer.
type configRead struct {
	interval
	version uint64
}

// ConfigHistory judges in true time what operators are told about the configuration.
// It knows which order was sent when and what was answered, and nothing of the nodes.
type ConfigHistory struct {
	world                   *World
	format                  ConfigFormat
	requests                []*ConfigRequest
	accepted                map[uint64]*ConfigRequest  // version: the order known to lead to it
	inForceSince            map[uint64]int64           // version: since when it was certainly in force once
	expected                map[uint64]*expectedConfig // as the orders make them, from the first read on
	reads                   []configRead
	newest                  uint64 // version that was acknowledged or read
	Acknowledged            int    // orders acknowledged
	AcknowledgedAfterResend int    // orders acknowledged after a resend
	Rejected                int    // rejections of orders
	Reads                   int
	// MostBehind is the most changes that were in force after an order when it was
	// acknowledged for the first time.
	MostBehind uint64
}

// expectedConfig is a configuration as its orders make it.
type expectedConfig struct {
	document *route.Document // nil before the first one
	value    []byte          // as its register holds it
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

// begin notes an order that is about to be sent.
func (h *ConfigHistory) recordSent(request *ConfigRequest) {
	request.sentAt = h.world.now
	h.requests = append(h.requests, request)
}

// acknowledged checks an acknowledgement.
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

// link holds that one order leads to a version.
func (h *ConfigHistory) recordAccepted(request *ConfigRequest) {
	if other := h.accepted[request.version]; other != nil && other != request {
		h.world.Violation("two under one number", "orders %d and %d both are version %d", other.id, request.id, request.version)
		return
	}
	h.accepted[request.version] = request
}

// seen notes that a version is in force, or was.
func (h *ConfigHistory) recordInForce(version uint64) {
	if _, ok := h.inForceSince[version]; !ok {
		h.inForceSince[version] = h.world.now
	}
	h.newest = max(h.newest, version)
}

// rejected notes a rejection; whether it was right shows at the end.
func (h *ConfigHistory) rejected(request *ConfigRequest, from int64) {
	request.rejections = append(request.rejections, interval{from, h.world.now})
	h.Rejected++
}

// read judges a reading that was asked for at a true time.
func (h *ConfigHistory) read(from int64, value []byte) {
	document, err := readConfig(value)
	if err != nil {
		h.world.Violation("unreadable", "%v", err)
		return
	}
	if floor := h.inForceAt(from); document.Version < floor {
		h.world.Violation("older configuration", "version %d was read at %d..%d, %d was in force before", document.Version, from, h.world.now, floor)
	}
	h.Reads++
	h.reads = append(h.reads, configRead{interval{from, h.world.now}, document.Version})
	h.recordInForce(document.Version)
	if request := h.requestOf(document); request != nil {
		h.recordAccepted(request)
	}
	h.compare(document, value)
}

// requestOf is the order that made a configuration: each brings a key of its own.
func (h *ConfigHistory) requestOf(document *route.Document) *ConfigRequest {
	_, rest, found := strings.Cut(string(document.Text), keyPrefix)
	if !found {
		return nil
	}
	number, _, _ := strings.Cut(rest, `"`)
	id, err := strconv.Atoi(number)
	if err != nil || id < 1 || id > len(h.requests) || h.requests[id-1].version != document.Version {
		h.world.Violation("an order that nobody sent", "version %d holds the key of %q", document.Version, number)
		return nil
	}
	return h.requests[id-1]
}

// readConfig reads a register's value; an empty one is no configuration yet.
func readConfig(value []byte) (*route.Document, error) {
	if len(value) == 0 {
		return &route.Document{}, nil
	}
	return route.DecodeDocument(value)
}

// inForceAt is the newest version that was certainly in force before a time.
func (h *ConfigHistory) inForceAt(at int64) (version uint64) {
	for v := h.newest; v > 0; v-- {
		if since, ok := h.inForceSince[v]; ok && since < at {
			return v
		}
	}
	return 0
}

// replacedAt is when a later version than this was known to be in force, 0 for not yet.
func (h *ConfigHistory) replacedAt(version uint64) (at int64) {
	for v := version + 1; v <= h.newest; v++ {
		if since, ok := h.inForceSince[v]; ok && (at == 0 || since < at) {
			at = since
		}
	}
	return at
}

// compare holds what was read against what the orders taken make, to the byte.
func (h *ConfigHistory) compare(document *route.Document, value []byte) {
	if document.Version == 0 {
		return
	}
	want, ok := h.expectedAt(document.Version)
	if !ok {
		// An order without a clear answer was taken on the way: which one, only the
		// text tells.
		h.expected[document.Version] = &expectedConfig{document, value}
		return
	}
	if !bytes.Equal(want.value, value) {
		h.world.Violation("read back as something else", "version %d is %d bytes, the orders make %d", document.Version, len(value), len(want.value))
	}
}

// expectedAt is what the orders known to be taken make of a version.
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
		h.world.Violation("taken on another base", "order %d is %v on version %d", request.id, out, version-1)
		return nil, false
	}
	h.expected[version] = &expectedConfig{next, next.Encode()}
	return h.expected[version], true
}

// Close judges the rejections, once all is known that will be.
func (h *ConfigHistory) Close() {
	for _, request := range h.requests {
		for _, r := range request.rejections {
			h.checkRejection(request, r)
		}
	}
}

func (h *ConfigHistory) checkRejection(request *ConfigRequest, r interval) {
	if h.accepted[request.version] == request {
		h.world.Violation("taken and refused", "order %d for version %d, sent at %d, acknowledged at %d, was refused at %d..%d", request.id, request.version, request.sentAt, request.acknowledgedAt, r.from, r.to)
		return
	}
	since, ok := h.inForceSince[request.change.Base]
	current := request.change.Base == 0 || ok && since < r.from
	if current && h.earliestReplacement(request.change.Base) > r.to {
		h.world.Violation("refused wrongly", "order %d on version %d was refused at %d..%d, and that was current", request.id, request.change.Base, r.from, r.to)
	}
}

// earliestReplacement is the earliest time at which a version may have been replaced: the
// order that did it was sent by then, and who read the version did so before.
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

// mayHaveProduced tells whether an order may have led to its version. One that was rejected did
// not, or that is a fault of its own.
func (h *ConfigHistory) mayHaveProduced(request *ConfigRequest) bool {
	t := h.accepted[request.version]
	return t == request || t == nil && len(request.rejections) == 0
}
