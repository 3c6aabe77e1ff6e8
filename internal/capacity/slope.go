// Package capacity calculates the resources that each role of the system needs at a
// given size, by extrapolating costs that were measured at small sizes. Its tables make
// up docs/CAPACITY.md.
package capacity

import (
	"fmt"

	"github.com/jaystage/jaystage/internal/tomlfile"
)

// minPoints is the minimum number of sizes for a fit.
const minPoints = 3

// Slope is a cost measured at several sizes, as the input of a linear fit.
type Slope struct {
	// Name identifies the slope in the tables, such as heartbeat.cpu.
	Name string `toml:"name"`
	// Unit is the unit of the values: ns or B.
	Unit string `toml:"unit"`
	// Per is the unit of the sizes, such as heartbeat or upstream.
	Per string `toml:"per"`
	// Command is the command line that repeats the measurement.
	Command string `toml:"command"`
	// Sizes and Values are the points; they have the same length, at least three.
	Sizes  []float64 `toml:"sizes"`
	Values []float64 `toml:"values"`
}

// Slopes is the TOML structure of a file of measured slopes.
type Slopes struct {
	Slopes []Slope `toml:"slope"`
}

// Load reads measured slopes from a TOML file.
func Load(path string) (Slopes, error) {
	var s Slopes
	d := tomlfile.Load(path)
	if d.Decode(&s) {
		for _, slope := range s.Slopes {
			slope.check(d)
		}
	}
	return s, d.Err()
}

func (s Slope) check(d *tomlfile.Document) {
	key := fmt.Sprintf("slope[%s]", s.Name)
	if len(s.Sizes) != len(s.Values) || len(s.Sizes) < minPoints {
		d.Report(key, "has %d sizes and %d values; measure at %d sizes or more", len(s.Sizes), len(s.Values), minPoints)
	}
	for i := 1; i < len(s.Sizes); i++ {
		if s.Sizes[i] <= s.Sizes[i-1] {
			d.Report(key+".sizes", "do not rise; list the points in increasing order of size")
			break
		}
	}
	if s.Name == "" || s.Unit == "" || s.Per == "" {
		d.Report(key, "needs name, unit and per")
	}
	if s.Command == "" {
		d.Report(key+".command", "is missing; name the command that repeats the measurement")
	}
}

// Fit returns the least-squares line through the points: step is the additional cost when
// the size increases by one, and base the cost at size zero. The conversions of products keep
// processors from fusing them with sums, so that all give the same result.
func (s Slope) Fit() (step, base float64) {
	n := float64(len(s.Sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, x := range s.Sizes {
		y := s.Values[i]
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+float64(x*x), sumXY+float64(x*y)
	}
	step = (float64(n*sumXY) - float64(sumX*sumY)) / (float64(n*sumXX) - float64(sumX*sumX))
	return step, (sumY - float64(step*sumX)) / n
}
