// Package capacity computes the cost of each role of an instance at a given size,
// from measured slopes. slopes.json records them, each with the command that
// measures it again.
package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// Slope is a measured cost per unit, such as bytes of a message.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Command measures it again, run at the root of the repository.
	Command string `json:"command"`
	// Date of the measurement, as time.DateOnly.
	Date string `json:"date"`
	Note string `json:"note,omitempty"`
}

//go:embed slopes.json
var slopesJSON []byte

// Slopes are the recorded slopes by name.
type Slopes map[string]Slope

// Recorded returns the slopes of this build. An error means that the embedded file
// is malformed or has a name twice.
func Recorded() (Slopes, error) {
	list, err := List()
	if err != nil {
		return nil, err
	}
	slopes := Slopes{}
	for _, s := range list {
		if _, twice := slopes[s.Name]; twice {
			return nil, fmt.Errorf("slope %s is recorded twice", s.Name)
		}
		slopes[s.Name] = s
	}
	return slopes, nil
}

// List returns the slopes in the order of the embedded file.
func List() ([]Slope, error) {
	var list []Slope
	if err := json.Unmarshal(slopesJSON, &list); err != nil {
		return nil, fmt.Errorf("slopes.json: %w", err)
	}
	return list, nil
}

// of returns the value of a slope. It panics on an unknown name, which is a fault of
// this package that a test finds.
func (s Slopes) of(name string) float64 {
	slope, ok := s[name]
	if !ok {
		panic("no slope " + name)
	}
	return slope.Value
}
