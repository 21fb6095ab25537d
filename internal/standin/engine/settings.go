package engine

import "violetthread/internal/daemon"

// Settings of a stand-in engine or store. Times are in microseconds, and none is spent at 0;
// shares of 0 switch a fault off.
type Settings struct {
	daemon.NodeSettings
	// Store makes it the shared store, which holds blocks and rejects runs.
	Store bool `json:"store" help:"be the shared store"`
	// StoreAddr is where evicted blocks are put; empty drops them.
	StoreAddr string `json:"store_at" help:"IP:port of the store that dropped parts go to"`
	// Capacity bounds concurrent runs; more are rejected.
	Capacity int `json:"room" validate:"min=1,max=4096" help:"runs at a time"`
	// MaxBlocks bounds the cached blocks; the least recently used one is evicted.
	MaxBlocks int `json:"keep" validate:"min=1" help:"parts kept at most"`
	// RecomputeUS is spent on each block of a prompt that is not cached.
	RecomputeUS int64 `json:"fill_us" help:"time to recompute one part"`
	// TransferUS is spent on each block that is exported to a peer.
	TransferUS int64 `json:"move_us" help:"time to move one part to a peer"`
	// PieceUS is spent before each piece of an answer.
	PieceUS int64 `json:"piece_us" help:"time for one piece"`
	// WeightsLoadUS is spent on loading other weights.
	WeightsLoadUS int64 `json:"load_us" help:"time to load other weights"`
	// WithheldPermille is the share of reports that leave out the newer half of their events.
	WithheldPermille int `json:"late_permille" help:"reports that hold their newest events back, in thousandths"`
	// LostEventPermille is the share of events that no report ever shows.
	LostEventPermille int `json:"gap_permille" help:"events lost from reports, in thousandths"`
	// FailedTransferPermille is the share of transfers that fail without a sign.
	FailedTransferPermille int `json:"no_hand_over_permille" help:"hand-overs that quietly fail, in thousandths"`
	// Seed of the faults above.
	Seed int64 `json:"seed" help:"seed of the faults above"`
	// Weights that it starts with.
	Weights string `json:"weights" help:"weights at start"`
}

// Defaults are the settings of an engine without faults.
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

// defaultPieces is how many pieces the answer to a kind has that PiecesByKind does not list.
const defaultPieces = 8

// PiecesByKind is how many pieces the answer to a kind of request has.
var PiecesByKind = map[string]int{
	"mandate-check":   60,
	"confirmation":    20,
	"instruction-tag": 3,
	"segmentation":    60,
	"timing-review":   20,
	"glossary-lookup": 3,
}

func piecesOf(kind string) int {
	if pieces := PiecesByKind[kind]; pieces != 0 {
		return pieces
	}
	return defaultPieces
}
