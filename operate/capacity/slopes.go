// Package capacity works out what each role of an instance costs at a given
// size, from slopes that were measured and are recorded in slopes.json, each
// with the command that measures it again.
package capacity

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// Slope is one measured figure.
type Slope struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Command measures it again from the root of the repository.
	Command string `json:"command"`
	// Date of the measurement, year-month-day.
	Date string `json:"date"`
	Note string `json:"note,omitempty"`
}

//go:embed slopes.json
var recorded []byte

// Slopes are the recorded measurements by name.
type Slopes map[string]Slope

// Recorded reads the slopes of this build. The error is of the embedded file.
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

// List are the recorded measurements in their order.
func List() ([]Slope, error) {
	var list []Slope
	if err := json.Unmarshal(recorded, &list); err != nil {
		return nil, fmt.Errorf("slopes.json: %w", err)
	}
	return list, nil
}

// of is the value of a slope. A name that is not recorded is a fault of this
// package, which a test finds.
func (s Slopes) of(name string) float64 {
	slope, ok := s[name]
	if !ok {
		panic("no slope " + name)
	}
	return slope.Value
}
