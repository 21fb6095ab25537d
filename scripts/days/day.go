package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"
)

// A day passes only if it earns at least this part of its worth, in all and in each class and
// zone. The floors are below those of the sites' own days, since generated days have more faults.
const (
	goalFloor = 0.3
	partFloor = 0.2
)

// entry is one piece of planned work, or one fault, in a day's file.
type entry struct {
	At      float64 `toml:"at"`
	Kind    string  `toml:"kind"`
	On      string  `toml:"on,omitempty"`
	How     string  `toml:"how,omitempty"`
	Count   int     `toml:"count,omitempty"`
	Share   float64 `toml:"share,omitempty"`
	X       float64 `toml:"x,omitempty"`
	ForS    float64 `toml:"for_s,omitempty"`
	GapS    float64 `toml:"gap_s,omitempty"`
	Zone    string  `toml:"zone,omitempty"`
	ToZone  string  `toml:"to_zone,omitempty"`
	Service string  `toml:"service,omitempty"`
	Class   string  `toml:"class,omitempty"`
}

// closing is the fault that occurs at the end of a day.
type closing struct {
	Kind  string  `toml:"kind"`
	DownS float64 `toml:"down_s"`
	How   string  `toml:"how,omitempty"`
}

type goal struct {
	Floor float64 `toml:"floor"`
}

// day is a day in the form that the bench reads.
type day struct {
	Name         string           `toml:"name"`
	Slot         string           `toml:"slot"`
	Seed         uint64           `toml:"seed"`
	LengthS      float64          `toml:"length_s"`
	One          float64          `toml:"one"`
	Zero         float64          `toml:"zero"`
	Goal         goal             `toml:"goal"`
	FloorClasses []float64        `toml:"floor_classes"`
	FloorZones   []float64        `toml:"floor_zones"`
	Closing      *closing         `toml:"closing,omitempty"`
	Plan         []entry          `toml:"plan"`
	Faults       []entry          `toml:"faults"`
	Classes      []map[string]any `toml:"classes,omitempty"`
	Machines     []map[string]any `toml:"machines,omitempty"`
	Traffic      []map[string]any `toml:"traffic"`
}

// write writes a day to a file, and creates the file's folder if it does not exist.
func (d day) write(path string) error {
	text, err := toml.Marshal(struct {
		Days []day `toml:"day"`
	}{[]day{d}})
	if err != nil {
		return fmt.Errorf("day %s: %w", d.Name, err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}
