package capacity

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestFitReturnsLeastSquaresLine(t *testing.T) {
	step, base := Slope{Sizes: []float64{10, 20, 40}, Values: []float64{107, 207, 407}}.Fit()
	if math.Abs(step-10) > 1e-9 || math.Abs(base-7) > 1e-9 {
		t.Errorf("line: got %v and %v, want 10 and 7", step, base)
	}
}

func TestLoadRejectsInvalidSlopes(t *testing.T) {
	const good = "[[slope]]\nname = \"a.cpu\"\nunit = \"ns\"\nper = \"a\"\ncommand = \"go test\"\nsizes = [1, 2, 3]\nvalues = [1.5, 2, 3]\n"
	tests := []struct{ name, old, new, want string }{
		{"two points are not enough for a slope", "[1, 2, 3]\nvalues = [1.5, 2, 3]", "[1, 2]\nvalues = [1, 2]", "measure at 3 sizes"},
		{"a missing value", "[1.5, 2, 3]", "[1.5, 2]", "3 sizes and 2 values"},
		{"equal sizes would divide by zero", "[1, 2, 3]", "[2, 2, 2]", "do not rise"},
		{"a missing command", "command = \"go test\"\n", "", "name the command"},
		{"a misspelt key", "unit", "units", "unknown key"},
		{"a value that is not a number", "1.5", "\"1.5\"", "not a number"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "slopes.toml")
			if err := os.WriteFile(path, []byte(strings.Replace(good, tt.old, tt.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(path)
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error: got %v, want an error with %q", err, tt.want)
			}
		})
	}
}

func TestNewPlanReportsMissingSlope(t *testing.T) {
	_, err := NewPlan(Slopes{}, FullSize)
	if err == nil || !strings.Contains(err.Error(), "renew.cpu") {
		t.Errorf("error: got %v, want an error that names renew.cpu", err)
	}
}
