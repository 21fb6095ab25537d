package engine

import "violetthread/internal/daemon"

// Settings of a simulated engine or store. Times are in microseconds, and 0 means no delay. A
// fault with a share of 0 does not occur.
type Settings struct {
	daemon.NodeSettings
	// Store makes the process the shared store, which holds blocks and rejects runs.
	Store bool `json:"store" help:"be the shared store"`
	// StoreAddr is the store that evicted blocks are put into. If it is empty, they are
	// discarded.
	StoreAddr string `json:"store_at" help:"IP:port of the store that dropped parts go to"`
	// Capacity is the maximum number of concurrent runs; further ones are rejected.
	Capacity int `json:"room" validate:"min=1,max=4096" help:"runs at a time"`
	// MaxBlocks is the maximum number of cached blocks; beyond it the least recently used
	// block is evicted.
	MaxBlocks int `json:"keep" validate:"min=1" help:"parts kept at most"`
	// RecomputeUS is the time to recompute one block that is not cached.
	RecomputeUS int64 `json:"fill_us" help:"time to recompute one part"`
	// TransferUS is the time to export one block to a peer.
	TransferUS int64 `json:"move_us" help:"time to move one part to a peer"`
	// PieceUS is the time to generate one piece of a response.
	PieceUS int64 `json:"piece_us" help:"time for one piece"`
	// WeightsLoadUS is the time to load other weights.
	WeightsLoadUS int64 `json:"load_us" help:"time to load other weights"`
	// WithheldPermille is the share of reports that omit the newer half of their events.
	WithheldPermille int `json:"late_permille" help:"reports that hold their newest events back, in thousandths"`
	// LostEventPermille is the share of events that no report ever contains.
	LostEventPermille int `json:"gap_permille" help:"events lost from reports, in thousandths"`
	// FailedTransferPermille is the share of transfers that fail without an error: the run
	// recomputes the blocks instead.
	FailedTransferPermille int `json:"no_hand_over_permille" help:"hand-overs that quietly fail, in thousandths"`
	// Seed of the random numbers that the faults above are drawn from.
	Seed int64 `json:"seed" help:"seed of the faults above"`
	// Weights are those loaded at startup.
	Weights string `json:"weights" help:"weights at start"`
}

// Defaults returns the settings of an engine without faults.
func Defaults() Settings {
	return Settings{
		NodeSettings:  daemon.NodeSettings{DrainUS: 5_000_000},
		Capacity:      16,
		MaxBlocks:     4096,
		RecomputeUS:   4000,
		TransferUS:    700,
		PieceUS:       15_000,
		WeightsLoadUS: 1_000_000,
		Weights:       "w1",
	}
}

// defaultPieces is the number of pieces for a kind that PiecesByKind does not list.
const defaultPieces = 8

// PiecesByKind is the number of pieces in a response, by kind of request.
var PiecesByKind = map[string]int{
	"mandate-check":   60,
	"confirmation":    20,
	"instruction-tag": 3,
	"segmentation":    60,
	"timing-review":   20,
	"glossary-lookup": 3,
}

func pieceCount(kind string) int {
	if pieces := PiecesByKind[kind]; pieces != 0 {
		return pieces
	}
	return defaultPieces
}
