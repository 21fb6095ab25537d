package engine

import (
	"net/http"
	"strconv"

	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
)

// Event operations, as the protocol spells them.
const (
	opCached   = "keep"
	opEvicted  = "drop"
	opRunEnded = "ran"
)

const (
	maxEvents         = 4096 // kept in memory; beyond that the older half is discarded
	maxEventsInReport = 1024
)

// appendEvent gives an event the next sequence number and keeps it for reports. An event that
// is drawn to be lost uses up its number, so that reports show a gap. The caller holds e.mu.
func (e *engine) appendEvent(event engineapi.Event) {
	e.lastSeq++
	event.Seq = e.lastSeq
	if e.random.chance(e.settings.LostEventPermille) {
		return
	}
	e.events = append(e.events, event)
	if len(e.events) > maxEvents {
		e.events = append([]engineapi.Event(nil), e.events[maxEvents/2:]...)
	}
}

func (e *engine) serveReport(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	incarnation, _ := strconv.ParseUint(query.Get("inc"), 10, 64)
	e.mu.Lock()
	report := engineapi.Report{
		Name:        e.settings.Name,
		Incarnation: e.incarnation,
		Weights:     e.weights,
		Running:     e.running,
		Capacity:    e.settings.Capacity,
		SlowUS:      e.slowUS,
		LastSeq:     e.lastSeq,
	}
	if e.nextWeights != "" {
		report.Capacity = 0
	}
	if incarnation == e.incarnation {
		report.Events = e.eventsAfter(after)
	}
	e.mu.Unlock()
	daemon.WriteJSON(w, http.StatusOK, report)
}

// eventsAfter returns the events of one report, without the newer half if the report is drawn
// to withhold them. The caller holds e.mu.
func (e *engine) eventsAfter(seq uint64) (events []engineapi.Event) {
	for _, event := range e.events {
		if event.Seq > seq && len(events) < maxEventsInReport {
			events = append(events, event)
		}
	}
	if len(events) > 1 && e.random.chance(e.settings.WithheldPermille) {
		events = events[:len(events)/2]
	}
	return events
}

func (e *engine) serveHoldings(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	holdings := engineapi.Holdings{Incarnation: e.incarnation, Seq: e.lastSeq, Blocks: make([]string, 0, len(e.blocks))}
	for name := range e.blocks {
		holdings.Blocks = append(holdings.Blocks, name)
	}
	e.mu.Unlock()
	daemon.WriteJSON(w, http.StatusOK, holdings)
}
