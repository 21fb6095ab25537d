package engine

import (
	"container/list"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"sync"

	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
)

type engine struct {
	settings    Settings
	daemon      *daemon.Daemon
	client      *engineapi.Client
	incarnation uint64

	mu           sync.Mutex // guards the fields below
	blocks       map[string]*cachedBlock
	lru          *list.List // of *cachedBlock, most recently used first
	events       []engineapi.Event
	lastSeq      uint64 // sequence number of the newest event, lost ones included
	weights      string
	nextWeights  string // weights being loaded; empty when no load is in progress
	running      int
	fencingToken uint64 // highest token accepted so far
	observed     Observations
	slowUS       int64 // moving average of the time to the first piece
	random       randomSource
}

// NewDaemon creates an engine or store that starts serving when its Run is called.
func NewDaemon(settings Settings) (*daemon.Daemon, error) {
	e, err := newEngine(settings)
	if err != nil {
		return nil, err
	}
	return e.daemon, nil
}

func newEngine(settings Settings) (*engine, error) {
	incarnation, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	e := &engine{
		settings:    settings,
		daemon:      daemon.New("engine", settings.Name, settings.HTTPAddr, settings.DrainUS),
		client:      engineapi.NewClient(),
		incarnation: incarnation,
		blocks:      map[string]*cachedBlock{},
		lru:         list.New(),
		weights:     settings.Weights,
		observed:    Observations{Name: settings.Name},
		random:      newRandomSource(settings.Seed),
	}
	e.daemon.Handle("/v1/run", e.serveRun)
	e.daemon.Handle("/v1/report", e.serveReport)
	e.daemon.Handle("/v1/keeps", e.serveHoldings)
	e.daemon.Handle("/v1/weights", e.serveWeights)
	e.daemon.Handle("/v1/export", e.serveExport)
	e.daemon.Handle("/v1/import", e.serveImport)
	e.daemon.Handle("/v1/put", e.servePut)
	e.daemon.Handle("/v1/seen", e.serveObservations)
	e.daemon.SetReady("")
	return e, nil
}

// newIncarnation returns a random 63-bit number that identifies this start of the engine.
func newIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(b[:]) >> 1, nil
}

// rejection is the reason for rejecting a request, with the HTTP status of the response.
type rejection struct {
	status int
	reason string
}

// Rejections defined in docs/engine-protocol.md.
var (
	rejectMalformed        = rejection{http.StatusBadRequest, "malformed"}
	rejectStore            = rejection{http.StatusServiceUnavailable, "store"}
	rejectBusy             = rejection{http.StatusServiceUnavailable, "busy"}
	rejectOtherIncarnation = rejection{http.StatusConflict, "other-life"}
	rejectOldToken         = rejection{http.StatusConflict, "old-epoch"}
	rejectOtherWeights     = rejection{http.StatusConflict, "other-weights"}
	rejectNotCached        = rejection{http.StatusNotFound, "not-kept"}
	rejectNotFetched       = rejection{http.StatusBadGateway, "not-fetched"}
)

func (r rejection) write(w http.ResponseWriter) {
	daemon.WriteJSON(w, r.status, engineapi.Rejection{Reason: r.reason})
}

func writeOK(w http.ResponseWriter) { daemon.WriteJSON(w, http.StatusOK, "ok") }

// decodeBody decodes the JSON body of a request. If that fails it rejects the request and
// returns false.
func decodeBody(w http.ResponseWriter, request *http.Request, body any) bool {
	if json.NewDecoder(request.Body).Decode(body) != nil {
		rejectMalformed.write(w)
		return false
	}
	return true
}
