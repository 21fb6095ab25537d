// Package engineapi is how engines, the store and the platform are spoken to:
// HTTP/1.1 with JSON, as docs/engine-protocol.md describes it.
package engineapi

import (
	"encoding/binary"
	"encoding/hex"

	"violetthread/cacheindex"
)

// Run is the body of POST /v1/run. The answer is a stream of Line, one JSON
// object a line. An answer other than 200 with a Refusal proves that the run
// did not and will not begin.
type RunRequest struct {
	Attempt      string    `json:"attempt"`
	RequestID    string    `json:"ticket"`
	Group        string    `json:"group"`
	Kind         string    `json:"kind"`
	Domain       string    `json:"domain"`
	Weights      string    `json:"weights"`
	FencingToken uint64    `json:"epoch"`
	NodeID       uint64    `json:"id,string"`
	Prompt       string    `json:"prompt"`
	Blocks       []string  `json:"parts"`
	Transfer     *Transfer `json:"take,omitempty"`
	DueUS        int64     `json:"due_us"`
}

// Take orders a part to be fetched from a peer. When it does not come within
// WaitUS the engine recomputes; nothing in the answer tells which happened.
type Transfer struct {
	Block  int    `json:"part"`
	From   string `json:"from"`
	WaitUS int64  `json:"wait_us"`
}

// Refusal is why a run will not begin.
type Rejection struct {
	Reason string `json:"refused"`
}

// Line is one line of a run: began first, then pieces, then done.
type RunFrame struct {
	Began  bool    `json:"began,omitempty"`
	Piece  *string `json:"piece,omitempty"`
	Done   bool    `json:"done,omitempty"`
	Pieces int     `json:"n,omitempty"` // with done: how many pieces there were
}

// Event is one thing an engine or the store tells: a part kept or dropped, or
// a run ended after recomputing so many bytes of its prompt.
type Event struct {
	Seq             uint64 `json:"seq"`
	Op              string `json:"op"` // keep, drop, ran
	Block           string `json:"part,omitempty"`
	Attempt         string `json:"attempt,omitempty"`
	RecomputedBytes uint64 `json:"filled,omitempty"`
}

// Report is the answer to GET /v1/report?inc=I&after=N: the events after N, or
// what is left of them. A first event beyond N+1 shows a gap.
type Report struct {
	Name        string  `json:"name"`
	Incarnation uint64  `json:"inc,string"`
	Weights     string  `json:"weights"`
	Running     int     `json:"running"`
	QueueLength int     `json:"queue"`
	Capacity    int     `json:"room"`
	SlowUS      int64   `json:"slow_us"`
	LastSeq     uint64  `json:"last"`
	Events      []Event `json:"events"`
}

// Keeps is the answer to GET /v1/keeps: all parts kept as of event Seq.
type Holdings struct {
	Incarnation uint64   `json:"inc,string"`
	Seq         uint64   `json:"seq"`
	Blocks      []string `json:"parts"`
}

// Weights is the body of POST /v1/weights.
type WeightsRequest struct {
	Weights      string `json:"weights"`
	FencingToken uint64 `json:"epoch"`
	Owner        string `json:"owner"`
}

// Import is the body of POST /v1/import: fetch a part ahead of need.
type ImportRequest struct {
	Block        string `json:"part"`
	From         string `json:"from"`
	FencingToken uint64 `json:"epoch"`
	WaitUS       int64  `json:"wait_us"`
	Weights      string `json:"weights"`
}

// Listed is one line of the platform's list.
type ListedEngine struct {
	Name    string `json:"name"`
	Addr    string `json:"addr"`
	Zone    string `json:"site"`
	Kind    string `json:"kind"` // engine or store
	Leaving bool   `json:"leaving"`
}

// Listing is the answer to the platform's GET /v1/engines.
type EngineList struct {
	Engines []ListedEngine `json:"engines"`
}

// Part writes a key as engines know it: 40 hex digits, check last.
func FormatKey(k cacheindex.Key) string {
	var b [20]byte
	binary.BigEndian.PutUint64(b[:], k.Hi)
	binary.BigEndian.PutUint64(b[8:], k.Lo)
	binary.BigEndian.PutUint32(b[16:], k.Check)
	return hex.EncodeToString(b[:])
}

// Key reads a part's name back.
func ParseKey(s string) (cacheindex.Key, bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != 20 {
		return cacheindex.Key{}, false
	}
	return cacheindex.Key{Hi: binary.BigEndian.Uint64(b), Lo: binary.BigEndian.Uint64(b[8:]), Check: binary.BigEndian.Uint32(b[16:])}, true
}

// Parts writes a chain.
func FormatKeys(ks []cacheindex.Key) []string {
	out := make([]string, len(ks))
	for i, k := range ks {
		out[i] = FormatKey(k)
	}
	return out
}
