package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// engineModel is the value of a service's model if its servers are model engines.
const engineModel = "llm"

// site is the part of a deployment's file that days depend on.
type site struct {
	Name      string           `toml:"name"`
	Contracts []string         `toml:"contracts"`
	Zones     []named          `toml:"zones"`
	Services  []service        `toml:"services"`
	Classes   []map[string]any `toml:"classes"`
	Models    []named          `toml:"models"`
	Machines  []map[string]any `toml:"machines"`
	Traffic   []map[string]any `toml:"traffic"`
	Days      []standardDay    `toml:"day"`
}

type named struct {
	Name string `toml:"name"`
}

type service struct {
	Name  string `toml:"name"`
	Model string `toml:"model"`
}

// standardDay is one of the site's own days. Generated days use its scoring bounds, One and Zero.
type standardDay struct {
	Slot string  `toml:"slot"`
	One  float64 `toml:"one"`
	Zero float64 `toml:"zero"`
}

var errNoEngines = errors.New("no service with model \"" + engineModel + "\": the site file must have a service of engines")

// readSite reads and checks a deployment's file.
func readSite(path string) (site, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return site{}, err
	}
	var s site
	if err := toml.Unmarshal(text, &s); err != nil {
		return site{}, fmt.Errorf("%s: %w", path, err)
	}
	if err := s.check(); err != nil {
		return site{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func (s site) check() error {
	switch {
	case len(s.servicesOf(true)) == 0:
		return errNoEngines
	case len(s.Zones) == 0 || len(s.Classes) == 0 || len(s.Traffic) == 0 || len(s.Days) == 0:
		return errors.New("the site file must have zones, classes, traffic and at least one [[day]]")
	}
	return nil
}

// servicesOf lists the names of the services that are engines, or of those that are not.
func (s site) servicesOf(engines bool) []string {
	var out []string
	for _, service := range s.Services {
		if (service.Model == engineModel) == engines {
			out = append(out, service.Name)
		}
	}
	return out
}

// referenceDay returns the first day in the slot "trouble", or the first day if there is none.
func (s site) referenceDay() standardDay {
	for _, day := range s.Days {
		if day.Slot == "trouble" {
			return day
		}
	}
	return s.Days[0]
}
