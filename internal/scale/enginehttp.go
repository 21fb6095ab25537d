package scale

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
)

const (
	maxEventsPerPage = 4096 // events in one answer
	weightsVersion   = 1    // that all engines run
	slots            = 32   // of an engine
)

func (es *Engines) listHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/instances", es.serveList)
	return mux
}

// engineHandler serves all engines; engineOf tells which one is asked.
func (es *Engines) engineHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/kv-events", es.serveEvents)
	mux.HandleFunc("/report", es.serveReport)
	mux.HandleFunc("/order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) })
	return mux
}

// The platform's messages, as its adapter reads them; fields are in the order of their names.
type (
	runningModel struct {
		Name    string `json:"name"`
		Version uint64 `json:"version"`
	}
	instance struct {
		Address    string         `json:"address"`
		Capacity   int            `json:"capacity"`
		InstanceID string         `json:"instance-id"`
		Models     []runningModel `json:"models"`
		Service    string         `json:"service"`
		State      string         `json:"state"`
		Zone       string         `json:"zone"`
	}
	instanceList struct {
		Instances []instance `json:"instances"`
	}
	report struct {
		Models    []runningModel `json:"models"`
		Saturated bool           `json:"saturated"`
	}
)

func (es *Engines) serveList(w http.ResponseWriter, _ *http.Request) {
	var list instanceList
	for _, e := range es.all {
		list.Instances = append(list.Instances, e.instance())
	}
	daemon.WriteJSON(w, http.StatusOK, list)
}

func (e *engine) models() []runningModel { return []runningModel{{e.model, weightsVersion}} }

func (e *engine) instance() instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "serving"
	if e.draining {
		state = "draining"
	}
	return instance{
		Address:    e.addr,
		Capacity:   slots,
		InstanceID: e.id,
		Models:     e.models(),
		Service:    e.pool,
		State:      state,
		Zone:       e.zone,
	}
}

// engineOf is the engine at the address that a request came to.
func (es *Engines) engineOf(request *http.Request) *engine {
	addr, _ := request.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if addr == nil {
		return nil
	}
	return es.byAddr[addr.String()]
}

func (es *Engines) serveReport(w http.ResponseWriter, request *http.Request) {
	daemon.WriteJSON(w, http.StatusOK, report{Models: es.engineOf(request).models()})
}

// serveEvents answers a question for cache events, held until there are some.
func (es *Engines) serveEvents(w http.ResponseWriter, request *http.Request) {
	e := es.engineOf(request)
	since, _ := strconv.Atoi(request.URL.Query().Get("since"))
	holdMS, _ := strconv.ParseInt(request.Header.Get("Wait-Ms"), 10, 64)
	ctx, stop := context.WithTimeout(request.Context(), clock.Duration(holdMS*1000))
	defer stop()
	e.waitForEvents(ctx, since)
	body := e.eventPage(since)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// waitForEvents returns once the log is longer than since, or when ctx ends.
func (e *engine) waitForEvents(ctx context.Context, since int) {
	for {
		e.mu.Lock()
		changed, logged := e.changed, len(e.log)
		e.mu.Unlock()
		if logged > since || ctx.Err() != nil {
			return
		}
		taskgroup.Receive(ctx, changed)
	}
}

// eventPage writes the events after the first since ones. An event is an array of values of
// several types, which is why it is formatted here.
func (e *engine) eventPage(since int) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	since = min(max(since, 0), len(e.log))
	page := e.log[since:min(len(e.log), since+maxEventsPerPage)]
	next := since + len(page)
	body := fmt.Appendf(nil, `{"boot-epoch":%d,"next-page-token":%d,"missing":false,"events":[`, e.bootEpoch, next)
	for i, event := range page {
		op := "-"
		if event.cached {
			op = "+"
		}
		if i > 0 {
			body = append(body, ',')
		}
		body = fmt.Appendf(body, `[%d,%q,%q,%q,256,%q]`, since+i+1, op, e.salt(), e.blockID(event.block), e.model)
	}
	return append(body, "]}"...)
}
